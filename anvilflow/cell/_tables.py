"""Our own rows in the store: one part, so that a transaction can fence any of them."""

from msgspec import Struct

from ..jobs import EndedJob, JobSpec, Queue
from ..platform import RowCondition, RowWrite
from ..utils import encode

#: The part of all rows of the cell. One part handles 300 transactions a second; a cell makes one
#: for each accepted job and fewer than twenty a second from its home.
PART = "cell"

#: Jobs that have not ended; their progress; final states of those that have.
JOBS = "jobs"
PROGRESS = "progress"
ENDED = "ended"

#: The row of the home, and the key it lies under.
HOME = "home"
HOME_KEY = "home"


class HomeRow(Struct, kw_only=True):
    """Who is the home; written anew with each of its transactions, which fences them all."""

    holder: str
    incarnation: str
    address: str
    term: int


class JobRow(Struct, kw_only=True):
    """An accepted job, with its queue as configured when it was accepted."""

    spec: JobSpec
    queue: Queue


def condition(table, key, version):
    """Return the condition that a row of the cell has a version."""
    return RowCondition(table=table, part=PART, key=key, version=version)


def write(table, key, value):
    """Return the write of a row of the cell; None removes it."""
    body = None if value is None else encode(value)
    return RowWrite(table=table, part=PART, key=key, value=body)


def ended_write(job_id, state, wall_now):
    """Return the write of a job's final state."""
    return write(ENDED, job_id, EndedJob(state=str(state), ended_at=round(wall_now, 3)))


__all__ = [
    "ENDED",
    "HOME",
    "HOME_KEY",
    "JOBS",
    "PART",
    "PROGRESS",
    "HomeRow",
    "JobRow",
    "condition",
    "ended_write",
    "write",
]
