"""Shortens the rows of jobs that have ended, and removes them when they ended long ago."""

from collections import deque

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PreconditionError
from ._tables import (
    CANCEL_MARK,
    ENDED,
    JOBS,
    PAYLOADS,
    condition,
    has_payload,
    job_part,
    short_row,
    write,
)

#: Period of looking for rows to remove. Unit: seconds.
SWEEP_S = 5.0

#: Time beyond the one for which states must be kept. Clocks of instances differ a little, and a
#: client may ask at the last moment. Unit: seconds.
MARGIN_S = 10.0

#: Jobs removed in one sweep at the most: 60 a second, twice what the larger deployments accept.
JOBS_PER_SWEEP = 300

#: Payload from which a row is worth a second write. Unit: bytes.
MIN_PAYLOAD_BYTES = 400

#: Jobs in one transaction at the most; it holds 100 entries, and a job has three in a part.
JOBS_PER_COMMIT = 33


class GarbageCollector:
    """Keeps the tables, and the leader's memory, from growing with all jobs that were accepted.

    Parameters
    ----------
    context : CellContext
    on_removed : callable
        Called with the id of each job whose rows are gone.

    Notes
    -----
    The row of the job goes first. Without it a late copy of the job would be accepted anew; without
    the final state the job would seem to run. For the same reason the leader remembers that a job
    has ended until its row is gone: one that it had forgotten would be taken on and run once more.
    """

    def __init__(self, *, context, on_removed):
        self.context = context
        self.on_removed = on_removed
        self._ended = deque()
        self._long = {}

    def add(self, job_id, ended_at):
        """Remove a job's rows when they have been kept long enough after `ended_at`."""
        self._ended.append((ended_at, job_id))

    def shorten(self, job):
        """Replace the row of a job that has ended by a short one with the next sweep.

        A new leader reads the rows of all jobs of the last two minutes, most of which have ended.
        """
        if has_payload(job.spec) and len(job.spec.payload) >= MIN_PAYLOAD_BYTES:
            self._long.setdefault(job_part(job.job_id), []).append(job)

    @inlineCallbacks
    def sweep(self):
        """Shorten and remove what is due; what is not removed is tried again in the next sweep."""
        if not self.context.store_health.is_failing:
            yield self._shorten_rows()
        due = self._take_due()
        try:
            yield self._remove([job_id for _, job_id in due])
        except PlatformError:
            self.context.store_health.record_failure()
            self._ended.extendleft(reversed(due))

    @inlineCallbacks
    def _shorten_rows(self):
        long, self._long = self._long, {}
        for part, jobs in long.items():
            for chunk in _chunks(jobs):
                # The condition keeps a write that is carried out late from making a row again that
                # has been removed meanwhile.
                conditions = [condition(JOBS, job.job_id, job.version, part=part) for job in chunk]
                rows = [write(JOBS, job.job_id, short_row(job), part=part) for job in chunk]
                try:
                    yield self.context.store.commit(conditions, rows)
                except PreconditionError:
                    continue
                except PlatformError:
                    self.context.store_health.record_failure()
                    return

    def _take_due(self):
        kept_s = self.context.settings.bounds.status_kept_s + MARGIN_S
        before = self.context.wall_clock() - kept_s
        due = []
        while self._ended and self._ended[0][0] <= before and len(due) < JOBS_PER_SWEEP:
            due.append(self._ended.popleft())
        return due

    @inlineCallbacks
    def _remove(self, job_ids):
        by_part = {}
        for job_id in job_ids:
            by_part.setdefault(job_part(job_id), []).append(job_id)
        for part, ids in by_part.items():
            for chunk in _chunks(ids):
                keys = [key for job_id in chunk for key in (job_id, job_id + CANCEL_MARK)]
                rows = [write(JOBS, key, None, part=part) for key in keys]
                rows += [write(PAYLOADS, job_id, None, part=part) for job_id in chunk]
                yield self.context.store.commit([], rows)
        for chunk in _chunks(job_ids):
            yield self.context.store.commit([], [write(ENDED, job_id, None) for job_id in chunk])
            for job_id in chunk:
                self.on_removed(job_id)


def _chunks(jobs):
    return [jobs[first : first + JOBS_PER_COMMIT] for first in range(0, len(jobs), JOBS_PER_COMMIT)]
