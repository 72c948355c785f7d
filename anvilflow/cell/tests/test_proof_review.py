"""Runs that no proof ends, and runs that are never over."""

import pytest
from logbook import TestHandler as LogRecorder

from ._helpers import JOB, STOP_S, cancel, find_runs_after_cancelling, make_cell, open_connections

#: A start time that no worker has.
WRONG_BORN_MS = 1_800_000_000_000


def _list_with_wrong_start_time(cell, worker):
    cell.store.put("servers", worker.worker_id, {**worker.entry(), "born": WRONG_BORN_MS})


@pytest.mark.parametrize("late_s", [0.3, 3.0])
def test_start_on_its_way_at_a_wrong_start_time_does_not_hold_its_task_for_ever(late_s):
    """Guards against a start whose session has ended, and whose run is neither listed nor over."""
    cell = make_cell(n_instances=2, n_workers=1)
    open_connections(cell)
    worker = cell.workers["i-0"]
    worker.n_late_starts = 1
    worker.late_s = late_s
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.5 done 1000")
    while worker.n_late_starts:
        cell.advance(0.005)
    _list_with_wrong_start_time(cell, worker)
    cell.advance(30.0)
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"


def test_stop_on_its_way_at_a_wrong_start_time_is_sent_again():
    """Guards against a stop that its session gives up although the worker's incarnation goes on."""
    cell = make_cell(n_instances=2, n_workers=1)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="60.0 done 1000")
    cell.advance(1.0)
    worker = cell.workers["i-0"]
    worker.n_late_stops = 1
    worker.late_s = 30.0
    acked_at = cancel(cell, "a0")
    while worker.n_late_stops:
        cell.advance(0.005)
    _list_with_wrong_start_time(cell, worker)
    cell.advance(6.0 + STOP_S)
    assert find_runs_after_cancelling(cell, acked_at) == []


def test_lapse_that_a_worker_lists_later_confirms_the_proof():
    """Guards against a warning that a run was not over although it had lapsed in time."""
    cell = make_cell(n_instances=3, n_workers=3)
    with LogRecorder().applicationbound() as log:
        cell.submit(cell.other(), JOB, {"count": 1, "cpu": 4000}, spec="6.0 done 4000")
        cell.advance(1.0)
        worker_id = cell.spans[0].worker
        cell.worker_faults[worker_id].silent = True
        cell.advance(4.5)
        cell.worker_faults[worker_id].clear()
        cell.advance(3.0)
    assert cell.spans[0].how == "lapsed"
    assert [line.kwargs for line in log.records if line.message == "run was not over"] == []
