"""Runs that continue after the cancellation of their job.

With `safeguard` False, a test disables the safeguard and expects the failure.
"""

import pytest
from twisted.internet.defer import inlineCallbacks, succeed

from anvilflow.cell import _fleet, _gateway, _job_intake, _leadership
from anvilflow.cell._context import Claimed
from anvilflow.cell._session import START_TIMEOUTS_S, WorkerSession
from anvilflow.exceptions import WorkerRefusedError, WorkerUnreachableError
from anvilflow.jobs import Scheduler, StartRun, _run_tracker

from ._helpers import CANCEL_S, JOB, STEP, cancel, find_runs_after_cancelling, make_cell

#: Payload of a task that runs until it is stopped.
LONG_TASK = "60.0 done 1000"
ONE_TASK = {"count": 1, "cpu": 1000}

#: Longest delay after which a worker executes a command that it did not answer. Unit: seconds.
MAX_DELAY_S = 12.0


def _delay_stops(cell, number):
    """Make each worker execute its next `number` stops with a long delay, without an answer."""
    for worker in cell.workers.values():
        worker.late_s = MAX_DELAY_S
        worker.n_late_stops = number


def _delay_starts(cell, late_s):
    """Make each worker execute its next start, with all retries, `late_s` later, unanswered."""
    for worker in cell.workers.values():
        worker.late_s = late_s
        worker.n_late_starts = len(START_TIMEOUTS_S)


_stop = Scheduler._stop


def _without_orphan_runs(self, worker, item, known, now):
    return []


@inlineCallbacks
def _stop_once(self, action):
    try:
        yield self.calls.stop(action)
    except (WorkerRefusedError, WorkerUnreachableError):
        return
    self.fleet.stop_answered(action)


# The leader that sent the start keeps running


