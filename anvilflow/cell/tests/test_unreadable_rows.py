"""Tests that an unreadable row in the store affects only its own job."""

import pytest

from ._helpers import JOB, make_cell

OTHER_JOB = "00000000000000b2"

#: Values as another program or a newer release may write them.
UNREADABLE_VALUES = ({"spec": 1}, [], {"state": 3, "failures": 7})


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
@pytest.mark.parametrize("table", ["jobs", "progress", "ended"])
def test_new_leader_serves_other_jobs_despite_an_unreadable_row(table, value):
    """Guards against an unreadable row that stops each successive leader."""
    cell = make_cell(n_instances=3)
    cell.submit("a0", OTHER_JOB, {"count": 1, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(0.2)
    part = "jobs-01" if table == "jobs" else "cell"
    cell.store.put(table, "01000000000000c3", value, part=part)
    cell.kill(cell.leader())
    cell.advance(8.0)
    instance = next(iter(cell.daemons))
    assert cell.state(instance, OTHER_JOB) == "completed"
    cell.submit(instance, JOB, {"count": 1, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(3.0)
    assert cell.state(instance, JOB) == "completed"


@pytest.mark.parametrize("table", ["progress", "ended"])
def test_job_with_an_unreadable_row_is_not_restarted(table):
    """Guards against rerunning tasks whose completion is stored in an unreadable row."""
    cell = make_cell(n_instances=3)
    steps = ({"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]})
    cell.submit("a0", JOB, *steps, spec="2.0 done 1000")
    cell.advance(2.5)
    n_runs = len(cell.spans)
    cell.store.put(table, JOB, [], part="cell")
    cell.kill(cell.leader())
    cell.advance(12.0)
    assert len(cell.spans) == n_runs


def test_unreadable_row_written_later_does_not_stop_the_leader():
    """Guards against a leader that fails on an unreadable update of the jobs table."""
    cell = make_cell(n_instances=3)
    leader = cell.leader()
    cell.store.put("jobs", "01000000000000c3", [], part="jobs-01")
    cell.advance(3.0)
    assert cell.leaders() == [leader]
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(3.0)
    assert cell.state("a0", JOB) == "completed"
