"""Rows of accepted jobs in the store: written once by a gateway, marked when a job is cancelled."""

from functools import partial

from twisted.internet.defer import (
    DeferredSemaphore,
    FirstError,
    gatherResults,
    inlineCallbacks,
)

from ..exceptions import (
    JobIdTakenError,
    PlatformError,
    PlatformUnavailableError,
    PreconditionError,
    SlowWriteError,
)
from ..jobs import ENDED_STATES, EndedJob, JobState, may_access
from ..utils import decode
from ._pending_result import PendingResult
from ._tables import (
    CANCEL_MARK,
    ENDED,
    JOB_PARTS,
    JOBS,
    PART,
    JobRow,
    condition,
    job_part,
    job_writes,
    write,
)

#: Timeout of the write of a job's row. A part of the store queues a write for 1 s at most and then
#: refuses it. When the store is a hundred times slower than usual, the write itself takes 0.3 s and
#: its answer 0.4 s. Clients wait for 3 s. Unit: seconds.
WRITE_TIMEOUT_S = 1.8

#: Least pause between two reads of the row, and the timeout of one read. A store that does not
#: answer such a read counts as unavailable. Unit: seconds.
MIN_READ_BACK_INTERVAL_S = 0.3
READ_BACK_TIMEOUT_S = 0.6

#: Most attempts to mark a job as cancelled, each after a read of its row.
MAX_MARK_ATTEMPTS = 3

#: Tolerance when the current time is compared with a deadline. Unit: seconds.
_CLOCK_TOLERANCE_S = 1e-4


@inlineCallbacks
def read_jobs(store, max_concurrent):
    """Return the rows of all jobs, and the version to follow the table from.

    At most `max_concurrent` parts are read at the same time. The version is the oldest among those
    of the parts.
    """
    parts = yield gather([partial(store.read, JOBS, part) for part in JOB_PARTS], max_concurrent)
    return join_parts(parts)


def join_parts(parts):
    """Return the rows of all parts that were read, and the version to follow the table from."""
    rows = [row for part_rows, _ in parts for row in part_rows]
    return rows, min(version for _, version in parts)


def gather(calls, max_concurrent):
    """Make calls, at most `max_concurrent` at a time; return a Deferred of all results.

    The Deferred fails with the error of the first call that fails. The calls in progress are then
    cancelled, and the others are not made.
    """
    semaphore = DeferredSemaphore(max_concurrent)
    pending = [semaphore.run(call) for call in calls]
    done = gatherResults(pending, consumeErrors=True)
    return done.addErrback(_first_error, pending)


def _first_error(failure, pending):
    failure.trap(FirstError)
    for each in pending:
        each.cancel()
    return failure.value.subFailure


@inlineCallbacks
def store_job(store, value, *, timeout=None):
    """Write a job's row; return its version, or 0 if the job was accepted before.

    The row stays for a while after the job has ended, as a client may submit the same job again
    seconds later.

    Raises
    ------
    JobIdTakenError
        AF310: another account has a job with this id.
    """
    job_id = value.spec.job_id
    part = job_part(job_id)
    try:
        version = yield store.commit(
            [condition(JOBS, job_id, 0, part=part)],
            job_writes(value),
            timeout=timeout,
        )
    except PreconditionError as exc:
        for row in exc.details["rows"]:
            _check_owner(row, value)
        return 0
    return version


def _check_owner(row, value):
    if row.value is not None and not may_access(_owner_of(row), value.owner):
        raise JobIdTakenError(f"the id {value.spec.job_id} is in use")


def _is_row_of(row, value):
    """Whether a job's row has the content of this submission, not of another one with its id."""
    return row.value == job_writes(value)[0].value


def _owner_of(row):
    """Return the name of the account of a job's row; empty if it has none or cannot be read."""
    try:
        return decode(row.value, JobRow, error=PlatformError).owner
    except PlatformError:
        return ""


