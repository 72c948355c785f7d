"""Workers that shut down gracefully in a soak, on sockets of this machine."""

import subprocess
import sys
from random import Random

import pytest
from twisted.internet.testing import MemoryReactorClock

from anvilflow.standins import RunSpan
from soak._environment import Environment
from soak._faults import (
    LEAVING_KINDS,
    MEETING_KINDS,
    MEETING_S,
    _departure,
    make_departures,
)
from soak._invariants import InvariantChecker

#: Leaves a worker while a connection to it is open. Prints, for each moment of the departure, what
#: a call over the open connection and one over a new connection got: a status or an error.
_SCRIPT = """
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from anvilflow.clients import HttpClient
from anvilflow.standins import Departure
from soak._environment import Environment
from soak._run import loopback_host

environment = Environment(reactor=reactor, host=loopback_host(), n_workers=1)
[slot] = environment.worker_slots
worker = slot.worker
departure = Departure(
    remaining_s=0.2,
    closes_after_s=0.2,
    unlisted_after_s=0.3,
    ends_after_s=1.2,
    replaced_after_s=0.7,
)

@inlineCallbacks
def call(http):
    headers = {b"x-expect-instance": [worker.worker_id.encode()]}
    try:
        status, _ = yield http.post(
            f"http://{slot.address}/-/hold", b'{"last-seen": 0}', timeout=1.0, headers=headers
        )
    except Exception as exc:
        return type(exc).__name__
    return status

@inlineCallbacks
def play():
    kept = HttpClient(clock=reactor)
    yield call(kept)
    environment.leave(slot, departure)
    for pause_s in (0.1, 0.35, 0.5, 0.5):
        yield deferLater(reactor, pause_s, lambda: None)
        over_kept = yield call(kept)
        over_new = yield call(HttpClient(clock=reactor))
        print(over_kept, over_new)
    environment.close()
    reactor.stop()

reactor.callWhenRunning(play)
reactor.run()
"""


def test_worker_that_leaves_serves_open_connections_until_its_process_ends():
    """Guards against departures whose socket stays open, or that end with their socket.

    Before the close of the socket, after it, beside the next worker at the address, after the end.
    """
    done = subprocess.run(
        [sys.executable, "-c", _SCRIPT], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.splitlines() == [
        "200 200",
        "200 ConnectionRefusedError",
        "200 421",
        "421 421",
    ], done.stderr


def test_next_worker_listens_even_if_the_port_is_not_closed_yet():
    """Guards against a worker that cannot be reached: both timers were due in one iteration."""
    script = _SCRIPT.replace("replaced_after_s=0.7", "replaced_after_s=0.2")
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.splitlines()[1:] == ["200 421", "200 421", "421 421"], done.stderr


def test_departures_meet_other_faults_on_the_same_worker():
    """A departure alone does not show what a leader concludes from it beside another fault."""
    faults = make_departures(Random(3), n_faults=40, seconds=20.0)
    assert faults == make_departures(Random(3), n_faults=40, seconds=20.0)
    leaving = {fault.pick: fault for fault in faults if fault.kind in LEAVING_KINDS}
    meeting = [fault for fault in faults if fault.kind in MEETING_KINDS]
    assert len(leaving) == 40
    assert 10 < len(meeting) == len(faults) - 40
    closes_at = {pick: each.at + _departure(each).closes_after_s for pick, each in leaving.items()}
    assert all(abs(fault.at - closes_at[fault.pick]) <= MEETING_S for fault in meeting)


@pytest.mark.parametrize(
    ("how", "second_at", "is_violation"),
    [("done", 2.5, True), ("done", 1.5, True), ("stopped", 1.5, True), ("stopped", 2.5, False)],
)
def test_second_run_beside_or_after_the_first_is_found(how, second_at, is_violation):
    """The check of the invariants must be able to fail."""
    environment = Environment(reactor=MemoryReactorClock(), host="127.0.0.1", n_workers=2)
    for number, began_at, ended_at in ((1, 1.0, 2.0), (2, second_at, 4.0)):
        environment.spans.append(
            RunSpan(
                worker=f"i-{number:04x}",
                task="a.0.0.0",
                run_id=number,
                cpu=1000,
                began_at=began_at,
                ended_at=ended_at,
                how=how if number == 1 else "stopped",
            )
        )
    violations = InvariantChecker(environment=environment).finish([])
    found = [text for text in violations if "runs" in text]
    assert bool(found) is is_violation
