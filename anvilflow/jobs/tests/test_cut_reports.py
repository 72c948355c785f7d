"""Reports that do not hold all ends of a worker, since it lists a limited number of them."""

import pytest

from anvilflow.jobs import (
    MAX_ENDS_PER_REPORT,
    RunEnd,
    RunReport,
    Scheduler,
    StartRun,
    StepSpec,
    Worker,
    make_handover,
)

from .test_scheduler import QUEUE, CellConfig, JobSpec, make_report, make_worker_info

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000b2"
TASK = f"{JOB}.0.0.0"
N_ENDS = MAX_ENDS_PER_REPORT


def _end(number, task, how="done"):
    return RunEnd(number=number, task=task, run_id=1, how=how, checkpoint="")


def _other_ends(n):
    return [_end(number, f"{OTHER_JOB}.0.0.{number}") for number in range(1, n + 1)]


def _make_scheduler():
    """Return a second leader's scheduler with the job of the task and one of many tasks."""
    scheduler = Scheduler(term=2, lease_s=3.0, now=0.0)
    scheduler.configure(CellConfig(version=1, queues=(QUEUE,)))
    for number in range(2):
        scheduler.worker_listed(make_worker_info(number), 0.0)
    for job_id, n_tasks in ((OTHER_JOB, N_ENDS), (JOB, 1)):
        step = StepSpec(n_tasks=n_tasks, cpu_milli=1000)
        spec = JobSpec(job_id=job_id, queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    return scheduler


def _report(scheduler, worker_id, now, *, active=(), ended=()):
    """Report runs and ends; return the starts of the task by the next plan."""
    scheduler.report(worker_id, make_report(active, ended), requested_at=now, now=now)
    return _plan(scheduler, now)


def _plan(scheduler, now):
    return [
        each
        for each in scheduler.plan(now, now)
        if isinstance(each, StartRun) and each.task == TASK
    ]


def _count_each_report_as_complete(monkeypatch):
    monkeypatch.setattr(Worker, "note_report", _note_report_as_complete)


def _note_report_as_complete(self, report):
    self.has_listed_all_ends = True


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("waits", [False, True])
def test_task_whose_end_is_not_listed_yet_is_not_started_by_a_new_leader(
    monkeypatch, safeguard, waits
):
    """Guards against running a task again whose end is in the rest of the ends of its worker."""
    if not safeguard:
        _count_each_report_as_complete(monkeypatch)
    scheduler = _make_scheduler()
    assert _report(scheduler, "w0", 0.1) == []
    starts = _report(scheduler, "w1", 0.1, ended=_other_ends(N_ENDS))
    assert (starts == []) is safeguard
    if not safeguard:
        return
    if waits:
        # All leases of the former leader are over, that of this worker was renewed.
        scheduler.workers["w1"].lease_sent(4.0, 3.0)
        assert scheduler.grace_period.is_over(5.0)
        assert _report(scheduler, "w1", 5.0, ended=_other_ends(N_ENDS)) == []
    assert _report(scheduler, "w1", 5.1, ended=[_end(N_ENDS + 1, TASK)]) == []
    assert _plan(scheduler, 9.0) == []


def test_worker_that_is_lost_before_it_has_listed_all_ends_delays_tasks_for_a_lease_only():
    """Guards against a lost worker that keeps tasks from starting for ever."""
    scheduler = _make_scheduler()
    _report(scheduler, "w0", 0.1)
    _report(scheduler, "w1", 0.1, ended=_other_ends(N_ENDS))
    scheduler.workers["w1"].lease_sent(0.2, 3.0)
    scheduler.worker_unreachable("w1", 0.5)
    assert _plan(scheduler, 3.0) == []
    assert len(_plan(scheduler, 4.5)) == 1


@pytest.mark.parametrize("safeguard", [True, False])
def test_unreachable_worker_that_has_not_listed_all_ends_is_not_handed_over(monkeypatch, safeguard):
    """Guards against a next leader that takes the runs known here for all of a worker's runs."""
    if not safeguard:
        _count_each_report_as_complete(monkeypatch)
    scheduler = _make_scheduler()
    _report(scheduler, "w1", 0.1, ended=_other_ends(N_ENDS))
    scheduler.worker_unreachable("w1", 0.5)
    assert (make_handover(scheduler, 1.0) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_orphan_run_is_kept_until_all_ends_are_listed(monkeypatch, safeguard):
    """Guards against running a task again after the end of a run that this leader did not track."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_drop_unlisted_runs", _drop_orphan_runs)
    scheduler = _make_scheduler()
    scheduler.adopt_unconfirmed_runs("w0", [(TASK, 1)], 0.0)
    run = RunReport(task=TASK, run_id=2, checkpoint="", percent=10.0, load=0.0)
    assert _report(scheduler, "w1", 0.1, active=[run]) == []
    assert _report(scheduler, "w1", 0.4, ended=_other_ends(N_ENDS)) == []
    starts = _report(scheduler, "w0", 0.5)
    assert (starts == []) is safeguard
    if safeguard:
        end = RunEnd(number=N_ENDS + 1, task=TASK, run_id=2, how="done", checkpoint="")
        assert _report(scheduler, "w1", 0.8, ended=[end]) == []
        assert _plan(scheduler, 9.0) == []


_drop_unlisted_runs = Scheduler._drop_unlisted_runs


def _drop_orphan_runs(self, worker, listed, requested_at, now):
    worker.orphan_runs.clear()
    return _drop_unlisted_runs(self, worker, listed, requested_at, now)
