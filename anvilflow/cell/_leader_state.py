"""Stored state that a new leader reads before it makes any decision."""

from functools import partial

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import RevisionGoneError
from ..jobs import GracePeriod, Scheduler
from ..platform import REGISTRY_TABLE, Row, can_be_worker_id
from ._job_store import gather, join_parts
from ._registry import names_worker
from ._tables import ENDED, JOB_PARTS, JOBS, PART, PROGRESS
from ._worker_sessions import LEASE_S

#: Largest number of concurrent reads, each of one table or part. In a slow store each takes a
#: quarter of a second, so a leader with a fast link makes all reads at once.
MAX_CONCURRENT_READS = 36

#: Link bandwidth that each concurrent read needs. The answers share the link window by window, and
#: a read that receives nothing for 0.8 s fails; at this bandwidth a window of 16 kB takes 0.5 s.
#: Over 2 Mbit/s, 35 answers of 0.7 MB in total waited for each other until all timed out, and 17
#: leaders in a row failed to load. Unit: Mbit/s.
MBPS_PER_READ = 0.25

#: Divisor of the number of concurrent reads, applied once for each failed attempt to load: the link
#: may be narrower than the settings say.
RETRY_READS_DIVISOR = 4


def max_concurrent_reads(link_mbps, n_failed):
    """Return how many concurrent reads a leader should make over its link.

    Parameters
    ----------
    link_mbps : float or None
        Bandwidth of this instance's link; None if unknown. Unit: Mbit/s.
    n_failed : int
        Consecutive failed attempts to load, of this leader and of earlier ones.

    Examples
    --------
    >>> max_concurrent_reads(1000.0, 0)
    36
    >>> max_concurrent_reads(2.0, 0)
    8
    >>> max_concurrent_reads(1000.0, 2)
    2
    """
    fitting = MAX_CONCURRENT_READS if link_mbps is None else int(link_mbps / MBPS_PER_READ)
    return max(1, min(MAX_CONCURRENT_READS, fitting) // RETRY_READS_DIVISOR**n_failed)


class StoredState(Struct, kw_only=True):
    """Rows of the tables, with the versions from which to follow the jobs and the registry.

    `records_version` is the oldest version of the rows of progress and of final states. `missing`
    are the ids of all workers that may have runs; None if some are no longer known. The leader
    waits for those that it does not find in `workers`.
    """

    jobs: list[Row]
    jobs_version: int
    progress: list[Row]
    ended: list[Row]
    records_version: int
    workers: list[Row]
    workers_version: int
    missing: frozenset[str] | None


@inlineCallbacks
def read_state(store, former, *, max_concurrent=MAX_CONCURRENT_READS):
    """Read the tables; the Deferred fires with a :class:`StoredState`.

    Parameters
    ----------
    store : StoreClient
    former : LeaderRow or None
        The former leader's row; None if there was none.
    max_concurrent : int
        Largest number of concurrent reads.
    """
    reads = [
        partial(store.read, PROGRESS, PART),
        partial(store.read, ENDED, PART),
        partial(_read_workers, store, former),
        *(partial(store.read, JOBS, part) for part in JOB_PARTS),
    ]
    (progress, progress_version), (ended, ended_version), found, *parts = yield gather(
        reads, max_concurrent
    )
    workers, workers_version, missing = found
    jobs, jobs_version = join_parts(parts)
    return StoredState(
        jobs=jobs,
        jobs_version=jobs_version,
        progress=progress,
        ended=ended,
        records_version=min(progress_version, ended_version),
        workers=workers,
        workers_version=workers_version,
        missing=missing,
    )


@inlineCallbacks
def _read_workers(store, former):
    workers, version = yield store.read(REGISTRY_TABLE, "")
    # Called after the read, so that a worker that leaves between the two is in one of the results.
    missing = yield find_missing(store, former, workers)
    return workers, version, missing


@inlineCallbacks
def find_missing(store, former, entries):
    """Return the ids of the workers that may have runs of earlier leaders, if they are known.

    These are the workers that the former leader waited for, those whose entries have changed since
    it wrote its row, and those that `entries` name, without the entries that it knew to name no
    worker. The workers that its row describes are left out: this leader takes them from there.

    Registry entries lapse while the store is unavailable, and the leader that renews the workers'
    leases cannot record this. The tasks keep running, on workers that the next leader would not
    look for. An entry that another program has overwritten does not give its worker's address
    either. An entry that is back may not be among `entries` yet. A worker of a service that is no
    longer configured may run tasks that began before.

    Parameters
    ----------
    store : StoreClient
    former : LeaderRow or None
    entries : list of Row
        The registry, as this leader has read it before.
    """
    if former is None:
        return frozenset()
    if not former.registry_version:
        return None
    try:
        rows, _ = yield store.follow(REGISTRY_TABLE, former.registry_version, wait_s=0.0)
    except RevisionGoneError:
        return None
    named = {row.key for row in entries if names_worker(row)}
    changed = {row.key for row in rows if can_be_worker_id(row.key)}
    described = {worker.info.registry_id for worker in former.handover}
    unknown = named.union(changed).difference(former.nameless).union(former.missing)
    return frozenset(unknown - described)


def make_scheduler(context, claimed, missing):
    """Return the :class:`Scheduler` of a new leader.

    Parameters
    ----------
    context : CellContext
    claimed : Claimed
    missing : frozenset of str or None
        As in :class:`StoredState`.
    """
    now = context.clock.seconds()
    former = claimed.former
    grace_period = GracePeriod(
        term=claimed.term,
        lease_s=LEASE_S,
        now=now,
        n_workers=former.n_workers if former is not None else 0,
        missing=missing or (),
        is_known=missing is not None,
    )
    return Scheduler(
        term=claimed.term,
        lease_s=LEASE_S,
        stop_s=context.settings.bounds.stop_s,
        max_command_delay_s=context.settings.bounds.max_command_delay_s,
        now=now,
        grace_period=grace_period,
        policy=context.settings.policy,
        unanswered_starts=context.unanswered_starts,
    )
