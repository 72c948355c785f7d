"""Each safeguard is necessary: the same failure with it, and with it removed."""

import pytest

from anvilflow.clients import Condition, Write
from anvilflow.decisions import AllocationIndex, LeaseClock, OwnerScheduler
from anvilflow.exceptions import PreconditionError
from anvilflow.history import check_history
from anvilflow.parts import CoordinatorPart, StorePart
from anvilflow.parts._events import CommitRequest
from anvilflow.standins import WorkerState

from ._helpers import make_cell, make_job, phase_of


def violated_invariants(cell):
    """Return the names of the invariants that the history violates."""
    verdicts = check_history(cell.history.events, ended_at=cell.clock.seconds())
    return [verdict.promise for verdict in verdicts if not verdict.held]


def expected(safeguard, promise):
    """Return the invariants that are violated: `promise` without the safeguard, else none."""
    return [] if safeguard else [promise]


@pytest.mark.parametrize("safeguard", [True, False])
def test_epoch_refuses_a_former_owner_that_resumes(monkeypatch, safeguard):
    """An owner is paused while its workers are taken over and filled, and is then resumed.

    Its state is outdated: it treats the workers as its own and as empty, and sends them requests at
    once. The workers refuse these because of the old epoch, and the requests are served elsewhere
    or refused.
    """
    if not safeguard:
        monkeypatch.setattr(WorkerState, "_check_epoch", lambda self, epoch: None)
    cell = make_cell(n_instances=2, n_workers=4)
    cell.pause_instance("a2")
    cell.advance(3.0)
    for _ in range(10):
        for customer in ("small", "large"):
            cell.request("a1", customer, "lookup", seconds=6.0)
            cell.request("a1", customer, "lookup", seconds=6.0)
        cell.advance(0.02)
    cell.resume_instance("a2")
    for customer in ("small", "large"):
        for _ in range(6):
            cell.request("a2", customer, "lookup", seconds=6.0)
    cell.advance(15.0)
    assert violated_invariants(cell) == expected(safeguard, "no worker over its capacity")


@pytest.mark.parametrize("safeguard", [True, False])
def test_row_of_the_coordinator_refuses_intents_of_a_former_coordinator(monkeypatch, safeguard):
    """A coordinator is paused with its intents in flight to a slow table.

    Another coordinator takes over the jobs, reads no intents, and places and starts the tasks. Then
    the old intents arrive. If they replaced the new ones, the next coordinator would query the
    wrong workers, find no runs there and start the tasks a second time.
    """
    if not safeguard:

        def commit(self, coordinator, customer, writes, done):
            self.post(CommitRequest(conditions=[], writes=writes, done=done))

        monkeypatch.setattr(CoordinatorPart, "_commit", commit)
    cell = make_cell(n_instances=5, n_workers=12)
    cell.submit("a1", make_job("j1", "refresh", 24, seconds=9.0))
    first = wait_for_coordinator(cell)
    cell.table_faults.slow_s = 3.5
    cell.advance(0.1)
    cell.pause_instance(first)
    cell.table_faults.slow_s = 0.0
    cell.advance(3.6)
    cell.daemons.pop(first)
    cell.crash_instance(wait_for_coordinator(cell))
    cell.advance(30.0)
    assert violated_invariants(cell) == expected(safeguard, "no task in two places")


def wait_for_coordinator(cell):
    """Advance time until an instance coordinates the customer "large"; return its name."""
    while True:
        for name, daemon in cell.daemons.items():
            if daemon.supervisor.part("home").dump().get("large"):
                return name
        cell.advance(0.005)


@pytest.mark.parametrize("safeguard", [True, False])
def test_unanswered_request_keeps_its_place(monkeypatch, safeguard):
    """Requests run far longer than declared, and continue after their callers' deadlines.

    Their places must stay taken until the worker's report no longer lists them. Otherwise the next
    requests would exceed the worker's capacity.
    """
    if not safeguard:

        def overdue(self, request_id):
            return self.finished(request_id, 0.0)

        monkeypatch.setattr(OwnerScheduler, "overdue", overdue)
    cell = make_cell(n_workers=2)
    for _ in range(40):
        for customer in ("small", "large"):
            cell.request("a1", customer, "lookup", seconds=20.0, deadline_s=0.5)
        cell.advance(0.1)
    cell.advance(1.0)
    assert violated_invariants(cell) == expected(safeguard, "no worker over its capacity")


@pytest.mark.parametrize("safeguard", [True, False])
def test_request_that_arrives_late_is_refused(monkeypatch, safeguard):
    """Requests are in flight to a worker for longer than their callers wait.

    The worker's report does not list them yet. If their places were given to others, they would
    exceed the worker's capacity on arrival. Each request therefore carries the time up to which it
    may begin. The worker refuses it after that time, and its place is kept until that time has
    passed on the worker's clock. (Chaos seed 186.)
    """
    if not safeguard:
        monkeypatch.setattr(WorkerState, "_check_in_time", lambda self, request_id, until: None)
    cell = make_cell(n_instances=1, n_workers=1)
    worker = cell.workers["w01"]
    worker.faults.slow_s = 6.0
    for _ in range(3):
        for customer in ("small", "large"):
            cell.request("a1", customer, "lookup", seconds=8.0, deadline_s=0.5)
    cell.advance(0.02)
    worker.faults.slow_s = 0.0
    cell.advance(2.0)
    for _ in range(4):
        for customer in ("small", "large"):
            cell.request("a1", customer, "lookup", seconds=8.0, deadline_s=9.0)
    cell.advance(12.0)
    assert violated_invariants(cell) == expected(safeguard, "no worker over its capacity")


