"""The whole path under virtual time: callers, entry, owner, worker, table."""

import pytest

from anvilflow.decisions import Outcome
from anvilflow.history import check_history
from anvilflow.resources import Amounts, Job, JobPhase
from anvilflow.standins import VirtualCell, make_declarations
from anvilflow.utils import encode

CAPACITY = Amounts(cpu_milli=16_000, memory_mb=32_768, slots=8)


def make_cell(**values):
    """Return a started cell of three instances and six workers."""
    values = {"n_instances": 3, "n_workers": 6, **values}
    cell = VirtualCell(capacity=CAPACITY, declarations=make_declarations(), **values)
    cell.start()
    return cell


def make_job(name, workload, n_tasks, *, seconds=0.5, customer="large"):
    """Return a job of timed tasks."""
    tasks = [
        encode({"token": f"{name}-{index}", "seconds": seconds}).decode()
        for index in range(n_tasks)
    ]
    return Job(name=name, customer=customer, workload=workload, tasks=tasks)


def assert_promises(cell):
    """Check every promise over the cell's history, and that no part failed."""
    assert cell.errors == []
    for daemon in cell.daemons.values():
        assert set(daemon.supervisor.restarts().values()) == {0}
    for verdict in check_history(cell.history.events, ended_at=cell.clock.seconds()):
        assert verdict.held, verdict


def test_request_is_served_end_to_end():
    cell = make_cell()
    answers = cell.request("a1", "small", "lookup")
    cell.advance(0.2)
    assert [answer.outcome for answer in answers] == [Outcome.COMPLETED]
    assert_promises(cell)


@pytest.mark.parametrize("workload, n_tasks", [("refresh", 40), ("assembly", 12)])
def test_job_runs_to_its_end(workload, n_tasks):
    cell = make_cell()
    answers = cell.submit("a2", make_job("j1", workload, n_tasks))
    cell.advance(8.0)
    assert answers[0].changed
    job = cell.job("large", "j1")
    assert (job.phase, job.n_done, job.n_failed) == (JobPhase.COMPLETED, n_tasks, 0)
    assert_promises(cell)
