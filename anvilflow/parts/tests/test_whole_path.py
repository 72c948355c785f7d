"""Requests and jobs in a complete cell in virtual time, from the caller to worker and table."""

import pytest

from anvilflow.decisions import Outcome
from anvilflow.resources import JobPhase

from ._helpers import assert_invariants, make_cell, make_job


def test_request_is_served_end_to_end():
    cell = make_cell()
    answers = cell.request("a1", "small", "lookup")
    cell.advance(0.2)
    assert [answer.outcome for answer in answers] == [Outcome.COMPLETED]
    assert_invariants(cell)


@pytest.mark.parametrize("workload, n_tasks", [("refresh", 40), ("assembly", 12)])
def test_job_runs_to_completion(workload, n_tasks):
    cell = make_cell()
    answers = cell.submit("a2", make_job("j1", workload, n_tasks))
    cell.advance(8.0)
    assert answers[0].changed
    job = cell.job("large", "j1")
    assert (job.phase, job.n_done, job.n_failed) == (JobPhase.COMPLETED, n_tasks, 0)
    assert_invariants(cell)
