"""Long-running tasks that fail at once wherever they run, beside the jobs of others."""

from itertools import pairwise

import pytest

from anvilflow.jobs import Scheduler
from anvilflow.jobs._step_backoffs import MAX_STEP_BACKOFF_S

from ._helpers import make_cell

LASTING = {"count": 1, "cpu": 1000, "long-running": True}

#: Longest wait of a small job on free workers, and longest time in which a long-running task has
#: no run. Unit: seconds.
MAX_WAIT_S = 0.5
MAX_DOWNTIME_S = 6.0


def _count_against_the_worker(self, worker, step, run, now):
    self._note_worker_failure(worker, now)


def _longest_wait(cell):
    """Return the longest wait of one small job a second for a free worker. Unit: seconds."""
    longest_s = 0.0
    for number in range(8):
        job_id = f"{number:015x}b"
        submitted_at = cell.clock.seconds()
        cell.submit("a1", job_id, {"count": 1, "cpu": 1000}, spec="0.05 done 1000")
        cell.advance(1.0)
        began_at = [span.began_at for span in cell.spans if span.task.startswith(job_id)]
        longest_s = max(longest_s, min(began_at, default=cell.clock.seconds()) - submitted_at)
    return longest_s


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("n_failing", [1, 3])
def test_failing_services_do_not_hold_the_jobs_of_others(monkeypatch, n_failing, safeguard):
    """Guards against back-offs of all free workers because of one client's broken service."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_note_long_running_failure", _count_against_the_worker)
    cell = make_cell(n_instances=3, n_workers=8)
    for number in range(n_failing):
        cell.submit("a0", f"{number:015x}f", LASTING, spec="0.02 failed 1000")
    cell.advance(40.0)
    assert (_longest_wait(cell) <= MAX_WAIT_S) is safeguard


def test_failing_service_is_tried_again_in_time_and_not_all_the_time():
    """Guards against an outage that outlasts its cause, and against starts without a pause."""
    cell = make_cell(n_instances=3, n_workers=8)
    cell.submit("a0", "a" * 16, LASTING, spec="0.02 failed 1000")
    cell.advance(60.0)
    began_at = [span.began_at for span in cell.spans if span.began_at > 30.0]
    pauses = [after - before for before, after in pairwise(began_at)]
    assert max(pauses) < MAX_DOWNTIME_S
    assert len(began_at) <= 8 * (30.0 / MAX_STEP_BACKOFF_S + 2)
