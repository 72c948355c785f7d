"""Tests of an instance whose leader part or election part ends with an error and starts again."""

import pytest

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