@pytest.mark.parametrize("trusts_lease", [False, True])
@pytest.mark.parametrize("n_late_stops", [0, 2])
@pytest.mark.parametrize("safeguard", [True, False])
def test_late_start_of_a_cancelled_job_is_refused_or_stopped(
    monkeypatch, safeguard, n_late_stops, trusts_lease
):
    """A worker does not answer a start and executes it 2.4 s later; meanwhile the job is cancelled.

    The leader must send the stop before the start is confirmed, and repeat the stop until the
    worker answers: the worker then refuses the start, or ends a run that began before the stop.
    If only confirmed runs were stopped, the late run would continue as one that the leader expects.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_stop", _stop_if_confirmed)
    cell = make_cell(n_instances=3, n_workers=2)
    for worker in cell.workers.values():
        worker.trusts_lease = trusts_lease
        worker.n_late_stops = n_late_stops
    _delay_starts(cell, 2.4)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(0.3)
    acked_at = cancel(cell, cell.other())
    cell.advance(9.0)
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


def _stop_if_confirmed(self, run, now, why):
    return [] if run.state == "starting" else _stop(self, run, now, why)


@pytest.mark.parametrize("cancelled_at", [0.05, 1.0, 2.0, 2.45, 3.0])
@pytest.mark.parametrize("ignores_renewals", [False, True])
def test_late_start_is_stopped_whenever_its_job_is_cancelled(cancelled_at, ignores_renewals):
    """A start takes effect 2.4 s late, its job is cancelled before or after, and stops are delayed.

    If the worker does not answer lease renewals either, its leases expire and its runs lapse.
    """
    cell = make_cell(n_instances=3, n_workers=2)
    now = cell.clock.seconds()
    for worker in cell.workers.values():
        worker.n_late_stops = 2
        worker.renewals_unanswered_between = (now, now + 5.0) if ignores_renewals else (0.0, 0.0)
    _delay_starts(cell, 2.4)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(cancelled_at)
    acked_at = cancel(cell, cell.other())
    cell.advance(12.0)
    assert find_runs_after_cancelling(cell, acked_at) == []
    assert cell.check() == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_start_is_not_retried_after_its_job_is_cancelled(monkeypatch, safeguard):
    """A worker does not answer a start, and the job is cancelled before the start is retried.

    The stop is delayed as well, so the worker would not refuse a retry: the retry would start a
    task of a job whose cancellation was acknowledged.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "is_wanted", lambda self, action: True)
    cell = make_cell(n_instances=3, n_workers=2)
    for worker in cell.workers.values():
        worker.late_s = MAX_DELAY_S
        worker.n_late_starts = worker.n_late_stops = 1
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(0.05)
    acked_at = cancel(cell, cell.other())
    cell.advance(6.0)
    assert (cell.spans == []) is safeguard
    assert find_runs_after_cancelling(cell, acked_at) == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_unanswered_stop_is_repeated(monkeypatch, safeguard):
    """A job is cancelled while it runs, and workers execute the first stops 12 s later, unanswered.

    Each stop is repeated until the worker answers. Sent only once, it takes effect far too late.
    """
    if not safeguard:
        monkeypatch.setattr(WorkerSession, "stop", _stop_once)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, STEP, spec=LONG_TASK)
    cell.advance(1.0)
    _delay_stops(cell, 6)
    acked_at = cancel(cell, cell.other())
    cell.advance(9.0)
    assert len(cell.spans) == 4
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_tasks_on_a_worker_that_left_the_registry_are_stopped(monkeypatch, safeguard):
    """A worker's registry entry is removed while its task runs; then the job is cancelled.

    The leader must keep its session with the worker to send the stop. If the session ended with the
    entry, the task would run until its lease expires.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "registry_entry_removed", _end_session)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(1.0)
    cell.store.remove("servers", cell.spans[0].worker)
    cell.advance(0.1)
    acked_at = cancel(cell, cell.other())
    cell.advance(5.0)
    assert find_runs_after_cancelling(cell, acked_at) == []
    assert (cell.spans[0].how == "stopped") is safeguard


def _end_session(fleet, registry_id):
    fleet.worker_gone(fleet.scheduler.find_incarnation(registry_id).info.worker_id)


# The leader that sent the start is removed


@pytest.mark.parametrize("safeguard", [True, False])
def test_late_start_of_a_removed_leader_is_stopped_by_the_next_leader(monkeypatch, safeguard):
    """A worker does not answer a start, the job is cancelled, and the leader is removed for good.

    The worker executes the start while the next leader cannot reach it. No record mentions the run:
    the next leader finds it in the worker's report and must stop it. Otherwise it would continue
    under the leases of the next leader.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_adopt", _without_orphan_runs)
    cell = make_cell(n_instances=3, n_workers=2)
    _delay_starts(cell, 1.5)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(0.05)
    _delay_stops(cell, 2)
    acked_at = cancel(cell, cell.other())
    _replace_leader(cell)
    for faults in cell.worker_faults.values():
        faults.silent = True
    cell.advance(1.6)
    for faults in cell.worker_faults.values():
        faults.clear()
    cell.advance(9.0)
    assert [span.is_late for span in cell.spans] == [True]
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_tasks_of_a_cancelled_job_are_stopped_at_once_by_each_new_leader(monkeypatch, safeguard):
    """A cancellation is durable, its stops are delayed, and two leaders in a row are removed.

    Each new leader loads the job as ended and stops its runs at the first report. If they were
    treated as runs of a job that may still appear in the feed, each leader would wait 1.5 s, and
    the third would stop them too late: they ran for 4.0 s after the cancellation, 0.6 s too long.
    """
    if not safeguard:
        monkeypatch.setattr(
            Scheduler, "_may_appear_in_feed", lambda self, job_id: job_id not in self.jobs
        )
    cell = make_cell(n_instances=4, n_workers=2)
    cell.submit(cell.other(), JOB, STEP, spec=LONG_TASK)
    cell.advance(1.0)
    _delay_stops(cell, 100)
    acked_at = cancel(cell, cell.other())
    _replace_leader(cell)
    cell.advance(1.8)
    for worker in cell.workers.values():
        worker.n_late_stops = 0
    _replace_leader(cell)
    cell.advance(6.0)
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_cancellation_accepted_without_a_leader_takes_effect(monkeypatch, safeguard):
    """The leader is removed; a client cancels before there is a new leader, and receives 200.

    The gateway writes a cancel mark to the store, and the next leader must read it when its term
    begins. Otherwise the job would continue.
    """
    if not safeguard:
        monkeypatch.setattr(_job_intake.JobIntake, "process_row", lambda self, row: [])
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, STEP, spec=LONG_TASK)
    cell.advance(1.0)
    name = cell.other()
    _replace_leader(cell)
    acked_at = cancel(cell, name)
    cell.advance(6.0)
    assert cell.leader() in cell.leaders()
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_cancellation_lost_with_its_leader_is_marked_by_the_gateway(monkeypatch, safeguard):
    """A slow store has not applied a cancellation yet when the leader that wrote it is removed.

    The gateway of the call must write a cancel mark before it answers. Otherwise it would answer
    2xx for a cancellation that the next leader has no record of.
    """
    if not safeguard:
        monkeypatch.setattr(
            _gateway, "cancel_stored_job", lambda store, job_id, caller: succeed(True)
        )
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, STEP, spec=LONG_TASK)
    cell.advance(1.0)
    former, name = cell.leader(), cell.other()
    cell.store_faults.late_s = 20.0
    cell.store_faults.only = {former}
    _delay_stops(cell, 1)
    answers = cell.call(name, "DELETE", f"/urgent/{JOB}")
    cell.advance(0.1)
    assert not answers
    _replace_leader(cell)
    cell.advance(1.0)
    assert answers[0][0] == 200
    acked_at = cell.clock.seconds()
    cell.advance(6.0)
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_an_unreachable_worker_is_stopped_by_the_next_leader(monkeypatch, safeguard):
    """A worker is unreachable while its job is cancelled and the leader removed, then reachable.

    The former leader's row names the task, but the next leader does not adopt it, as its job has
    ended. The run must be stopped once the worker lists it. Otherwise it would continue under the
    next leader's leases.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_adopt", _without_orphan_runs)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(1.0)
    faults = cell.worker_faults[cell.spans[0].worker]
    faults.silent = True
    cell.advance(0.7)
    acked_at = cancel(cell, cell.other())
    cell.advance(0.2)
    _replace_leader(cell)
    cell.advance(0.8)
    faults.clear()
    cell.advance(6.0)
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard
    assert not safeguard or cell.spans[0].how == "stopped"


@pytest.mark.parametrize("safeguard", [True, False])
def test_late_start_on_a_worker_whose_session_was_closed_is_stopped(monkeypatch, safeguard):
    """A worker does not answer a start, becomes unreachable and loses its registry entry.

    The leader closes the session, and with it ends the repeated stop of the run. The worker
    registers again and executes the start. The new session must stop the run that the worker lists
    and that the leader has no task for.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_adopt", _without_orphan_runs)
    cell = make_cell(n_instances=3, n_workers=1)
    worker = cell.workers["i-0"]
    worker.trusts_lease = True
    _delay_starts(cell, 8.0)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(0.05)
    cell.worker_faults["i-0"].silent = True
    acked_at = cancel(cell, cell.other())
    cell.store.remove("servers", "i-0")
    cell.advance(5.0)
    assert not cell.daemons[cell.leader()].supervisor.part("home")._fleet._sessions
    cell.worker_faults["i-0"].clear()
    cell.store.put("servers", "i-0", worker.entry())
    cell.advance(10.0)
    assert [span.is_late for span in cell.spans] == [True]
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_workers_refuse_a_late_start_of_a_removed_leader(monkeypatch, safeguard):
    """A start arrives after the next leader has contacted the worker, so its token is too low.

    If both leaders had the same token, the task of a cancelled job would start.
    """
    if not safeguard:
        monkeypatch.setattr(_leadership, "Claimed", _same_token)
    cell = make_cell(n_instances=3, n_workers=2)
    _delay_starts(cell, 2.4)
    cell.submit(cell.other(), JOB, ONE_TASK, spec=LONG_TASK)
    cell.advance(0.05)
    _delay_stops(cell, 1)
    acked_at = cancel(cell, cell.other())
    _replace_leader(cell)
    cell.advance(9.0)
    assert (cell.spans == []) is safeguard
    assert find_runs_after_cancelling(cell, acked_at) == []