@inlineCallbacks
def store_job_with_read_back(store, value, *, clock, read_back_after_s):
    """Write a job's row; until the write is answered, read back whether the row is stored.

    If the answer was lost, a read finds the row after `read_back_after_s`. If the store is slow,
    the single write keeps waiting. A second write would find the row too, but would queue behind
    the first: with the store a hundred times slower than usual, parts whose queues were full of
    second writes accepted 7 jobs in 2.5 s.

    Returns
    -------
    version : int
        Version of the job's row; 0 if the job was accepted before, with other content.

    Raises
    ------
    PlatformRefusedError
        AF404: the job is certainly not stored.
    PlatformUnavailableError
        AF402: the job may be stored now or later.
    SlowWriteError
        AF405: the job may be stored now or later, and the store answers reads: the write would be
        no faster through another instance.
    """
    writing = PendingResult(store_job(store, value, timeout=WRITE_TIMEOUT_S))
    until = clock.seconds() + WRITE_TIMEOUT_S
    pause = read_back_after_s
    while True:
        yield writing.wait(clock, min(pause, until - clock.seconds()))
        if writing.is_known:
            return writing.get()
        try:
            row = yield _read_job_row(store, value.spec.job_id)
        except PlatformError as exc:
            # A refusal as well: only the read was refused, the outcome of the write is unknown.
            raise PlatformUnavailableError(
                f"the job's row is neither confirmed nor readable: {exc}"
            ) from exc
        if row is not None:
            _check_owner(row, value)
            return row.version if _is_row_of(row, value) else 0
        if clock.seconds() + _CLOCK_TOLERANCE_S >= until:
            raise SlowWriteError("the store has not stored the job's row in time")
        pause = max(read_back_after_s, MIN_READ_BACK_INTERVAL_S)


@inlineCallbacks
def _read_job_row(store, job_id):
    end = job_id + "\0"
    rows, _ = yield store.read(
        JOBS, job_part(job_id), first=job_id, end=end, timeout=READ_BACK_TIMEOUT_S
    )
    return rows[0] if rows else None


@inlineCallbacks
def read_stored_job(store, job_id, caller=None):
    """Return a job's :class:`JobState` and its row from the store, or (None, None).

    A job that the calling account may not access is treated as a missing one.

    A job that is marked as cancelled counts as running, and its row is not returned. Its last task
    may end before the leader reads the mark, and then the job is completed: a client that was shown
    the mark as the end would see first one final state and then another.
    """
    ended = yield store.read_row(ENDED, PART, job_id)
    if ended is not None:
        value = decode_ended_job(ended.value)
        return (JobState(value.state), None) if may_access(value.account, caller) else (None, None)
    end = job_id + CANCEL_MARK + "\0"
    rows, _ = yield store.read(JOBS, job_part(job_id), first=job_id, end=end)
    keys = {row.key: row for row in rows}
    if job_id in keys and not may_access(_owner_of(keys[job_id]), caller):
        return None, None
    if job_id + CANCEL_MARK in keys:
        return JobState.RUNNING, None
    return (JobState.RUNNING, keys[job_id]) if job_id in keys else (None, None)


def decode_ended_job(body):
    """Return the :class:`EndedJob` in a row's value; AF401 if it is malformed."""
    value = decode(body, EndedJob, error=PlatformError)
    if value.state not in ENDED_STATES:
        raise PlatformError(f"not the state of an ended job: {value.state[:80]!r}")
    return value


@inlineCallbacks
def is_stored(store, job_id):
    """Return whether a job is stored, ended ones included.

    The end is read last: a job that ends between the two reads is found in one of them.
    """
    rows, _ = yield store.read(JOBS, job_part(job_id), first=job_id, end=job_id + "\0")
    if rows:
        return True
    ended = yield store.read_row(ENDED, PART, job_id)
    return ended is not None


@inlineCallbacks
def cancel_stored_job(store, job_id, caller=None):
    """Mark a job as cancelled, without the leader; return False if there is no such job.

    A refused mark shows only that the job's row has changed: the job may have ended, its rows may
    have been removed, or the id may have been submitted again. The job is then read again.
    """
    for _ in range(MAX_MARK_ATTEMPTS):
        state, row = yield read_stored_job(store, job_id, caller)
        if row is None:
            return state is not None
        part = job_part(job_id)
        try:
            yield store.commit(
                [condition(JOBS, job_id, row.version, part=part)],
                [write(JOBS, job_id + CANCEL_MARK, True, part=part)],
            )
        except PreconditionError:
            continue
        return True
    raise PlatformUnavailableError("the job's row changes too often to be marked")
