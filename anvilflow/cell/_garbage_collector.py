"""Shortening of the rows of ended jobs, and their removal after the retention period."""

from collections import deque

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PreconditionError
from ._tables import (
    CANCEL_MARK,
    JOBS,
    PAYLOADS,
    condition,
    has_payload,
    job_part,
    short_row,
    write,
)

#: Period of the sweeps for rows to shorten or remove. Unit: seconds.
SWEEP_S = 5.0

#: Time for which rows are kept beyond the period for which states must be available. Clocks of
#: instances differ slightly, and a client may ask at the last moment. Unit: seconds.
RETENTION_MARGIN_S = 10.0

#: Most jobs removed in one sweep: 60 a second, twice what the larger deployments accept.
JOBS_PER_SWEEP = 300

#: Smallest payload for which shortening a row is worth a second write. Unit: bytes.
MIN_SHORTENED_PAYLOAD_BYTES = 400

#: Most jobs in one transaction. It holds 100 conditions and writes; a job has three rows in a part.
JOBS_PER_COMMIT = 33


class GarbageCollector:
    """Limits the growth of the tables and of the leader's memory by removing ended jobs.

    Parameters
    ----------
    context : CellContext
    on_rows_removed : callable
        Called with the ids of jobs whose rows in the table of jobs have been removed, and with the
        version of the transaction.
    remove_final_states : callable
        Called with the ids of the same jobs; removes their final states, see `Recorder`.

    Notes
    -----
    The job's row is removed before its final state: a job that has a row but no final state would
    appear to be running. The leader keeps in memory that a job has ended until its row is removed;
    otherwise it would adopt the job and run it again. After the removal it recognizes late reports
    of the job by the version of the row, see :class:`JobIntake`.

    Rows of jobs are removed without a condition, also by a former leader that does not know of its
    successor yet. The successor may have read such a row before. Therefore final states are removed
    only as long as this instance is the leader: a new leader finds that of each row that it reads.
    """

    def __init__(self, *, context, on_rows_removed, remove_final_states):
        self.context = context
        self.on_rows_removed = on_rows_removed
        self.remove_final_states = remove_final_states
        self._ended = deque()
        self._jobs_to_shorten = {}

    def add(self, job_id, ended_at):
        """Remove a job's rows after the retention period, which begins at `ended_at`."""
        self._ended.append((ended_at, job_id))

    def shorten(self, job):
        """Replace the row of an ended job by a short one in the next sweep.

        A new leader reads the rows of all jobs of the last two minutes, most of which have ended.
        """
        if has_payload(job.spec) and len(job.spec.payload) >= MIN_SHORTENED_PAYLOAD_BYTES:
            self._jobs_to_shorten.setdefault(job_part(job.job_id), []).append(job)

    @inlineCallbacks
    def sweep(self):
        """Shorten and remove the rows that are due; retry failed removals in the next sweep."""
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
        jobs_by_part, self._jobs_to_shorten = self._jobs_to_shorten, {}
        for part, jobs in jobs_by_part.items():
            for chunk in _chunks(jobs):
                # The condition prevents a write that takes effect late from recreating a row that
                # has been removed in the meantime.
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
        kept_s = self.context.settings.bounds.status_kept_s + RETENTION_MARGIN_S
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
                version = yield self.context.store.commit([], rows)
                self.on_rows_removed(chunk, version)
        self.remove_final_states(job_ids)


def _chunks(jobs):
    return [jobs[first : first + JOBS_PER_COMMIT] for first in range(0, len(jobs), JOBS_PER_COMMIT)]