def _same_token(**values):
    return Claimed(**{**values, "token": 1})


@pytest.mark.parametrize("safeguard", [True, False])
def test_run_of_a_job_without_rows_is_stopped(monkeypatch, safeguard):
    """A worker executes a start whose job ended long ago and has no rows in the store any more.

    The leader waits a limited time for the job to appear in the feed, then stops the run. Without
    the limit it would renew the run's lease with all others on the worker.
    """
    if not safeguard:
        monkeypatch.setattr(_run_tracker, "UNKNOWN_JOB_S", float("inf"))
    cell = make_cell(n_instances=3, n_workers=2)
    fleet = cell.daemons[cell.leader()].supervisor.part("home")._fleet
    worker = cell.workers["i-0"]
    start = StartRun(
        worker_id=worker.identity,
        task=f"{JOB}.0.0.0",
        run_id=1,
        payload=LONG_TASK,
        checkpoint="",
        ticket="",
    )
    worker.late_s = 2.0
    worker.n_late_starts = 1
    calls = fleet._sessions[worker.identity].calls
    calls.start(start, until_s=worker.clock_s() + 3.0).addErrback(lambda _: None)
    worker.n_late_stops = 1
    began_at = cell.clock.seconds()
    cell.advance(9.0)
    assert [span.is_late for span in cell.spans] == [True]
    assert (find_runs_after_cancelling(cell, began_at - CANCEL_S) == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_next_leader_completes_the_stops_of_a_paused_leader(monkeypatch, safeguard):
    """A leader is paused while its stops are in progress, and resumes when there is a new leader.

    Workers refuse the token of its stops by then. The new leader must stop the remaining runs,
    which it finds in the workers' reports.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_adopt", _without_orphan_runs)
    cell = make_cell(n_instances=3, n_workers=2)
    former = cell.leader()
    cell.submit(cell.other(), JOB, STEP, spec=LONG_TASK)
    cell.advance(1.0)
    _delay_stops(cell, 4)
    acked_at = cancel(cell, cell.other())
    cell.pause(former)
    cell.advance(3.0)
    cell.resume(former)
    cell.advance(3.0)
    assert cell.leaders() == [cell.leader()] != [former]
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard


def _replace_leader(cell):
    """Remove the leader for good, and start a new instance."""
    cell.kill(cell.leader())
    cell.start_instance(f"b{len(cell.clocks)}")
