"""Runs and workers that the leader's row names beyond the runs that it knows as active."""

import pytest

from anvilflow.cell import _recorder
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
