"""Cancellation of jobs by an instance that cannot reach the leader."""

import pytest
from twisted.internet.defer import inlineCallbacks

from anvilflow.cell import _gateway, _leader
from anvilflow.cell._job_store import read_stored_job
from anvilflow.cell._tables import CANCEL_MARK, JOBS, job_part
from anvilflow.jobs import ENDED_STATES, JobState

from ._helpers import JOB, STEP, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_cancel_mark_is_not_shown_as_the_final_state(monkeypatch, safeguard):
    """A client must not read that its job is cancelled, and later that it is completed.

    An instance without a leader marks the job in the store. The leader reads the marks once a
    second; if the last task ends before that, the job is completed. A mark is a request: only the
    record of the job's end holds its final state.
    """
    monkeypatch.setattr(_leader, "JOBS_FEED_S", 4.0)
    if not safeguard:
        monkeypatch.setattr(_gateway, "read_stored_job", _mark_as_end)
    cell = make_cell()
    name = cell.other()
    cell.submit(cell.leader(), JOB, STEP, spec="2.0 done 1000")
    cell.advance(0.2)
    cell.isolate(name)
    cell.advance(0.6)
    cancelled = cell.call(name, "DELETE", f"/urgent/{JOB}")
    cell.advance(0.1)
    assert cancelled[0][0] == 200
    shown = [cell.state(name, JOB)]
    cell.advance(1.0)
    shown += [cell.state(each, JOB) for each in cell.daemons]
    assert (len(ENDED_STATES & set(shown)) == 1) is safeguard


@inlineCallbacks
def _mark_as_end(store, job_id, caller=None):
    mark = yield store.read_row(JOBS, job_part(job_id), job_id + CANCEL_MARK)
    state, row = yield read_stored_job(store, job_id, caller)
    return (JobState.CANCELLED, None) if mark is not None else (state, row)
