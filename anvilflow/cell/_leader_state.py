"""What a new leader reads of the store before it decides anything."""

from functools import partial

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import RevisionGoneError
from ..jobs import GracePeriod, Scheduler
from ..platform import REGISTRY_TABLE, Row
from ._fleet import LEASE_S
from ._job_store import gather, join_parts
from ._registry import is_worker_entry
from ._tables import ENDED, JOB_PARTS, JOBS, PART, PROGRESS

#: Readings of one table or part under way at the same time. Where the store is slow each takes a
#: quarter of a second, so that a fast link takes all at once.
READS_AT_ONCE = 36

#: Bandwidth that each of them needs. Their answers queue on the link window by window, and one of
#: which nothing arrives for 0.8 s is given up: a window of 16 kB takes 0.5 s over this. Over
#: 2 Mbit/s 35 answers of 0.7 MB in all waited for each other until all were given up, and 17
#: leaders in a row loaded in vain. Unit: Mbit/s.
MBPS_PER_READING = 0.25

#: Part of the readings that a further try has under way, after one that failed: the link may be
#: narrower than the settings say.
NEXT_TRY_SHARE = 4


def readings_at_once(link_mbps, n_failed):
    """Return how many readings a leader should have under way over its link.

    Parameters
    ----------
    link_mbps : float or None
        Of this instance; None: not known. Unit: Mbit/s.
    n_failed : int
        Tries to load in a row that have failed, here and by leaders before.

    Examples
    --------
    >>> readings_at_once(1000.0, 0)
    36
    >>> readings_at_once(2.0, 0)
    8
    >>> readings_at_once(1000.0, 2)
    2
    """
    fitting = READS_AT_ONCE if link_mbps is None else int(link_mbps / MBPS_PER_READING)
    return max(1, min(READS_AT_ONCE, fitting) // NEXT_TRY_SHARE**n_failed)


class StoredState(Struct, kw_only=True):
    """Rows of the tables, each with the version to follow it from.

    `missing` are the workers that have left the registry since the former leader wrote about it;
    None when that is no longer known.
    """

    jobs: list[Row]
    jobs_version: int
    progress: list[Row]
    ended: list[Row]
    workers: list[Row]
    workers_version: int
    missing: frozenset[str] | None


@inlineCallbacks
def read_state(store, former, config=None, *, at_once=READS_AT_ONCE):
    """Return the :class:`StoredState`.

    Parameters
    ----------
    store : StoreClient
    former : LeaderRow or None
        The former leader's row; None: there was none.
    config : CellConfig, default=None
        Names the services whose entries count.
    at_once : int
        Readings under way at the same time.
    """
    reads = [
        partial(store.read, PROGRESS, PART),
        partial(store.read, ENDED, PART),
        partial(_read_workers, store, former, config),
        *(partial(store.read, JOBS, part) for part in JOB_PARTS),
    ]
    (progress, _), (ended, _), found, *parts = yield gather(reads, at_once)
    workers, workers_version, missing = found
    jobs, jobs_version = join_parts(parts)
    return StoredState(
        jobs=jobs,
        jobs_version=jobs_version,
        progress=progress,
        ended=ended,
        workers=workers,
        workers_version=workers_version,
        missing=missing,
    )


@inlineCallbacks
def _read_workers(store, former, config):
    workers, version = yield store.read(REGISTRY_TABLE, "")
    # After the reading: a worker that leaves between the two is in one of them.
    missing = yield find_missing(store, former, config)
    if missing is not None:
        missing -= {row.key for row in workers if is_worker_entry(row, config)}
    return workers, version, missing


@inlineCallbacks
def find_missing(store, former, config=None):
    """Return the ids of workers that have left since, or None when that is no longer known.

    Entries lapse while the store is away, and the leader that holds the workers cannot say so:
    their tasks run on, on workers that the next leader would not even look for. An entry that
    another program has overwritten does not say where its worker is, either. One that the former
    leader knew to name no worker is nobody's.
    """
    if former is None:
        return frozenset()
    if not former.registry_version:
        return None
    try:
        rows, _ = yield store.follow(REGISTRY_TABLE, former.registry_version, wait_s=0.0)
    except RevisionGoneError:
        return None
    missing = set(former.missing)
    for row in rows:
        if is_worker_entry(row, config):
            missing.discard(row.key)
        else:
            missing.add(row.key)
    return frozenset(missing.difference(former.nameless))


def make_scheduler(context, claimed, missing):
    """Return the :class:`Scheduler` of a leader that begins.

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
        now=now,
        grace_period=grace_period,
        policy=context.settings.scheduling,
    )
