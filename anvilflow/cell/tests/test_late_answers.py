"""Late or missing answers of all workers or of some."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from anvilflow.cell import _fleet, _session
from anvilflow.cell._session import WorkerSession
from anvilflow.exceptions import WorkerUnreachableError
from anvilflow.jobs import StopRun
from anvilflow.standins import WorkerCall

from ._helpers import make_cell

STEP = {"count": 4, "cpu": 500, "estimate-ms": 300}


def _run_jobs(cell, n_jobs, seconds):
    """Submit short jobs at equal intervals over some seconds."""
    for _ in range(n_jobs):
        job_id = f"{round(1000 * cell.clock.seconds()):016x}"
        cell.submit(cell.other(), job_id, STEP, spec="0.3 done 500")
        cell.advance(seconds / n_jobs)


def _unreachable_workers(cell):
    scheduler = cell.daemons[cell.leader()].supervisor.part("home")._scheduler
    return [name for name, worker in scheduler.workers.items() if worker.unreachable]


@pytest.mark.parametrize("safeguard", [True, False])
def test_workers_that_are_all_late_are_not_unreachable(monkeypatch, safeguard):
    """Guards against marking all workers unreachable when the answers of all of them become late.

    Unreachable workers receive no work.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet, "LATE_UNRESPONSIVE_S", 0.0)
    cell = make_cell(n_workers=12)
    _run_jobs(cell, 20, 1.0)
    for faults in cell.worker_faults.values():
        faults.slow_s = 0.6
    unreachable = set()
    for _ in range(25):
        _run_jobs(cell, 2, 0.1)
        unreachable.update(_unreachable_workers(cell))
    assert (not unreachable) is safeguard


def test_single_worker_without_answers_is_unreachable():
    """Guards against the tolerance for late answers delaying the detection of a lost worker.

    Its tasks would start elsewhere too late.
    """
    cell = make_cell(n_workers=12)
    _run_jobs(cell, 20, 1.0)
    cell.worker_faults["i-0"].silent = True
    _run_jobs(cell, 20, 1.6)
    assert _unreachable_workers(cell) == [cell.workers["i-0"].identity]


def test_all_workers_without_answers_are_unreachable_in_time():
    """Guards against a leader, cut off from all workers, that treats their answers as only late."""
    cell = make_cell(n_workers=6)
    _run_jobs(cell, 10, 1.0)
    for faults in cell.worker_faults.values():
        faults.silent = True
    cell.advance(_fleet.LATE_UNRESPONSIVE_S + 2.5)
    assert len(_unreachable_workers(cell)) == 6


@pytest.mark.parametrize("safeguard", [True, False])
def test_unanswered_starts_share_one_retry_budget(monkeypatch, safeguard):
    """Guards against retries that amplify an overload.

    When no start was answered, each was sent four times, which increased the load fourfold.
    """
    retries = []
    may_retry = _fleet.Fleet.may_retry

    def count_retry(self):
        granted = may_retry(self) or not safeguard
        retries.append(granted)
        return granted

    monkeypatch.setattr(_fleet.Fleet, "may_retry", count_retry)
    cell = make_cell(n_workers=24, cpu=64_000)
    for worker in cell.workers.values():
        worker.draw_delay = lambda path: 30.0 if path == WorkerCall.START else None
    for number in range(40):
        cell.submit(cell.other(), f"{number:016x}", {"count": 8, "cpu": 500})
    cell.advance(2.0)
    assert (sum(retries) <= _fleet.RETRY_BURST) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_unanswered_stops_are_repeated_with_increasing_delays(monkeypatch, safeguard):
    """Guards against repeated stops that keep a link saturated.

    Hundreds of stops without an answer, each sent four times per second, were enough to do so.
    """
    if not safeguard:
        monkeypatch.setattr(_session, "MAX_RETRY_DELAY_S", _session.RETRY_DELAY_S)
    clock = Clock()
    sent = []

    def stop(action, *, timeout):
        sent.append(clock.seconds())
        return fail(WorkerUnreachableError("no answer"))

    calls = SimpleNamespace(worker_id="i-0", timeout=0.4, stop=stop)
    fleet = SimpleNamespace(
        limit_s=lambda: 0.0, call_unanswered=lambda: None, stop_unanswered=lambda *_: None
    )
    session = WorkerSession(clock=clock, calls=calls, fleet=fleet)
    session.stop(StopRun(worker_id="i-0", task="a.0.0.0", run_id=1, why="cancelled"))
    clock.pump([0.05] * 200)
    assert (len(sent) <= 14) is safeguard
