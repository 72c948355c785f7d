"""Behaviour of the cell when workers fail or commands are lost or delayed.

With `safeguard` False, a test disables the safeguard and expects the failure.
"""

import pytest

from anvilflow.cell import _fleet, _leadership, _session
from anvilflow.cell._context import Claimed
from anvilflow.jobs import RunProof, Scheduler, Worker
from anvilflow.standins import PlatformCell

from ._helpers import JOB, STEP, make_cell, open_connections


@pytest.mark.parametrize("safeguard", [True, False])
def test_commands_of_a_former_leader_that_arrive_late_do_nothing(monkeypatch, safeguard):
    """The leader is killed with starts in transit, and the next leader starts the task elsewhere.

    The starts then arrive with the former leader's token, after the worker has seen a higher one.
    If both leaders had the same token, the task would run twice.
    """
    if not safeguard:
        monkeypatch.setattr(_leadership, "Claimed", _same_token)
    cell = make_cell(n_instances=3, n_workers=3)
    open_connections(cell)
    former = cell.leader()
    for worker_id in ("i-0", "i-1"):
        cell.worker_faults[worker_id].late_s = 2.0
        cell.worker_faults[worker_id].only = {former}
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="4.0 done 1000")
    cell.advance(0.1)
    cell.kill(former)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry(state="draining"))
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry(state="draining"))
    cell.advance(9.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_an_unconfirmed_worker_is_not_started_elsewhere(monkeypatch, safeguard):
    """The leader is killed while a worker is unreachable but running.

    The next leader cannot list the runs there, and must wait until every lease that was sent has
    certainly expired. Otherwise it starts the tasks again while they still run.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "may_start", lambda self, job, now: True)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.2)
    cell.worker_faults[cell.spans[0].worker].silent = True
    cell.kill(cell.leader())
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard
    assert len(cell.runs_of(f"{JOB}.0.0.0") + cell.runs_of(f"{JOB}.0.0.1")) == 3


@pytest.mark.parametrize("safeguard", [True, False])
def test_unanswered_start_is_stopped_before_the_task_starts_elsewhere(monkeypatch, safeguard):
    """A worker executes a start two seconds late and does not answer.

    The leader must first stop the run, so that the worker refuses the late start. Otherwise the run
    would begin while the task already runs on another worker.
    """
    if not safeguard:
        original = Scheduler.start_answered

        def start_answered(self, worker_id, task, run_id, outcome, now):
            outcome = "room" if outcome == "unknown" else outcome
            return original(self, worker_id, task, run_id, outcome, now)

        monkeypatch.setattr(Scheduler, "start_answered", start_answered)
    cell = make_cell(n_instances=2, n_workers=2)
    for worker in cell.workers.values():
        worker.n_late_starts = len(_session.START_TIMEOUTS_S)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="4.0 done 1000")
    cell.advance(9.0)
    assert (cell.check() == []) is safeguard
    if safeguard:
        assert cell.state("a0", JOB) == "completed"


def test_new_incarnation_of_a_worker_gets_no_commands_of_the_former_one():
    """Guards against sending commands of a crashed worker to its next incarnation.

    A worker crashes and starts again at the same address with another id. Its tasks must be started
    again.
    """
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="5.0 done 9000")
    cell.advance(1.0)
    cell.workers["i-0"].crash()
    cell.store.remove("servers", "i-0")
    cell.add_worker("i-9", "w0:1")
    cell.advance(9.0)
    assert cell.state("a0", JOB) == "completed"
    assert [span for span in cell.spans if span.worker == "i-9"]
    assert cell.check() == []


def test_draining_worker_gets_no_new_work():
    """Guards against starting tasks on a worker whose registry entry says that it drains."""
    cell = make_cell(n_instances=2, n_workers=2)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry(state="draining"))
    cell.advance(0.2)
    cell.submit("a0", JOB, STEP)
    cell.advance(2.0)
    assert {span.worker for span in cell.spans} == {"i-1"}


@pytest.mark.parametrize("safeguard", [True, False])
def test_tasks_of_a_lost_worker_start_elsewhere_after_their_lease(monkeypatch, safeguard):
    """A worker is lost for good but its registry entry stays: its tasks start elsewhere in 4 s.

    The leader keeps calling the worker without renewing its leases. If each attempt could renew
    them, the time at which they have expired would never come, and the tasks would wait forever.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "is_unreachable", lambda self, worker_id: False)
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="3.0 done 6000")
    cell.advance(0.5)
    cell.worker_faults["i-0"].silent = True
    cell.workers["i-0"].crash()
    cell.advance(9.0)
    assert (cell.state("a0", JOB) == "completed") is safeguard


