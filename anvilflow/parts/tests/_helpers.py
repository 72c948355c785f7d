"""Sample cells and checks for tests of whole cells."""

from anvilflow.history import check_history
from anvilflow.resources import Amounts, Job
from anvilflow.standins import VirtualCell, make_declarations
from anvilflow.utils import encode

CAPACITY = Amounts(cpu_milli=16_000, memory_mb=32_768, slots=8)


def make_cell(**values):
    """Return a started cell of three instances and six workers."""
    values = {"n_instances": 3, "n_workers": 6, "declarations": make_declarations(), **values}
    cell = VirtualCell(capacity=CAPACITY, **values)
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


def phase_of(cell, job):
    """Return phase and counts of a job."""
    stored = cell.job(job.customer, job.name)
    return stored and (stored.phase.value, stored.n_done, stored.n_failed)


def outcomes(answers):
    """Return the outcomes in lists of answers; None stands for no answer yet."""
    return [str(answer[0].outcome) if answer else None for answer in answers]
