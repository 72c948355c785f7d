"""Runs and workers that the leader's row names beyond the runs that it knows as active."""

import pytest

from anvilflow.cell import _leader_row, _recorder
from anvilflow.jobs import _handover

from ._helpers import JOB, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_end_that_is_not_recorded_yet_keeps_its_task_from_the_next_leader(monkeypatch, safeguard):
    """Guards against running a task again whose end was left out of a full transaction."""
    monkeypatch.setattr(_recorder, "JOBS_PER_COMMIT", 0)
    if not safeguard:
        monkeypatch.setattr(_handover, "_unrecorded_done_runs", lambda scheduler, worker: [])
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(0.8)
    [span] = cell.spans
    assert span.how == "done"
    cell.worker_faults[span.worker].silent = True
    cell.advance(1.5)
    cell.kill(cell.leader())
    monkeypatch.undo()
    cell.advance(0.5)
    cell.worker_faults[span.worker].clear()
    cell.advance(5.0)
    assert (len(cell.spans) == 1) is safeguard
    assert cell.state(cell.other(), JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_unlisted_worker_beyond_the_limit_of_the_row_is_waited_for(monkeypatch, safeguard):
    """Guards against a next leader that does not know of some workers without an entry.

    The entries of all workers expire together when the store is down.
    """
    monkeypatch.setattr(_handover, "MAX_HANDOVER_WORKERS", 0)
    if not safeguard:
        monkeypatch.setattr(_leader_row, "_unlisted_ids", lambda scheduler, handover: set())
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    worker_id = cell.spans[0].worker
    cell.store.remove("servers", worker_id)
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.advance(2.0)
    cell.store.put("servers", worker_id, cell.workers[worker_id].entry())
    cell.advance(3.0)
    assert (cell.check() == []) is safeguard
    assert (len(cell.spans) == 2) is safeguard