def _make_cell_without_start_times(cpu=16000):
    """Return a cell whose workers are not asked for their runs before a start is retried."""
    cell = PlatformCell(n_instances=2, n_workers=0)
    for number in range(2):
        cell.add_worker(f"i-{number}", f"w{number}:1", cpu=cpu, rack=f"r{number}", born_ms=None)
    return cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_gang_continues_after_the_answer_to_a_start_is_lost(monkeypatch, safeguard):
    """A worker starts a member of a gang, but its answers to this and to lease renewals are lost.

    The start is retried, and the worker answers that it has the run. Without the retry, the member
    is stopped, which ends the whole gang on a real worker.
    """
    if not safeguard:
        monkeypatch.setattr(_session, "START_TIMEOUTS_S", (0.3,))
    cell = _make_cell_without_start_times(cpu=4000)
    for worker in cell.workers.values():
        worker.n_lost_starts = 1
        worker.renewals_unanswered_between = (1.0, 2.5)
    cell.start()
    cell.submit("a0", JOB, {"count": 6, "cpu": 1000, "gang": True}, spec="2.0 done 1000")
    cell.advance(8.0)
    assert cell.state("a0", JOB) == "completed"
    assert ({span.how for span in cell.spans} == {"done"}) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_run_that_ended_before_its_start_was_retried_is_not_repeated(monkeypatch, safeguard):
    """A worker runs a short task, but its answers to the start and to lease renewals are lost.

    The start is retried, and the worker refuses it as old because the run has ended; it has yet to
    report the end. When the refusal was taken for "not run", the task ran on another worker too.
    """
    if not safeguard:
        monkeypatch.setattr(_session, "outcome_after_lost_answer", lambda outcome: outcome)
        monkeypatch.setattr(Scheduler, "_keep_until_report", _drop_refused_run)
    cell = _make_cell_without_start_times()
    for worker in cell.workers.values():
        worker.n_lost_starts = 1
        worker.renewals_unanswered_between = (1.0, 2.2)
    cell.start()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.1 done 1000")
    cell.advance(6.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


def _drop_refused_run(self, run, now):
    self._drop_run(run, RunProof.REFUSED, now)


@pytest.mark.parametrize("safeguard", [True, False])
def test_refused_retry_says_nothing_about_an_earlier_try_on_its_way(monkeypatch, safeguard):
    """Guards against a second run beside that of a late start whose retry the worker refused."""
    if not safeguard:
        monkeypatch.setattr(_session, "outcome_after_lost_answer", lambda outcome: outcome)
    cell = make_cell(n_instances=2, n_workers=2)
    open_connections(cell)
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry(state="draining"))
    cell.advance(0.3)
    worker = cell.workers["i-0"]
    worker.n_late_starts = 1
    start = worker._start

    def refuse_unless_late(call, is_late):
        return start(call, is_late) if is_late else worker._answer(409, reason="room")

    monkeypatch.setattr(worker, "_start", refuse_unless_late)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="4.0 done 1000")
    cell.advance(0.25)
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry())
    cell.advance(9.0)
    assert (cell.check() == []) is safeguard