@pytest.mark.parametrize("safeguard", [True, False])
def test_new_owner_accounts_for_running_tasks(monkeypatch, safeguard):
    """An owner crashes while its workers are full of running tasks.

    Before it places anything, the next owner must account for the tasks and requests that the
    worker reports as running.
    """
    if not safeguard:
        add_worker = OwnerScheduler.add_worker

        def add_worker_without_report(
            self, allocation, now, *, tasks=(), requests=(), leaving=False
        ):
            return add_worker(self, allocation, now)

        monkeypatch.setattr(OwnerScheduler, "add_worker", add_worker_without_report)
    cell = make_cell()
    for customer in ("small", "large"):
        cell.submit("a1", make_job("j1", "refresh", 60, seconds=9.0, customer=customer))
    cell.advance(1.0)
    cell.crash_instance("a2")
    cell.advance(7.0)
    assert ("no worker over its capacity" in violated_invariants(cell)) is not safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_lease_on_the_workers_clock_is_not_extended_by_delay(safeguard):
    """A renewal is in flight for 20 s. It holds a time on the worker's clock, so it is expired.

    A renewal of the form "15 s from now" would let the task run on after the sender has counted the
    lease as expired and placed the task elsewhere.
    """
    sent, delay, lease = 100.0, 20.0, 15.0
    clock = LeaseClock(worker_time=50.0, sent=sent - 1, received=sent)
    until = clock.until(now=sent, lease_s=lease) if safeguard else 50.0 + delay + lease
    over_at = clock.local_time_of(clock.until(now=sent, lease_s=lease), drift=0.01)
    worker_time_then = 50.0 + (over_at - sent) * 0.99
    assert (until <= worker_time_then + 0.01 * lease) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_group_commit_splits_a_refused_group(monkeypatch, safeguard):
    """Two customers' records share a transaction, and one customer has a new coordinator.

    That customer's failed condition refuses the whole transaction. Committed separately, the other
    customer's records are written, so that its job can complete.
    """
    if not safeguard:

        def commit_group(self, group):
            def settle(error):
                for ask in group:
                    ask.done(error)

            return self._commit(group).addCallback(settle)

        monkeypatch.setattr(StorePart, "_commit_group", commit_group)
    cell = make_cell(n_instances=1)
    results = []
    good = CommitRequest(conditions=[], writes=[], done=results.append)
    stale = CommitRequest(conditions=[_stale_condition()], writes=[], done=lambda error: None)
    for ask in (good, stale):
        cell.daemons["a1"].context.bus.post(ask)
    cell.advance(1.0)
    assert (results == [None]) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_records_of_two_terms_are_not_written_under_one_condition(monkeypatch, safeguard):
    """A coordinator loses its row and claims it again while a record of its first term is queued.

    Both records name the same task. Written together, under the condition of the second term, the
    stale record would replace the current one, and the next coordinator would query the wrong
    worker for the task.
    """
    if not safeguard:
        monkeypatch.setattr(
            "anvilflow.parts._store._conditions_agree", lambda request, versions: True
        )
    cell = make_cell(n_instances=1)
    taken = cell.table.commit([], [("home/other", {"holder": "a1"})])
    results = {}
    for version, worker in ((taken + 7, "w06"), (taken, "w02")):
        ask = CommitRequest(
            conditions=[Condition(key="home/other", version=version)],
            writes=[Write(key=f"task/other/{worker}", value={"worker": worker})],
            done=lambda error, worker=worker: results.__setitem__(worker, error),
        )
        cell.daemons["a1"].context.bus.post(ask)
    cell.advance(1.0)
    assert results["w02"] is None
    assert isinstance(results["w06"], PreconditionError) is safeguard
    assert ("task/other/w06" in cell.table.rows) is not safeguard


def _stale_condition():
    return Condition(key="home/other", version=7)


@pytest.mark.parametrize("safeguard", [True, False])
def test_reserve_keeps_capacity_for_requests(safeguard):
    """A batch job takes all it may of the cell; another customer's request gets a place at once."""
    allocations = AllocationIndex(reserve=0.25 if safeguard else 0.0)
    scheduler = OwnerScheduler(reserve=allocations.reserve)
    cell = make_cell(n_instances=1)
    from anvilflow.resources import Policy, ServicePolicy

    policy = Policy(name="interactive", rules=ServicePolicy(reserve=scheduler.allocations.reserve))
    done = cell.daemons["a1"].context.resources.write("Policy/interactive", policy)
    cell.advance(2.0)
    assert done.called
    job = make_job("j1", "refresh", 100, seconds=30.0)
    cell.submit("a1", job)
    cell.advance(3.0)
    answers = cell.request("a1", "small", "lookup", deadline_s=2.0)
    cell.advance(1.0)
    assert phase_of(cell, job)[0] == "running"
    assert bool(answers) is safeguard
