"""What counts as proof that a worker has crashed, where its platform gives it a new id."""

import pytest
from msgspec import structs

from anvilflow.jobs import LossOutcome, Scheduler, StepSpec

from .test_scheduler import add_job, confirm_started, make_report, make_scheduler

#: Time at which the lease of a worker that was lost at 0.1 s is certainly over. Unit: seconds.
LEASE_OVER_S = 4.0


def lose_worker(scheduler):
    """Lose a worker at 0.1 s that runs a task; return its info and the task's history."""
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    worker = scheduler.workers[start.worker_id]
    worker.lease_over_at = LEASE_OVER_S - 0.5
    scheduler.worker_unreachable(start.worker_id, 0.1)
    return worker.info, scheduler.find_task(start.task)[1]


def list_at(scheduler, info, address, now, *, answers):
    """Let a new worker be listed, and perhaps answer, at an address."""
    other = structs.replace(info, registry_id="w99", address=address)
    scheduler.worker_listed(other, now)
    if answers:
        scheduler.report("w99", make_report(), requested_at=now, now=now)


def review(scheduler, now):
    """Do what a plan does about lost workers; return the outcomes by worker."""
    scheduler.drop_lapsed_runs(now)
    scheduler.review_suspects(now)
    return {
        lost.worker_id: lost.fate
        for suspect in scheduler.suspects.values()
        for lost in suspect.history.losses
    }


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("answers", [True, False])
def test_only_a_worker_that_answers_at_the_address_shows_a_crash(monkeypatch, answers, safeguard):
    """Guards against a registry entry that names the address of a worker that is only cut off."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_workers_by_address", _workers_by_listed_address)
    scheduler = make_scheduler(2)
    info, _ = lose_worker(scheduler)
    list_at(scheduler, info, info.address, 1.0, answers=answers)
    has_crashed = answers or not safeguard
    outcome = LossOutcome.CRASHED if has_crashed else LossOutcome.UNKNOWN
    assert review(scheduler, LEASE_OVER_S) == {info.worker_id: outcome}


def _workers_by_listed_address(scheduler):
    return {worker.info.address: worker for worker in scheduler.workers.values()}


def test_worker_counts_as_crashed_only_once_its_lease_is_over():
    """Guards against a verdict about a worker whose runs may still be active."""
    scheduler = make_scheduler(2)
    info, task = lose_worker(scheduler)
    list_at(scheduler, info, info.address, 1.0, answers=True)
    assert review(scheduler, 3.0) == {}
    assert info.worker_id in task.runs
    assert review(scheduler, LEASE_OVER_S) == {info.worker_id: LossOutcome.CRASHED}


def test_recorded_start_counts_only_once_leases_of_earlier_leaders_are_over():
    """Guards against a verdict of a new leader about a worker that it has never heard of."""
    scheduler = make_scheduler(2)
    info, task = lose_worker(scheduler)
    review(scheduler, LEASE_OVER_S)
    lost = task.crash_history.lost_runs[info.worker_id]
    task.crash_history.lost_runs[info.worker_id] = structs.replace(lost, fate=LossOutcome.PLACED)
    del scheduler.workers[info.worker_id]
    list_at(scheduler, info, info.address, 4.0, answers=True)
    scheduler.grace_period.leases_over_at = 6.0
    assert review(scheduler, 5.0)[info.worker_id] is LossOutcome.UNKNOWN
    assert review(scheduler, 6.0)[info.worker_id] is LossOutcome.CRASHED


@pytest.mark.parametrize("is_recorded", [True, False])
def test_wrong_entry_of_a_lost_worker_shows_no_crash(is_recorded):
    """Guards against a crash counted for a worker whose entry names the address of another one."""
    scheduler = make_scheduler(2)
    info, task = lose_worker(scheduler)
    [other] = [each for each in scheduler.workers.values() if each.info is not info]
    scheduler.worker_listed(structs.replace(info, address=other.info.address), 0.2)
    if is_recorded:
        worker = scheduler.workers[info.worker_id]
        scheduler._add_suspect(*scheduler.find_task(task.name))
        task.crash_history.add_start(worker, run_id=1, started_at=0.0)
    assert review(scheduler, LEASE_OVER_S) == {info.worker_id: LossOutcome.UNKNOWN}
    scheduler.worker_ended(info.worker_id, 8.0)
    assert review(scheduler, 8.1) == {info.worker_id: LossOutcome.GONE}


def test_worker_that_answers_again_has_not_crashed():
    """Guards against a verdict on a worker that was at another address all the time."""
    scheduler = make_scheduler(2)
    info, _ = lose_worker(scheduler)
    list_at(scheduler, info, info.address, 1.0, answers=True)
    assert review(scheduler, LEASE_OVER_S) == {info.worker_id: LossOutcome.CRASHED}
    scheduler.worker_listed(structs.replace(info, address="w8:1"), 4.1)
    scheduler.report(info.worker_id, make_report(), requested_at=4.1, now=4.1)
    assert review(scheduler, 4.2) == {}


def test_loss_of_a_replaced_worker_is_noted_once():
    """Guards against one crash that is counted twice in logs and metrics."""
    scheduler = make_scheduler(2)
    info, _ = lose_worker(scheduler)
    list_at(scheduler, info, info.address, 1.0, answers=True)
    scheduler.drop_lapsed_runs(LEASE_OVER_S)
    [note] = scheduler.review_suspects(LEASE_OVER_S)
    assert (note.worker_id, note.known_by) == (info.worker_id, "replaced")
    assert scheduler.review_suspects(5.0) == scheduler.worker_ended(info.worker_id, 6.0) == []
