"""Workers that the next leader could not find or reach by itself, for the leader's row."""

from msgspec import Struct, structs

from ..utils import encode
from ._worker_info import WorkerInfo

#: Time without an answer after which a worker is named as unreachable. An unanswered call is
#: repeated at once, and if only the call was lost, the answer arrives in some 5 ms. If the leader
#: fails within this time and the 0.15 s between two writes of its row, while a worker is
#: unreachable, the next leader waits for 3.2 s. Unit: seconds.
UNREACHABLE_S = 0.1

#: Maximum numbers of workers and runs in the row, and maximum size of both, of the 64 KB that a row
#: may hold: registry entries may have long labels. A larger row would be refused, and with it
#: everything that the leader records. For workers that are left out, the next leader only has to
#: wait until their leases expire. Unit of the size: bytes.
MAX_HANDOVER_WORKERS = 60
MAX_HANDOVER_RUNS = 600
MAX_HANDOVER_BYTES = 45_000


class HandoverWorker(Struct, kw_only=True):
    """A worker that the next leader cannot reach, or would not find in the registry.

    Parameters
    ----------
    info : WorkerInfo
        With the address at which the worker last answered.
    runs : list of (str, int) or None
        Task and run number of all runs that may be active there, or whose ends as done are not
        recorded; None for a reachable worker, which lists its runs itself.
    fresh : list of int
        Indices into `runs` of those that began shortly before the worker became unreachable.
    """

    info: WorkerInfo
    runs: list[tuple[str, int]] | None = None
    fresh: list[int] = []


def make_handover(scheduler, now):
    """Return the :class:`HandoverWorker` of each worker that is unreachable or not registered.

    The list is exact: it is written with the leader's row, and a worker in it gets no task until a
    row without that worker is durable.
    """
    handover = []
    for worker in scheduler.workers.values():
        if _is_unreachable(worker, now):
            runs = [(run.task, run.run_id) for run in worker.runs.values()]
            runs += [*worker.orphan_runs, *_unrecorded_done_runs(scheduler, worker)]
            fresh = [index for index, run in enumerate(worker.runs.values()) if run.is_fresh]
            handover.append(HandoverWorker(info=_info(worker), runs=runs, fresh=fresh))
        elif _is_unlisted(worker):
            handover.append(HandoverWorker(info=_info(worker)))
    return _bounded(handover)


def _unrecorded_done_runs(scheduler, worker):
    """Return the runs that ended as done, of which the store has no record yet.

    The worker lists these ends again, but the next leader may not reach it.
    """
    return [
        (pending.end.task, pending.end.run_id)
        for pending in worker.ack_queue
        if pending.end.how == "done" and not scheduler.is_recorded(pending)
    ]


def _info(worker):
    address = worker.answered_address or worker.info.address
    if address == worker.info.address:
        return worker.info
    return structs.replace(worker.info, address=address)


def _is_unlisted(worker):
    """Whether the next leader would not find the worker in the registry.

    The worker may not have responded to this leader either, and is then known only from the former
    leader's row. If it were left out, the next leader would start its tasks again while they still
    run.
    """
    return not worker.listed


def _bounded(handover):
    kept = []
    n_runs = n_bytes = 0
    for worker in handover[:MAX_HANDOVER_WORKERS]:
        n_runs += len(worker.runs or ())
        if n_runs > MAX_HANDOVER_RUNS:
            break
        size = len(encode(worker))
        # A single large entry takes no space from the workers after it.
        if n_bytes + size <= MAX_HANDOVER_BYTES:
            n_bytes += size
            kept.append(worker)
    return kept


def _is_unreachable(worker, now):
    """Whether the next leader must be given the worker's runs, as it may not reach the worker.

    Of the workers that have not responded to this leader, only those are included whose runs the
    former leader listed. The runs of the others are not known, nor are those of a worker that has
    responded and may list more ends.
    """
    if not worker.confirmed:
        return worker.runs_known
    return (
        worker.has_listed_all_ends
        and worker.unreachable
        and now - worker.unreachable_since >= UNREACHABLE_S
    )
