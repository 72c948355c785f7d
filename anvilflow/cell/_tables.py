"""Tables of the cell in the store.

The leader's row and all rows that it fences lie in one part, so that a transaction covers them.
"""

from msgspec import UNSET, Struct, field, structs

from ..jobs import ClientAccount, EndedJob, HandoverWorker, JobSpec, Queue
from ..platform import RowCondition, RowWrite
from ..utils import encode

#: Part of the leader's row and of all rows that it fences: the records of jobs.
PART = "cell"

#: Tables of accepted jobs, with marks of those that a gateway cancelled; of payloads that the rows
#: of jobs leave out; of progress; of final states. Rows of jobs lie in many parts, because a part
#: carries out its transactions one after another: in a store that takes sixty times its usual 3 ms,
#: one part completes five a second.
JOBS = "jobs"
PAYLOADS = "payloads"
PROGRESS = "progress"
ENDED = "ended"

#: Suffix of the key of a cancelled job's mark.
CANCEL_MARK = ".cancel"

#: Largest value of a row, as given by the platform's settings. Unit: bytes.
MAX_ROW_BYTES = 65_536

#: Table and key of the leader's row.
LEADER_TABLE = "home"
LEADER_KEY = "home"

#: Key, in the same table, of the row that a leader writes while it loads.
LOADING_KEY = "loading"


class LeaderRow(Struct, kw_only=True):
    """The leader's identity and handover; written by each of its transactions, to fence them.

    `handover` lists runs on workers that the next leader cannot reach or would not know of.
    `registry_version` is the version up to which the leader has followed the registry; `n_workers`
    is the number of its workers; `missing` are workers that had left the registry when this leader
    began and have not registered since. `nameless` are registry entries that name no worker and
    have named none while this instance was the leader. `unanswered_starts` are starts that may be
    executed late, see :class:`UnansweredStarts`. `n_loads` counts the consecutive claims
    after which no leader has begun to schedule. `write_number` distinguishes the writes of one
    incarnation, see :class:`LeaderRowStore`; 0 in rows of earlier releases.
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
    unanswered_starts: dict[str, int] = {}
    n_loads: int = 0
    # Part of each transaction, so that its name in the store is short.
    write_number: int = field(default=0, name="write")


class JobRow(Struct, kw_only=True):
    """An accepted job, with its queue, account and configuration version at the time of acceptance.

    `account` is None for a job of a call without a key, and in rows of earlier releases.
    The row of an ended job may have no steps, see :func:`short_row`. `entry` names the gateway that
    keeps the payload, if the payload has a row of its own.
    """

    spec: JobSpec
    queue: Queue
    config_version: int = 0
    entry: str = ""
    account: ClientAccount | None = None

    @property
    def owner(self):
        """Name of the job's account; empty: none."""
        return self.account.name if self.account is not None else ""


def has_payload(spec):
    """Whether a job's spec includes the payload."""
    return spec.payload is not UNSET


def without_payload(value):
    """Return a job's row without the payload, which scheduling does not need.

    The payload is left unset, not empty. Releases from before the rows were split require it and
    skip such a row; with an empty payload they would start tasks with another payload than the
    client's.
    """
    spec = structs.replace(value.spec, payload=UNSET)
    return structs.replace(value, spec=spec)


def job_writes(value):
    """Return the writes of an accepted job, to be made in one transaction.

    The payload gets a row of its own if the job's row names a gateway that keeps it.
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
    """Return the short row of an ended job: its id and its queue, without payload and steps."""
    spec = JobSpec(job_id=job.job_id, queue=job.spec.queue, payload="", steps=())
    return JobRow(spec=spec, queue=job.queue, account=job.account)


#: Number of parts of the jobs table. In a store a hundred times as slow as usual each part takes
#: 3.3 jobs a second: sixteen parts were full in a burst of 45 jobs a second, and the store refused
#: further jobs. A new leader reads all parts, in 0.03 s.
N_JOB_PARTS = 32


def job_part(job_id):
    """Return the part of a job's row, chosen by the first digits of its random id."""
    return _part_name(int(job_id[:2], 16) % N_JOB_PARTS)


def _part_name(number):
    return f"jobs-{number:02x}"


#: All parts of the jobs table.
JOB_PARTS = tuple(_part_name(number) for number in range(N_JOB_PARTS))


def condition(table, key, version, *, part=PART):
    """Return the condition that a row of the cell has the given version."""
    return RowCondition(table=table, part=part, key=key, version=version)


def write(table, key, value, *, part=PART):
    """Return the write of a row of the cell; a value of None removes the row."""
    body = None if value is None else encode(value)
    return RowWrite(table=table, part=part, key=key, value=body)


def ended_write(job, wall_now, *, held=(0, 0, 0)):
    """Return the write of a job's final state; `held` is as in :class:`EndedJob`."""
    row = EndedJob(
        state=str(job.state),
        ended_at=round(wall_now, 3),
        account=job.owner,
        held=held,
    )
    return write(ENDED, job.job_id, row)
