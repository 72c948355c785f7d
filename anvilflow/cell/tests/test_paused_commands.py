"""Commands of a leader that is paused after it has decided to send them."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from anvilflow.cell._session import WorkerSession
from anvilflow.decisions import LeaseClock
from anvilflow.exceptions import WorkerGoneError
from anvilflow.jobs import StartRun

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

    def lease_sent(self, worker_id, sent_at):
        """Accept a lease."""

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

    def renewal_wait(self):
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
    session = WorkerSession(clock=clock, calls=calls, lease_s=LEASE_S, fleet=_PausedFleet(clock))
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
