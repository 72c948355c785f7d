"""Our own rows in the store: one part, so that a transaction can fence any of them."""

from msgspec import UNSET, Struct, structs

from ..jobs import EndedJob, HandoverWorker, JobSpec, Queue
from ..platform import RowCondition, RowWrite
from ..utils import encode

#: The part of the leader's row and of all rows that it fences: what it records of jobs.
PART = "cell"

#: Accepted jobs, and marks of those that an entry cancelled; payloads of jobs, where their rows
#: leave them out; progress; final states. Rows of jobs
#: lie in many parts: a part carries out its transactions one after another, each as long as the
#: store is slow, and at sixty times its usual 3 ms one part takes five a second.
JOBS = "jobs"
PAYLOADS = "payloads"
PROGRESS = "progress"
ENDED = "ended"

#: Ends the key of a cancelled job's mark.
CANCEL_MARK = ".cancel"

#: Largest value that a row holds, as the platform's settings give it. Unit: bytes.
MAX_ROW_BYTES = 65_536

#: The row of the leader, and the key it lies under.
LEADER_TABLE = "home"
LEADER_KEY = "home"

#: Key, in the same table, of what a leader writes while it loads.
LOADING_KEY = "loading"


class LeaderRow(Struct, kw_only=True):
    """Who is the leader; written anew with each of its transactions, which fences them all.

    `handover` names what runs on workers that the next leader cannot ask, or would not know of.
    `registry_version` says up to where the leader has followed the registry; `n_workers` how many
    it holds; `missing` are workers that had left it when this leader began and have not been seen
    since. `nameless` are entries of the registry that name no worker, and did not while it was the
    leader. `n_loads` counts the claims in a row after which no leader has begun.
    """

    holder: str
    incarnation: str
    address: str
    term: int
    handover: list[HandoverWorker] = []
    registry_version: int = 0
    n_workers: int = 0
    missing: list[str] = []
    nameless: list[str] = []
    n_loads: int = 0


class JobRow(Struct, kw_only=True):
    """An accepted job, with its queue as configured when it was accepted, and by which version.

    Of a job that has ended the row may have no steps any more, see :func:`short_row`. `entry` names
    the instance that keeps the payload, where that has a row of its own.
    """

    spec: JobSpec
    queue: Queue
    config_version: int = 0
    entry: str = ""


def has_payload(spec):
    """Whether a job's payload is in its spec."""
    return spec.payload is not UNSET


def without_payload(value):
    """Return a job's row without the payload: what decisions need.

    Instances of releases before rows were split require the payload, and skip such a row; taken for
    an empty one, it would have them start tasks with another payload than the client's.
    """
    spec = structs.replace(value.spec, payload=UNSET)
    return JobRow(
        spec=spec, queue=value.queue, config_version=value.config_version, entry=value.entry
    )


def job_writes(value):
    """Return the writes of an accepted job, to be made in one transaction.

    The payload gets a row of its own where the job's row names an instance that keeps it.
    """
    job_id = value.spec.job_id
    part = job_part(job_id)
    if not value.entry or not has_payload(value.spec):
        return [write(JOBS, job_id, value, part=part)]
    return [
        write(JOBS, job_id, without_payload(value), part=part),
        write(PAYLOADS, job_id, value.spec.payload, part=part),
    ]


def short_row(job):
    """Return the row of a job that has ended: that it was accepted, and for which queue."""
    spec = JobSpec(job_id=job.job_id, queue=job.spec.queue, payload="", steps=())
    return JobRow(spec=spec, queue=job.queue)


#: Parts of the table of jobs. With the store a hundred times as slow each takes 3.3 jobs a second:
#: sixteen were full at a burst of 45 a second, and the store refused what came. A new leader reads
#: them all, in 0.03 s.
N_JOB_PARTS = 32


def job_part(job_id):
    """Return the part of a job's row, by the first digits of its random id."""
    return _part_name(int(job_id[:2], 16) % N_JOB_PARTS)


def _part_name(number):
    return f"jobs-{number:02x}"


#: All parts of the table of jobs.
JOB_PARTS = tuple(_part_name(number) for number in range(N_JOB_PARTS))


def condition(table, key, version, *, part=PART):
    """Return the condition that a row of the cell has a version."""
    return RowCondition(table=table, part=part, key=key, version=version)


def write(table, key, value, *, part=PART):
    """Return the write of a row of the cell; None removes it."""
    body = None if value is None else encode(value)
    return RowWrite(table=table, part=part, key=key, value=body)


def ended_write(job_id, state, wall_now):
    """Return the write of a job's final state."""
    return write(ENDED, job_id, EndedJob(state=str(state), ended_at=round(wall_now, 3)))
