"""Commands of a leader, or in a relay, that is paused after they were decided on."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from anvilflow.cell._session import WorkerSession
from anvilflow.decisions import LeaseClock, MessageAge
from anvilflow.exceptions import WorkerGoneError
from anvilflow.jobs import GracePeriod, StartRun

from ._helpers import JOB, make_cell

#: Duration of the pause. Unit: seconds.
PAUSE_S = 5.0

LEASE_S = 3.0


class _PausedFleet:
    """Fleet of a leader that is paused right after a check whether it may send commands."""

    def __init__(self, clock):
        self.clock = clock

    def may_send_commands(self):
        """Return True, and let the time of the pause pass."""
        self.clock.advance(PAUSE_S)
        return True

    def grant_lease(self, worker_id, sent_at, limit_s):
        """Return the length of a lease."""
        return LEASE_S

    def is_unreachable(self, worker_id):
        """Return that the worker is reachable."""
        return False

    def last_acknowledged_end(self, worker_id):
        """Return that no end is acknowledged."""
        return 0

    def incarnation_ended(self, worker_id, exc):
        """Accept the end of the session."""

    def release_start(self, action):
        """Accept the answer to a start."""

    def renewal_wait(self, worker_id):
        """Return that renewals do not wait."""
        return 0.0

    def limit_s(self):
        """Return the timeout estimated from all workers."""
        return 0.0


@pytest.mark.parametrize("command", ["start", "renewal"])
def test_command_sent_after_a_pause_grants_no_lease_beyond_the_decision(command):
    """Guards against a run of a former leader that the next leader does not wait for."""
    clock = Clock()
    sent = []

    def send(*_, until_s, **__):
        sent.append(until_s)
        return fail(WorkerGoneError("another process answers"))

    calls = SimpleNamespace(worker_id="i-0", timeout=0.4, start=send, renew_leases=send)
    session = WorkerSession(clock=clock, calls=calls, fleet=_PausedFleet(clock))
    session.worker_clock = LeaseClock(worker_time=0.0, sent=0.0, received=0.0)
    if command == "start":
        session.start(
            StartRun(
                worker_id="i-0", task="a.0.0.0", run_id=1, payload="", checkpoint="", ticket=""
            )
        )
    else:
        session.run()
    assert sent == [LEASE_S]


@pytest.mark.parametrize("safeguard", [True, False])
def test_start_in_a_paused_relay_of_a_former_leader_runs_within_the_next_ones_wait(
    monkeypatch, safeguard
):
    """Guards against two runs where a start is the first message of a link: its age counts as 0."""
    monkeypatch.setattr(MessageAge, "note", lambda self, sent_at, received_at: 0.0)
    if not safeguard:
        monkeypatch.setattr(GracePeriod, "may_have_begun", lambda self, version: False)
    names = tuple(f"a{number}" for number in range(5))
    cell = make_cell(n_instances=5, n_workers=6, weak=names)
    cell.advance(1.0)
    relay, leader = cell.other(), cell.leader()
    step = {"count": 4, "cpu": 4000, "estimate-ms": 3000}
    cell.submit(relay, JOB, step, spec="2.0 done 4000")
    cell.advance(0.02)
    cell.pause(relay)
    cell.advance(0.03)
    for worker_id in ("i-0", "i-1", "i-2"):
        cell.worker_faults[worker_id].silent = True
        cell.worker_faults[worker_id].only = set(names) - {relay}
    cell.kill(leader)
    cell.advance(1.5)
    assert (cell.spans == []) is safeguard
    n_runs = len(cell.spans)
    cell.resume(relay)
    cell.advance(0.05)
    assert len(cell.spans) == n_runs + 4
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard
