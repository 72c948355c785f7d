"""What callers get of an instance that is told to stop."""

import pytest

from anvilflow.cell import CellDaemon, _leadership, _recorder
from anvilflow.cell._daemon import BALANCER_REMOVAL_S, SIGKILL_MARGIN_S

from ._helpers import JOB, make_cell

#: Time that the platform gives a process to end by itself. Unit: seconds.
GRACE_S = 6.0


def _drain(cell, name):
    """Tell an instance to stop; return a list that gets the time of its end."""
    ends = []
    done = cell.daemons[name].drain()
    done.addCallback(lambda _: ends.append(cell.clock.seconds()))
    return ends


@pytest.mark.parametrize("safeguard", [True, False])
def test_call_that_is_in_progress_is_answered_before_the_process_ends(monkeypatch, safeguard):
    """A caller submits a job to an instance that is about to end, and hears nothing.

    The store is slow, and the process ended 3.5 s after its signal whatever was in progress; the
    caller did not know whether the job had been accepted.

    Evidence. A soak's caller had no answer to a call that it had sent to such an instance within
    20 ms before `stopped` in its log.
    """
    if not safeguard:
        monkeypatch.setattr(CellDaemon, "_answer_last_calls", lambda self, end_at: None)
    cell = make_cell(n_instances=3)
    name = cell.other()
    ends = _drain(cell, name)
    cell.advance(BALANCER_REMOVAL_S + 0.95)
    cell.store_faults.slow_s = 0.6
    answers = cell.submit(name, JOB, {"count": 1, "cpu": 1000})
    while not answers:
        cell.advance(0.01)
    is_accepted = answers[0][0] == 200
    assert (ends == [] and is_accepted) is safeguard
    cell.advance(1.0)
    assert len(ends) == 1


def test_call_that_cannot_be_answered_does_not_keep_the_process_until_it_is_killed():
    """The store takes calls and answers none, and callers go on asking over open connections."""
    cell = make_cell(n_instances=3)
    name = cell.other()
    began = cell.clock.seconds()
    ends = _drain(cell, name)
    cell.store_faults.silent = True
    while not ends and cell.clock.seconds() < began + GRACE_S:
        cell.call(name, "GET", f"/urgent/{JOB}")
        cell.advance(0.1)
    assert ends
    assert ends[0] - began <= GRACE_S - SIGKILL_MARGIN_S + 0.01


def test_instance_without_calls_ends_as_soon_as_the_balancer_knows():
    """Nobody waits for an instance that has nothing to answer."""
    cell = make_cell(n_instances=3)
    began = cell.clock.seconds()
    ends = _drain(cell, cell.other())
    cell.advance(GRACE_S)
    assert ends[0] - began < BALANCER_REMOVAL_S + 1.0 + 0.25


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_that_stops_is_followed_at_once_however_much_it_records(monkeypatch, safeguard):
    """Each of its records between a successor's reading and claim had the claim refused."""
    if not safeguard:
        monkeypatch.setattr(_leadership, "CLAIM_TRIES", 1)
        monkeypatch.setattr(_recorder, "LEAVING_COMMIT_INTERVAL_S", 0.0)
        monkeypatch.setattr(_recorder, "MIN_COMMIT_INTERVAL_S", 0.0)
    cell = make_cell(n_instances=5, n_workers=8, sizes=lambda task, payload: (0.05, "done", 500))
    cell.store_faults.slow_s = 0.02
    for number in range(40):
        cell.submit("a0", f"{number:016x}", *_chain(20))
    cell.advance(0.6)
    former = cell.leader()
    cell.daemons[former].drain()
    cell.advance(0.6)
    assert (cell.leader() != former) is safeguard


def _chain(n_steps):
    steps = [{"count": 2, "cpu": 500, "after": [number - 1]} for number in range(n_steps)]
    steps[0]["after"] = []
    return steps
