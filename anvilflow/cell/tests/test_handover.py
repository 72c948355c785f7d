"""Take-overs beside workers that the next leader cannot ask, or would not even know of."""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import _fleet, _leader_state, _leadership, _recorder
from anvilflow.jobs import Scheduler, Worker, WorkerInfo, _handover
from anvilflow.utils import encode

from ._helpers import JOB, STEP, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_is_cut_off_from_the_store_alone_is_known_to_the_next_leader(
    monkeypatch, safeguard
):
    """A worker does not reach the store: its entry lapses, its tasks run on under their leases.

    Then the leader dies. The next one finds no such worker in the registry. Without the former
    leader's word it starts the tasks elsewhere while they still run.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder, "make_handover", lambda scheduler, now: [])
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    cell.store.remove("servers", cell.spans[0].worker)
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.advance(5.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_take_over_beside_a_dark_worker_starts_other_tasks_at_once(monkeypatch, safeguard):
    """A worker is dark, and a second later the leader dies; a clerk's lookup has a second step.

    What the former leader had running on the dark worker stands in its row. Without that, every
    task of every job waits until the longest lease has ended: 3.2 s.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder, "make_handover", lambda scheduler, now: [])
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
def test_task_on_a_dark_worker_waits_for_its_lease_and_no_other_does(monkeypatch, safeguard):
    """A task runs on a worker that goes dark and runs on; then the leader dies.

    The row names the task, so that the next leader leaves it alone until its lease has ended.
    Without the names it runs twice.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "adopt_unconfirmed_runs", _forget_runs)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    cell.worker_faults[cell.spans[0].worker].silent = True
    cell.advance(1.6)
    cell.kill(cell.leader())
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard
    assert len(cell.spans) == 3


def _forget_runs(self, worker_id, runs, now):
    self.workers[worker_id].runs_known = True


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_was_said_to_be_dark_gets_no_task_before_that_is_taken_back(
    monkeypatch, safeguard
):
    """A dark worker answers again while the store is away; then the leader dies.

    The row still names what ran there. A task that was started since would not be among it, and
    the next leader, which the worker does not answer, would start it elsewhere.
    """
    if not safeguard:
        monkeypatch.setattr(Worker, "accepts", _accepts_without_word)
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


def _accepts_without_word(self, now):
    return self.confirmed and self.listed and not self.unreachable and not self.info.draining


@pytest.mark.parametrize("safeguard", [True, False])
def test_entries_that_lapse_in_an_outage_do_not_hide_their_workers(monkeypatch, safeguard):
    """Workers' entries lapse while the store is away, and the leader, which cannot say so, dies.

    The store returns; the next leader finds no such workers for two seconds, while their tasks run.
    It knows from the row up to when the former leader had followed the registry, and from the
    registry's history that entries have gone since: it waits. Without that it starts the tasks a
    second time.
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
def test_leader_that_is_cut_off_with_a_worker_lets_its_leases_end(monkeypatch, safeguard):
    """The leader reaches neither store nor instances, but one worker that nobody else reaches.

    Another instance claims and waits until the leases that it cannot ask about have ended. Were
    they renewed by the leader that is cut off, their tasks would run in two places.
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


def test_leader_that_loses_the_store_alone_goes_on_ordering():
    """In an outage for all, the leader hears its workers: leases are renewed and steps follow."""
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}, spec="4.0 done 1000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.advance(9.0)
    assert [span.how for span in cell.spans] == ["done"] * 8


def test_leader_that_was_paused_sends_no_lease_before_it_has_heard_of_anybody():
    """The leader is paused for ten seconds, and with it the worker's tasks lapse; then it wakes.

    Its first holds carry no lease: another leader may wait for the end of the last one meanwhile.
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


def test_word_of_many_dark_workers_fits_into_the_row():
    """Half of a large cell is dark, with thousands of small tasks: the row stays within 64 KB.

    The store refuses a larger one. All that the leader records is written with it, so that nothing
    would be recorded any more.
    """
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    for number in range(100):
        info = WorkerInfo(
            worker_id=f"i-{number:010x}",
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
        worker.confirmed = worker.unreachable = True
        worker.unreachable_since = 0.0
        worker.orphan_runs = {(f"{number:016x}.1000.10.{each}", 1001): None for each in range(30)}
    handover = _recorder.make_handover(scheduler, 10.0)
    assert len(handover) == 20
    assert len(encode(handover)) < 60_000


def test_task_of_a_job_whose_cancelling_was_lost_is_not_run_again():
    """The store leaves the leader alone; a client cancels, a task is done, the leader is replaced.

    The cancelling was not durable, so that the job goes on at the next leader; the task that is
    done must not be started there again.
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
def test_worker_that_is_missing_stays_so_for_the_leader_after_the_next(monkeypatch, safeguard):
    """Entries lapse in an outage, the leader dies, and so does the next one before they are back.

    The second of them knows from the row that workers are missing. Without that it would see a
    registry that the first had followed to its end, and start their tasks a second time.
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
def test_worker_that_no_next_leader_has_heard_is_handed_on(monkeypatch, safeguard):
    """A worker has left the registry and runs on; it goes dark, and two leaders are lost in a row.

    The first one named the worker in its row. The second has not heard it when it is lost, and has
    to name it all the same: the third finds it nowhere else, and would start its task again while
    it still runs.
    """
    if not safeguard:
        monkeypatch.setattr(_handover, "_is_unlisted", _is_hidden_if_heard)
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


def _is_hidden_if_heard(worker):
    return worker.confirmed and not worker.listed
