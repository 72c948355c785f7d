"""Answers of workers that are late, all of them or some."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from anvilflow.cell import _fleet, _session
from anvilflow.cell._session import WorkerSession
from anvilflow.exceptions import WorkerUnreachableError
from anvilflow.jobs import StopRun
from anvilflow.standins import OrderCall

from ._helpers import make_cell

STEP = {"count": 4, "cpu": 500, "estimate-ms": 300}


def _run_jobs(cell, n_jobs, seconds):
    """Submit quick jobs, spread over a time."""
    for _ in range(n_jobs):
        job_id = f"{round(1000 * cell.clock.seconds()):016x}"
        cell.submit(cell.other(), job_id, STEP, spec="0.3 done 500")
        cell.advance(seconds / n_jobs)


def _silent_workers(cell):
    scheduler = cell.daemons[cell.leader()].supervisor.part("home")._scheduler
    return [name for name, worker in scheduler.workers.items() if worker.unreachable]


@pytest.mark.parametrize("safeguard", [True, False])
def test_workers_that_are_all_late_are_not_silent(monkeypatch, safeguard):
    """Answers of all workers begin to come late: taken for silent, none of them got any work."""
    if not safeguard:
        monkeypatch.setattr(_fleet, "LATE_UNRESPONSIVE_S", 0.0)
    cell = make_cell(n_workers=12)
    _run_jobs(cell, 20, 1.0)
    for faults in cell.worker_faults.values():
        faults.slow_s = 0.6
    silent = set()
    for _ in range(25):
        _run_jobs(cell, 2, 0.1)
        silent.update(_silent_workers(cell))
    assert (not silent) is safeguard


def test_worker_that_does_not_answer_is_silent_while_the_others_do():
    """Patience with late answers must not keep a lost worker's tasks from starting elsewhere."""
    cell = make_cell(n_workers=12)
    _run_jobs(cell, 20, 1.0)
    cell.worker_faults["i-0"].silent = True
    _run_jobs(cell, 20, 1.6)
    assert _silent_workers(cell) == ["i-0"]


def test_leader_that_no_worker_answers_sees_them_all_silent_in_time():
    """Cut off from all of them, it must not go on as if their answers were only late."""
    cell = make_cell(n_workers=6)
    _run_jobs(cell, 10, 1.0)
    for faults in cell.worker_faults.values():
        faults.silent = True
    cell.advance(_fleet.LATE_UNRESPONSIVE_S + 2.5)
    assert len(_silent_workers(cell)) == 6


@pytest.mark.parametrize("safeguard", [True, False])
def test_starts_without_an_answer_share_one_budget_of_retries(monkeypatch, safeguard):
    """Each start was sent four times: an overload that loses answers grew fourfold."""
    retries = []
    may_retry = _fleet.Fleet.may_retry

    def counted(self):
        granted = may_retry(self) or not safeguard
        retries.append(granted)
        return granted

    monkeypatch.setattr(_fleet.Fleet, "may_retry", counted)
    cell = make_cell(n_workers=24, cpu=64_000)
    for worker in cell.workers.values():
        worker.draw_delay = lambda path: 30.0 if path == OrderCall.START else None
    for number in range(40):
        cell.submit(cell.other(), f"{number:016x}", {"count": 8, "cpu": 500})
    cell.advance(2.0)
    assert (sum(retries) <= _fleet.RETRY_BURST) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_stops_without_an_answer_are_sent_less_and_less_often(monkeypatch, safeguard):
    """Hundreds of stops, each sent four times a second, kept a full link full by themselves."""
    if not safeguard:
        monkeypatch.setattr(_session, "MAX_RETRY_DELAY_S", _session.RETRY_DELAY_S)
    clock = Clock()
    sent = []

    def stop(action, *, timeout):
        sent.append(clock.seconds())
        return fail(WorkerUnreachableError("no answer"))

    calls = SimpleNamespace(worker_id="i-0", timeout=0.4, stop=stop)
    fleet = SimpleNamespace(limit_s=lambda: 0.0, call_unanswered=lambda: None)
    session = WorkerSession(clock=clock, calls=calls, lease_s=3.0, fleet=fleet)
    session.stop(StopRun(worker_id="i-0", task="a.0.0.0", run_id=1, why="cancelled"))
    clock.pump([0.05] * 200)
    assert (len(sent) <= 14) is safeguard
