"""Content of the leader's row: what the next leader has to know of the workers."""

from msgspec import structs

from ..jobs import make_handover
from ..utils import encode
from ._tables import MAX_ROW_BYTES, LeaderRow

#: Most registry entries without a worker that the leader's row lists, some 2 kB of the row. A new
#: leader waits 3.8 s for leases that no worker has if an entry that is left out has changed, or is
#: that of a server of another service.
MAX_NAMELESS = 100

#: Largest size of the leader's row, which leaves space for the number of the write. Unit: bytes.
MAX_LEADER_ROW_BYTES = MAX_ROW_BYTES - 100


def make_leader_row(*, context, scheduler, term):
    """Return the leader's row as of now.

    Parameters
    ----------
    context : CellContext
    scheduler : Scheduler
    term : int
        Number of leaders so far, including this one.
    """
    now = context.clock.seconds()
    handover = make_handover(scheduler, now)
    grace_period = scheduler.grace_period
    is_over = grace_period.is_over(now)
    # While this leader may not know all workers of earlier leaders, the row gives registry
    # version 0: the next leader must not assume that the registry's later history names them.
    is_known = is_over or grace_period.is_known
    missing = [] if is_over else sorted(grace_period.missing)
    n_workers = len(scheduler.current_workers()) + len(missing)
    if not is_known:
        n_workers = max(n_workers, grace_period.n_workers)
    row = LeaderRow(
        holder=context.name,
        incarnation=context.incarnation,
        address=context.settings.listen.peers_address,
        term=term,
        handover=handover,
        registry_version=scheduler.registry_version if is_known else 0,
        n_workers=n_workers,
        missing=sorted(_unlisted_ids(scheduler, handover).union(missing)),
        nameless=sorted(scheduler.nameless)[:MAX_NAMELESS],
        unanswered_starts=scheduler.unanswered_starts.handover(now),
    )
    return _without_long_lists(row)


def _without_long_lists(row):
    """Return the row without the lists of ids that do not fit.

    The store would refuse the row, and with it everything that the leader records. Without the
    missing workers, the row says that they are not known: the next leader waits until all leases
    have ended.
    """
    if len(encode(row)) > MAX_LEADER_ROW_BYTES:
        row = structs.replace(row, registry_version=0, missing=[])
    if len(encode(row)) > MAX_LEADER_ROW_BYTES:
        row = structs.replace(row, nameless=[])
    return row


def _unlisted_ids(scheduler, handover):
    """Return the ids of the workers outside the registry that the row does not describe.

    The row describes a limited number of workers. The next leader waits for the others.
    """
    described = {worker.info.worker_id for worker in handover}
    return {
        worker.info.registry_id
        for worker_id, worker in scheduler.workers.items()
        if not worker.listed and worker_id not in described
    }
