"""What the next leader could not find out by itself about workers, for the leader's row."""

from msgspec import Struct

from ._worker import WorkerInfo

#: Silence after which a worker counts as dark. A call without an answer is made again at once, and
#: one that was only lost has its answer in some 5 ms. What dies in this time and the 0.15 s between
#: two writes of the row beside a dark worker costs 3.2 s of waiting. Unit: seconds.
UNREACHABLE_S = 0.1

#: Workers and runs in the row at the most: some 45 KB of the 64 KB that a row holds. A larger row
#: would be refused, and with it all that the leader records. Those left out only make the next
#: leader wait for their leases.
MAX_HANDOVER_WORKERS = 60
MAX_HANDOVER_RUNS = 600


class HandoverWorker(Struct, kw_only=True):
    """A worker that the next leader cannot ask, or would not find in the registry.

    Parameters
    ----------
    info : WorkerInfo
    runs : list of (str, int) or None
        Task and run of all that may run there; None when the worker answers and can be asked.
    fresh : list of int
        Indices into `runs` of those that had begun shortly before the worker fell silent.
    """

    info: WorkerInfo
    runs: list[tuple[str, int]] | None = None
    fresh: list[int] = []


def make_handover(scheduler, now):
    """Return the :class:`HandoverWorker` of each worker that is dark or not registered any more.

    The list is exact: it is written under the leader's row, and a worker in it gets no task before
    a row without it is durable.
    """
    handover = []
    for worker in scheduler.workers.values():
        if _is_unreachable(worker, now):
            runs = [(run.task, run.run_id) for run in worker.runs.values()]
            fresh = [index for index, run in enumerate(worker.runs.values()) if run.is_fresh]
            handover.append(
                HandoverWorker(info=worker.info, runs=runs + list(worker.orphan_runs), fresh=fresh)
            )
        elif _is_unlisted(worker):
            handover.append(HandoverWorker(info=worker.info))
    return _bounded(handover)


def _is_unlisted(worker):
    """Whether the next leader would not find the worker by itself.

    Also one that has not answered this leader: it is known from the former leader's row alone, and
    the next leader would start its tasks again while they still run.
    """
    return not worker.listed


def _bounded(handover):
    kept = []
    n_runs = 0
    for worker in handover[:MAX_HANDOVER_WORKERS]:
        n_runs += len(worker.runs or ())
        if n_runs > MAX_HANDOVER_RUNS:
            break
        kept.append(worker)
    return kept


def _is_unreachable(worker, now):
    if not worker.confirmed:
        return worker.runs_known
    return worker.unreachable and now - worker.unreachable_since >= UNREACHABLE_S
