"""What a new home reads of the store before it decides anything."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import RevisionGoneError
from ..jobs import GracePeriod, Scheduler
from ..platform import REGISTRY_TABLE, Row
from ._fleet import LEASE_S
from ._job_store import gather, read_jobs
from ._registry import names_worker
from ._tables import ENDED, PART, PROGRESS


class StoredState(Struct, kw_only=True):
    """Rows of the tables, each with the version to follow it from.

    `missing` are the workers that have left the registry since the former home wrote about it; None
    when that is no longer known.
    """

    jobs: list[Row]
    jobs_version: int
    progress: list[Row]
    ended: list[Row]
    workers: list[Row]
    workers_version: int
    missing: frozenset[str] | None


@inlineCallbacks
def read_state(store, former, config=None):
    """Return the :class:`StoredState`.

    All is read at once: where the store is slow each reading takes a quarter of a second.

    Parameters
    ----------
    store : StoreClient
    former : HomeRow or None
        The former home's row; None: there was none.
    config : CellConfig, default=None
        Names the services whose entries count.
    """
    reads = [
        read_jobs(store),
        store.read(PROGRESS, PART),
        store.read(ENDED, PART),
        _read_workers(store, former, config),
    ]
    results = yield gather(reads)
    (jobs, jobs_version), (progress, _), (ended, _), (workers, workers_version, missing) = results
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
        missing -= {row.key for row in workers if names_worker(row, config)}
    return workers, version, missing


@inlineCallbacks
def find_missing(store, former, config=None):
    """Return the ids of workers that have left since, or None when that is no longer known.

    Entries lapse while the store is away, and the home that holds the workers cannot say so: their
    tasks run on, on workers that the next home would not even look for. An entry that another
    program has overwritten does not say where its worker is, either. One that the former home knew
    to name no worker is nobody's.
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
        if names_worker(row, config):
            missing.discard(row.key)
        else:
            missing.add(row.key)
    return frozenset(missing.difference(former.nameless))


def make_scheduler(context, claimed, missing):
    """Return the :class:`Scheduler` of a home that begins.

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
