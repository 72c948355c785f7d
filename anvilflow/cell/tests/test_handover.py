"""Take-overs with workers that the next leader cannot reach, or that are not in the registry."""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import _fleet, _leader_row, _leader_state, _leadership
from anvilflow.jobs import Scheduler, Worker, WorkerInfo, _handover
from anvilflow.utils import encode

from ._helpers import JOB, STEP, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_is_cut_off_only_from_the_store_is_handed_over(monkeypatch, safeguard):
    """A worker cannot reach the store: its registry entry expires while its tasks keep running.

    Then the leader is lost, and the next one does not find the worker in the registry. Without the
    handover in the leader's row it would start tasks elsewhere that still run.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_row, "make_handover", lambda scheduler, now: [])
        monkeypatch.setattr(_leader_row, "_unlisted_ids", lambda scheduler, handover: set())
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    cell.store.remove("servers", cell.spans[0].worker)
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.advance(5.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_take_over_with_an_unreachable_worker_starts_other_tasks_at_once(monkeypatch, safeguard):
    """A worker becomes unreachable, a job of two steps is submitted, and then the leader is lost.

    The leader's row names the runs on the unreachable worker. Without that, all tasks of all jobs
    wait until the longest lease has ended, which takes 3.2 s.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_row, "make_handover", lambda scheduler, now: [])
    cell = make_cell(n_instances=3, n_workers=4)
    cell.worker_faults["i-3"].silent = True
    cell.advance(1.0)
    cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}, spec="1.5 done 1000")
    cell.advance(1.2)
    cell.kill(cell.leader())
    killed_at = cell.clock.seconds()
    cell.advance(6.0)
    second = [span.began_at - killed_at for span in cell.spans if span.task.split(".")[2] == "1"]
    assert len(second) == 4
    assert (max(second) < 1.5) is safeguard
    assert cell.check() == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_an_unreachable_worker_is_not_restarted_before_its_lease_ends(
    monkeypatch, safeguard
):
    """A worker becomes unreachable while it runs a task; then the leader is lost.

    The leader's row names the task, so that the next leader does not start it before its lease has
    ended. Without the names it runs twice.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "adopt_unconfirmed_runs", _ignore_runs)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    cell.worker_faults[cell.spans[0].worker].silent = True
    cell.advance(1.6)
    cell.kill(cell.leader())
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard
    assert len(cell.spans) == 3


def _ignore_runs(self, worker_id, runs, now):
    self.workers[worker_id].runs_known = True


@pytest.mark.parametrize("safeguard", [True, False])
def test_recovered_worker_gets_no_task_while_the_row_names_it_as_unreachable(
    monkeypatch, safeguard
):
    """An unreachable worker answers again while the store is unavailable; then the leader is lost.

    The leader's row still holds the earlier list of runs on the worker. A task that was started
    since would be missing there, and the next leader, which cannot reach the worker, would start it
    elsewhere.
    """
    if not safeguard:
        monkeypatch.setattr(Worker, "accepts", _accepts_before_row_update)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.worker_faults["i-0"].silent = True
    cell.advance(2.0)
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry(state="draining"))
    cell.submit("a0", JOB, {"count": 1, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.advance(0.6)
    cell.worker_faults["i-0"].clear()
    cell.advance(1.0)
    assert bool(cell.spans) is not safeguard
    cell.worker_faults["i-0"].silent = True
    cell.kill(cell.leader())
    cell.store_faults.clear()
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry())
    cell.advance(1.5)
    assert (cell.check() == []) is safeguard
    cell.worker_faults["i-0"].clear()
    cell.advance(5.0)


def _accepts_before_row_update(self, now, step=None):
    return self.confirmed and self.listed and not self.unreachable and not self.info.draining


@pytest.mark.parametrize("safeguard", [True, False])
def test_registry_entries_that_expire_in_an_outage_do_not_hide_their_workers(
    monkeypatch, safeguard
):
    """Registry entries expire in a store outage; the leader is lost and cannot record them.

    After the outage the next leader does not find these workers for two seconds, while their tasks
    run. The leader's row gives the version up to which the former leader followed the registry, and
    the registry's history shows the entries removed since, so that the next leader waits. Without
    that it starts the tasks a second time.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_state, "find_missing", lambda *args: succeed(frozenset()))
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="20.0 done 9000")
    cell.advance(1.0)
    hidden = {span.worker for span in cell.spans}
    cell.store_faults.silent = True
    cell.advance(1.0)
    for worker_id in hidden:
        cell.store.remove("servers", worker_id)
    cell.kill(cell.leader())
    cell.advance(1.0)
    cell.store_faults.clear()
    cell.advance(2.0)
    for worker_id in hidden:
        cell.store.put("servers", worker_id, cell.workers[worker_id].entry())
    cell.advance(4.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_that_is_cut_off_with_a_worker_stops_renewing_leases(monkeypatch, safeguard):
    """The leader reaches no store and no instance, but a worker that no other instance reaches.

    Another instance claims and waits until the leases on the worker that it cannot reach have
    ended. If the leader that is cut off renewed them, their tasks would run in two places.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "may_send_commands", lambda self: True)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 5000}, spec="30.0 done 5000")
    cell.advance(1.0)
    former, others = cell.leader(), {name for name in cell.daemons if name != cell.leader()}
    cell.isolate(former)
    cell.store_faults.silent = True
    cell.store_faults.only = {former}
    for worker_id, faults in cell.worker_faults.items():
        faults.silent = True
        faults.only = others if worker_id == cell.spans[0].worker else {former}
    cell.advance(9.0)
    assert cell.leader() != former
    assert (cell.check() == []) is safeguard


def test_leader_that_loses_only_the_store_keeps_scheduling():
    """In a store outage workers still respond: leases are renewed and the next steps start."""
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}, spec="4.0 done 1000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.advance(9.0)
    assert [span.how for span in cell.spans] == ["done"] * 8


def test_leader_that_was_paused_grants_no_lease_before_it_has_an_answer():
    """The leader is paused for several seconds, in which leases end, and then resumes.

    Its first lease renewals must not extend a lease: another leader may meanwhile be waiting for
    the last lease to end.
    """
    cell = make_cell(n_instances=2, n_workers=2)
    leader = cell.leader()
    cell.advance(1.0)
    cell.pause(leader)
    cell.advance(5.0)
    before = {name: worker.until for name, worker in cell.workers.items()}
    for faults in cell.worker_faults.values():
        faults.loses_answers = True
    cell.resume(leader)
    cell.advance(0.3)
    assert all(cell.workers[name].until <= max(before[name], 0.0) for name in before) or (
        cell.leader() != leader
    )


def test_handover_of_many_unreachable_workers_fits_into_the_row():
    """Half of a large cell is unreachable, with thousands of small tasks.

    The store refuses a row larger than 64 KB. The leader's row is part of every record, so that
    with a larger row nothing would be recorded any more.
    """
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    for number in range(100):
        info = WorkerInfo(
            registry_id=f"i-{number:010x}",
            born_ms=1_784_863_241_624,
            address="10.200.100.100:65000",
            service="a-service-with-a-name",
            failure_domain="a-failure-domain",
            kind="a",
            rack="r100-100",
            labels=("a", "r100-100"),
            cpu_milli=32000,
            memory_mb=131072,
            accelerators=0,
        )
        scheduler.worker_listed(info, 0.0)
        worker = scheduler.workers[info.worker_id]
        worker.confirmed = worker.has_listed_all_ends = worker.unreachable = True
        worker.unreachable_since = 0.0
        worker.orphan_runs = {(f"{number:016x}.1000.10.{each}", 1001): None for each in range(30)}
    handover = _leader_row.make_handover(scheduler, 10.0)
    assert len(handover) == 20
    assert len(encode(handover)) < 60_000


def test_task_of_a_job_whose_cancellation_was_lost_is_not_run_again():
    """The leader loses the store; a client cancels a job, its tasks end, the leader is replaced.

    The cancellation was not durable, so that the next leader continues the job. It must not start
    the tasks that are done a second time.
    """
    cell = make_cell(n_instances=3, n_workers=2)
    former = cell.leader()
    cell.submit(former, JOB, {"count": 2, "cpu": 1000}, spec="0.9 done 1000")
    cell.advance(0.8)
    cell.store_faults.silent = True
    cell.store_faults.only = {former}
    cell.call(former, "DELETE", f"/urgent/{JOB}")
    cell.advance(0.6)
    cell.kill(former)
    cell.advance(6.0)
    assert cell.leader() != former
    assert cell.check() == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_missing_workers_stay_known_over_two_take_overs(monkeypatch, safeguard):
    """Registry entries expire in an outage, and two leaders are lost before the entries are back.

    The last leader learns from the leader's row that workers are missing. Without that it would
    find a registry that its predecessor had followed to the end, and start their tasks a second
    time.
    """
    if not safeguard:
        original = _leadership.Claimed
        monkeypatch.setattr(
            _leadership, "Claimed", lambda **values: _without_missing(original, values)
        )
    cell = make_cell(n_instances=4, n_workers=4)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="20.0 done 9000")
    cell.advance(1.0)
    hidden = {span.worker for span in cell.spans}
    cell.store_faults.silent = True
    cell.advance(1.0)
    for worker_id in hidden:
        cell.store.remove("servers", worker_id)
    cell.kill(cell.leader())
    cell.advance(1.0)
    cell.store_faults.clear()
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.advance(1.0)
    for worker_id in hidden:
        cell.store.put("servers", worker_id, cell.workers[worker_id].entry())
    cell.advance(4.0)
    assert (cell.check() == []) is safeguard


def _without_missing(original, values):
    if values["former"] is not None:
        values["former"].missing = []
    return original(**values)


@pytest.mark.parametrize("safeguard", [True, False])
def test_unconfirmed_worker_is_handed_over_again(monkeypatch, safeguard):
    """A worker outside the registry becomes unreachable, and two leaders are lost in a row.

    The first leader named the worker in its row. The second is lost before the worker has
    responded, and must have named it all the same: the third finds the worker nowhere else, and
    would start its task again while it still runs.
    """
    if not safeguard:
        monkeypatch.setattr(_handover, "_is_unlisted", _is_hidden_if_confirmed)
        monkeypatch.setattr(_leader_row, "_unlisted_ids", lambda scheduler, handover: set())
    cell = make_cell(n_instances=4, n_workers=3)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="30.0 done 1000")
    cell.advance(1.0)
    worker_id = cell.spans[0].worker
    cell.store.remove("servers", worker_id)
    cell.advance(0.5)
    cell.worker_faults[worker_id].silent = True
    for _ in range(2):
        cell.kill(cell.leader())
        cell.advance(1.0)
    cell.advance(4.0)
    assert (cell.check() == []) is safeguard
    assert len(cell.spans) == 2


def _is_hidden_if_confirmed(worker):
    return worker.confirmed and not worker.listed
