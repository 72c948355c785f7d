"""Tests of an instance whose leader part or election part ends with an error and starts again."""

import pytest
from twisted.internet.task import deferLater

from anvilflow.standins import StoreCall

from ._helpers import JOB, STEP, make_cell


def _fail(cell, instance, name):
    part = cell.daemons[instance].supervisor.part(name)
    part.context.bus.on_failure(part, RuntimeError("test"))


@pytest.mark.parametrize("n_instances", [1, 3])
@pytest.mark.parametrize("part", ["home", "leadership"])
@pytest.mark.parametrize("n_failures", [1, 2, 3])
def test_cell_has_a_leader_after_a_part_has_ended(part, n_failures, n_instances):
    """Guards against a claim that no leader part hears of: its process holds the row idly."""
    cell = make_cell(n_instances=n_instances)
    for _ in range(n_failures):
        _fail(cell, cell.leader(), part)
        cell.advance(2.0)
    assert cell.leaders() == [cell.leader()]
    cell.submit("a0", JOB, STEP)
    cell.advance(3.0)
    assert cell.state("a0", JOB) == "completed"
    assert cell.check() == []


def _delay_claims(cell, delay_s):
    """Delay the answers to claims; return a list that receives the times at which they arrive."""
    handle = cell.store.handle
    arrived_at = []

    def handle_late(method, path, query, body, headers):
        answer = handle(method, path, query, body, headers)
        if path != StoreCall.COMMIT or b'"home"' not in body:
            return answer
        arrived_at.append(cell.clock.seconds())
        return deferLater(cell.clock, delay_s, lambda: answer)

    cell.store.handle = handle_late
    return arrived_at


def test_claim_that_is_answered_after_its_part_has_ended_begins_no_term():
    """Guards against a leader part that leads while the election part does not know of it."""
    cell = make_cell(n_instances=1)
    arrived_at = _delay_claims(cell, 0.3)
    cell.daemons["a0"].context.leader.deposed()
    while not arrived_at:
        cell.advance(0.01)
    _fail(cell, "a0", "leadership")
    cell.advance(0.35)
    assert cell.daemons["a0"].context.claimed is None
    assert cell.leaders() == []


def test_claim_confirms_the_leader_as_of_the_time_at_which_it_was_sent():
    """Guards against starts and leases that are sent for longer than a late answer allows."""
    cell = make_cell(n_instances=1)
    arrived_at = _delay_claims(cell, 0.3)
    cell.daemons["a0"].context.leader.deposed()
    cell.advance(0.6)
    assert cell.daemons["a0"].context.claimed.confirmed_at <= arrived_at[0]