def _same_token(**values):
    return Claimed(**{**values, "token": 1})


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_a_worker_that_stays_longer_than_announced_is_not_started_elsewhere(
    monkeypatch, safeguard
):
    """A worker drains and stays seconds longer than the minimum time that it announced.

    The worker cannot reach the store, so its entry expires; its tasks continue under their leases.
    Then its answers are lost for a second, and the leader assumed that the worker had left and
    started the tasks elsewhere. The platform documents the announced time as a minimum, and entries
    expire while the store is unavailable.
    """
    if not safeguard:
        monkeypatch.setattr(Worker, "is_lapsed", _is_lapsed_or_past_its_time)
    cell, worker = _make_cell_with_worker_past_its_announced_time()
    cell.store.remove("servers", worker.worker_id)
    cell.advance(0.2)
    cell.worker_faults[worker.worker_id].loses_answers = True
    cell.advance(1.5)
    cell.worker_faults[worker.worker_id].clear()
    cell.advance(7.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


def test_tasks_of_a_worker_that_left_as_announced_start_elsewhere_at_once():
    """Guards against waiting for the leases of a worker that has certainly left.

    The worker leaves at the announced time: its entry is removed and connections to its address are
    refused.
    """
    cell, worker = _make_cell_with_worker_past_its_announced_time()
    # The lease renewal in progress ends with the worker, without an answer.
    cell.worker_faults[worker.worker_id].loses_answers = True
    cell.advance(0.6)
    worker.crash()
    cell.worker_faults[worker.worker_id].refuses = True
    cell.store.remove("servers", worker.worker_id)
    left_at = cell.clock.seconds()
    cell.advance(1.6)
    [again] = [span for span in cell.spans if span.began_at > left_at]
    assert again.worker != worker.worker_id


def _make_cell_with_worker_past_its_announced_time():
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="6.0 done 9000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    entry = {**worker.entry(state="draining"), "remaining-ms": 1000}
    cell.store.put("servers", worker.worker_id, entry)
    cell.advance(1.5)
    return cell, worker


def _is_lapsed_or_past_its_time(self, now):
    is_past = self.leaves_at is not None and now > self.leaves_at
    return self.unreachable and not self.listed and (is_past or now >= self.lease_over_at)


def test_worker_that_was_dropped_and_registers_again_has_one_session():
    """A worker is cut off for 3.4 s and its entry expires; its leases end and the leader drops it.

    The worker becomes reachable and registers soon after. The former session continued beside the
    new one, with twice as many lease renewals, and would not have been closed with its leader. Its
    old token, refused by the worker, would have ended a later term of the same instance.
    """
    cell = make_cell(n_instances=3, n_workers=3)
    cell.advance(1.0)
    faults = cell.worker_faults["i-0"]
    faults.silent = True
    cell.advance(1.8)
    cell.store.remove("servers", "i-0")
    cell.advance(1.6)
    faults.clear()
    cell.advance(0.7)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    cell.advance(1.0)
    before = cell.workers["i-0"].n_renewals
    cell.advance(5.0)
    assert cell.workers["i-0"].n_renewals - before <= 11


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_is_reachable_again_after_its_lease_has_one_session(monkeypatch, safeguard):
    """A worker is unreachable, loses its entry, answers before its session ends, and registers.

    The leader had dropped the worker when its lease expired, but the session continued: it renewed
    leases, and the worker's reports were ignored. Once registered, the worker had two sessions.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "drop_lapsed_runs", _drop_workers)
    cell = make_cell(n_instances=2, n_workers=3)
    cell.advance(1.0)
    cell.worker_faults["i-0"].silent = True
    cell.advance(2.0)
    cell.store.remove("servers", "i-0")
    cell.advance(1.6)
    cell.worker_faults["i-0"].clear()
    cell.advance(1.0)
    leader = cell.daemons[cell.leader()].supervisor.part("home")
    assert (cell.workers["i-0"].identity in leader._scheduler.workers) is safeguard
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    cell.advance(1.0)
    before = cell.workers["i-0"].n_renewals
    cell.advance(5.0)
    assert cell.workers["i-0"].n_renewals - before < 1.5 * 5.0 / _session.RENEWAL_WAIT_S


def _drop_workers(self, now):
    for worker in list(self.workers.values()):
        if now >= worker.lease_over_at and not worker.listed:
            del self.workers[worker.info.worker_id]
