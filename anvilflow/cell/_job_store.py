"""Accepted jobs in the store: written once by an entry, marked when they are cancelled."""

from functools import partial

from twisted.internet.defer import (
    DeferredSemaphore,
    FirstError,
    gatherResults,
    inlineCallbacks,
)

from ..exceptions import (
    PlatformError,
    PlatformUnavailableError,
    PreconditionError,
    SlowWriteError,
)
from ..jobs import EndedJob, JobState
from ..utils import decode
from ._pending_result import PendingResult
from ._tables import (
    CANCEL_MARK,
    ENDED,
    JOB_PARTS,
    JOBS,
    PART,
    condition,
    job_part,
    job_writes,
    write,
)

#: Longest wait for the write of a job's row. A part of the store queues for 1 s at the most and
#: then refuses. Where the store is a hundred times as slow as usual, a write itself takes 0.3 s and
#: its answer 0.4 s. Clients wait for 3 s. Unit: seconds.
LONGEST_WRITE_S = 1.8

#: Least pause between readings of the row, and the wait for one. A store that answers none is away.
#: Unit: seconds.
READ_BACK_S = 0.3
READ_BACK_TIMEOUT_S = 0.6

_TICK_S = 1e-4


@inlineCallbacks
def read_jobs(store, at_once):
    """Return the rows of all jobs, and the version to follow the table from.

    So many parts are read at the same time; the version is the oldest of the readings.
    """
    parts = yield gather([partial(store.read, JOBS, part) for part in JOB_PARTS], at_once)
    return join_parts(parts)


def join_parts(parts):
    """Return the rows of all parts' readings, and the version to follow the table from."""
    rows = [row for part_rows, _ in parts for row in part_rows]
    return rows, min(version for _, version in parts)


def gather(calls, at_once):
    """Make calls, so many at once; return a Deferred of all results.

    It fails with the first failure itself; calls that have not begun by then are not made.
    """
    turns = DeferredSemaphore(at_once)
    pending = [turns.run(call) for call in calls]
    done = gatherResults(pending, consumeErrors=True)
    return done.addErrback(_first_error, pending)


def _first_error(failure, pending):
    failure.trap(FirstError)
    for each in pending:
        each.cancel()
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
            job_writes(value),
            timeout=timeout,
        )
    except PreconditionError:
        return 0
    return version


@inlineCallbacks
def store_job_surely(store, value, *, clock, doubt_s):
    """Make a job durable; while the answer is out, look whether the row is there.

    Where answers are lost, a reading finds the row after `doubt_s`. Where the store is slow the one
    write goes on waiting. A second write would find the row, too, but it queues behind the first:
    with the store a hundred times as slow, parts filled with second writes took 7 jobs in 2.5 s.

    Returns
    -------
    version : int
        Of the job's row; 0 when it was accepted before.

    Raises
    ------
    PlatformRefusedError
        AF404, the job is certainly not stored.
    PlatformUnavailableError
        AF402, it may be, or may yet be.
    SlowWriteError
        AF405, the same, while the store answers: another instance would do no better.
    """
    writing = PendingResult(store_job(store, value, timeout=LONGEST_WRITE_S))
    until = clock.seconds() + LONGEST_WRITE_S
    pause = doubt_s
    while True:
        yield writing.wait(clock, min(pause, until - clock.seconds()))
        if writing.is_known:
            return writing.get()
        try:
            row = yield _read_job_row(store, value.spec.job_id)
        except PlatformError as exc:
            # Also a refusal: it is the reading that was refused, and the write is in doubt.
            raise PlatformUnavailableError(f"neither written nor read: {exc}") from exc
        if row is not None:
            return row.version
        if clock.seconds() + _TICK_S >= until:
            raise SlowWriteError("the store has not written the job's row in time")
        pause = max(doubt_s, READ_BACK_S)


@inlineCallbacks
def _read_job_row(store, job_id):
    end = job_id + "\0"
    rows, _ = yield store.read(
        JOBS, job_part(job_id), first=job_id, end=end, timeout=READ_BACK_TIMEOUT_S
    )
    return rows[0] if rows else None


@inlineCallbacks
def read_stored_job(store, job_id):
    """Return a job's :class:`JobState` and its row as the store has them, or (None, None).

    A job that is marked as cancelled has no row here, and has not ended: its last task may end
    before the leader reads the mark, and then it is completed. A caller was shown both.
    """
    ended = yield store.read_row(ENDED, PART, job_id)
    if ended is not None:
        return JobState(decode(ended.value, EndedJob).state), None
    end = job_id + CANCEL_MARK + "\0"
    rows, _ = yield store.read(JOBS, job_part(job_id), first=job_id, end=end)
    keys = {row.key: row for row in rows}
    if job_id + CANCEL_MARK in keys:
        return JobState.RUNNING, None
    return (JobState.RUNNING, keys[job_id]) if job_id in keys else (None, None)


@inlineCallbacks
def cancel_stored_job(store, job_id):
    """Mark a job as cancelled without its leader; return False when there is no such job."""
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
