"""Simulated cells, sample jobs and checks for tests of whole cells."""

from anvilflow.history import check_history
from anvilflow.resources import Amounts, Job
from anvilflow.standins import VirtualCell, make_declarations
from anvilflow.utils import encode

CAPACITY = Amounts(cpu_milli=16_000, memory_mb=32_768, slots=8)


def make_cell(**values):
    """Return a started cell, by default with three instances and six workers."""
    values = {"n_instances": 3, "n_workers": 6, "declarations": make_declarations(), **values}
    cell = VirtualCell(capacity=CAPACITY, **values)
    cell.start()
    return cell


def make_job(name, workload, n_tasks, *, seconds=0.5, customer="large"):
    """Return a job of `n_tasks` tasks that take `seconds` each."""
    tasks = [
        encode({"token": f"{name}-{index}", "seconds": seconds}).decode()
        for index in range(n_tasks)
    ]
    return Job(name=name, customer=customer, workload=workload, tasks=tasks)


def assert_invariants(cell):
    """Check every invariant over the cell's history, and that no part failed or was restarted."""
    assert cell.errors == []
    for daemon in cell.daemons.values():
        assert set(daemon.supervisor.restarts().values()) == {0}
    for verdict in check_history(cell.history.events, ended_at=cell.clock.seconds()):
        assert verdict.held, verdict


def phase_of(cell, job):
    """Return the phase of a job and its counts of done and failed tasks; None for no such job."""
    stored = cell.job(job.customer, job.name)
    return stored and (stored.phase.value, stored.n_done, stored.n_failed)


def outcomes(answers):
    """Return the outcome of the first answer in each list, None where there is no answer yet."""
    return [str(answer[0].outcome) if answer else None for answer in answers]
