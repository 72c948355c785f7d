"""Removes the rows of jobs that ended long ago."""

from collections import deque

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError
from ._tables import CANCEL_MARK, ENDED, JOBS, job_part, write

#: Period of looking for rows to remove. Unit: seconds.
SWEEP_S = 5.0

#: Time beyond the one for which states must be kept. Clocks of instances differ a little, and a
#: client may ask at the last moment. Unit: seconds.
MARGIN_S = 10.0

#: Jobs removed in one sweep at the most: 8 a second, ten times today's rate of a job a second, in
#: two calls each.
JOBS_PER_SWEEP = 40


class Janitor:
    """Keeps the tables from growing with all jobs that were ever accepted.

    Parameters
    ----------
    context : CellContext

    Notes
    -----
    The row of the job goes first. Without it a late copy of the job would be accepted anew; without
    the final state the job would seem to run.
    """

    def __init__(self, *, context):
        self.context = context
        self._ended = deque()

    def add(self, job_id, ended_at):
        """Remove a job's rows when they have been kept long enough after `ended_at`."""
        self._ended.append((ended_at, job_id))

    @inlineCallbacks
    def sweep(self):
        """Remove what is due; what fails is tried again in the next sweep."""
        kept = self.context.settings.bounds.status_kept_s + MARGIN_S
        for _ in range(JOBS_PER_SWEEP):
            if not self._ended or self.context.wall_clock() - self._ended[0][0] < kept:
                return
            _, job_id = self._ended[0]
            part = job_part(job_id)
            rows = [write(JOBS, key, None, part=part) for key in (job_id, job_id + CANCEL_MARK)]
            try:
                yield self.context.store.commit([], rows)
                yield self.context.store.commit([], [write(ENDED, job_id, None)])
            except PlatformError:
                self.context.store_health.bad()
                return
            self._ended.popleft()
