"""Accepted jobs in the store: written once by an entry, marked when they are cancelled."""

from twisted.internet.defer import FirstError, gatherResults, inlineCallbacks

from ..exceptions import PreconditionError
from ..jobs import EndedJob, JobState
from ..utils import decode
from ._tables import CANCEL_MARK, ENDED, JOB_PARTS, JOBS, PART, condition, job_part, write


@inlineCallbacks
def read_jobs(store):
    """Return the rows of all jobs, and the version to follow the table from.

    The parts are read at the same time; the version is the oldest of the readings.
    """
    results = yield gather([store.read(JOBS, part) for part in JOB_PARTS])
    rows = [row for part_rows, _ in results for row in part_rows]
    return rows, min(version for _, version in results)


def gather(calls):
    """Return a Deferred of all results; it fails with the first failure itself."""
    return gatherResults(calls, consumeErrors=True).addErrback(_first_error)


def _first_error(failure):
    failure.trap(FirstError)
    return failure.value.subFailure


@inlineCallbacks
def store_job(store, value, *, timeout=None):
    """Make a job durable; return the version of its row, or 0 when it was accepted before.

    The row stays for a while after the job has ended: the same job may come again seconds later.
    """
    job_id = value.spec.job_id
    part = job_part(job_id)
    try:
        version = yield store.commit(
            [condition(JOBS, job_id, 0, part=part)],
            [write(JOBS, job_id, value, part=part)],
            timeout=timeout,
        )
    except PreconditionError:
        return 0
    return version


@inlineCallbacks
def read_stored_job(store, job_id):
    """Return a job's :class:`JobState` and its row as the store has them, or (None, None)."""
    ended = yield store.read_row(ENDED, PART, job_id)
    if ended is not None:
        return JobState(decode(ended.value, EndedJob).state), None
    end = job_id + CANCEL_MARK + "\0"
    rows, _ = yield store.read(JOBS, job_part(job_id), first=job_id, end=end)
    keys = {row.key: row for row in rows}
    if job_id + CANCEL_MARK in keys:
        return JobState.CANCELLED, None
    return (JobState.RUNNING, keys[job_id]) if job_id in keys else (None, None)


@inlineCallbacks
def cancel_stored_job(store, job_id):
    """Mark a job as cancelled without its home; return False when there is no such job."""
    state, row = yield read_stored_job(store, job_id)
    if row is not None:
        part = job_part(job_id)
        try:
            yield store.commit(
                [condition(JOBS, job_id, row.version, part=part)],
                [write(JOBS, job_id + CANCEL_MARK, True, part=part)],
            )
        except PreconditionError:
            return True
    return state is not None
