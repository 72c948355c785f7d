"""Lasting tasks that have failed often when the leader changes."""

import pytest

from anvilflow.jobs import Scheduler, _run_numbers
from anvilflow.jobs._run_numbers import RunNumbers

from ._helpers import JOB, make_cell

#: Run numbers of a term in these tests, so that few runs pass them.
RUNS_PER_TERM = 40

#: Time from a change of leader to the next run of a task that waits for it. Unit: seconds.
MAX_OUTAGE_S = 3.0

LASTING = {"count": 1, "cpu": 1000, "long-running": True}
GANG = {"count": 2, "cpu": 1000, "long-running": True, "gang": True}


@pytest.fixture(autouse=True)
def _few_runs_per_term(monkeypatch):
    monkeypatch.setattr(_run_numbers, "RUNS_PER_TERM", RUNS_PER_TERM)
    monkeypatch.setattr(_run_numbers, "RESERVED_RUNS", RUNS_PER_TERM)
    monkeypatch.setattr(_run_numbers, "MIN_UNUSED_RUNS", RUNS_PER_TERM // 2)


def _assume_no_more_runs_than_a_term_has(monkeypatch):
    monkeypatch.setattr(RunNumbers, "may_use_next", True)
    monkeypatch.setattr(RunNumbers, "needs_reservation", False)


def _skip_no_numbers(monkeypatch):
    monkeypatch.setattr(Scheduler, "_note_refused_number", lambda *_: [])


def _fail_often(step, *, n_runs):
    """Return a cell with a task that has failed so often and waits for its next start."""
    cell = make_cell(n_instances=6, n_workers=8)
    cell.submit("a0", JOB, step, spec="0.02 failed 1000")
    while len(cell.spans) < n_runs:
        cell.advance(0.5)
    n_spans = 0
    while n_spans < len(cell.spans):
        n_spans = len(cell.spans)
        cell.advance(1.0)
    return cell


def _replace_leader(cell):
    leader = cell.leader()
    cell.kill(leader)
    while cell.leader() == leader:
        cell.advance(0.05)


def _is_started_again(cell):
    n_spans = len(cell.spans)
    cell.advance(MAX_OUTAGE_S)
    return len(cell.spans) > n_spans


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize(("step", "n_changes"), [(LASTING, 1), (LASTING, 2), (GANG, 1)])
def test_task_that_has_failed_often_runs_again_after_changes_of_leader(
    monkeypatch, step, n_changes, safeguard
):
    """Guards against a next leader whose run numbers are below those that workers know."""
    if not safeguard:
        _assume_no_more_runs_than_a_term_has(monkeypatch)
        _skip_no_numbers(monkeypatch)
    cell = _fail_often(step, n_runs=(3 + n_changes) * RUNS_PER_TERM)
    for _ in range(n_changes):
        _replace_leader(cell)
    assert _is_started_again(cell) is safeguard
    assert not cell.check() and not cell.errors


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_of_which_workers_know_higher_numbers_runs_again(monkeypatch, safeguard):
    """Guards against an outage as long as the numbers that a leader does not know of are many."""
    if not safeguard:
        _skip_no_numbers(monkeypatch)
    cell = _fail_often(LASTING, n_runs=RUNS_PER_TERM // 2)
    for worker in cell.workers.values():
        worker.barred_run_ids[f"{JOB}.0.0.0"] = 50_000
    _replace_leader(cell)
    assert _is_started_again(cell) is safeguard


def test_task_waits_for_a_store_that_cannot_record_its_next_numbers():
    """Guards against numbers in an outage of the store that the next leader takes for unused."""
    cell = _fail_often(LASTING, n_runs=RUNS_PER_TERM // 2)
    cell.store_faults.silent = True
    cell.advance(120.0)
    highest = max(span.run_id for span in cell.spans)
    cell.store_faults.clear()
    _replace_leader(cell)
    cell.advance(3 * MAX_OUTAGE_S)
    later = [span.run_id for span in cell.spans if span.run_id > highest]
    assert highest <= 2 * RUNS_PER_TERM
    assert later and min(later) > highest
