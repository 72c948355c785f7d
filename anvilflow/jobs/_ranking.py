"""Ranking of the workers with enough free capacity for a task."""

import heapq

from msgspec import Struct

from ._stalled_runs import is_slow
from ._worker_speeds import make_speed_rank


class _TaskWithoutHistory(Struct, frozen=True):
    """Stand-in for any task without failures or lost workers, for the calculation of costs."""

    avoid: tuple[str, ...] = ()
    crash_history: None = None


_NO_HISTORY = _TaskWithoutHistory()


def _has_no_history(task):
    """Whether the costs of a task are the same as those of most other tasks of its step."""
    return not task.avoid and task.crash_history is None


class Ranking:
    """Ranks the workers by their cost for a task of a step.

    The ranking for tasks without a history is kept in a heap, in which only the worker that takes a
    task is ranked again. Ranking all 72 workers of a cell for each task accounted for most of the
    processor time of a start.
    """

    __slots__ = ("_heap", "_reserve", "_scheduler", "_speed_rank", "_step", "_workers")

    def __init__(self, *, scheduler, step, workers, reserve):
        self._scheduler = scheduler
        self._step = step
        self._workers = workers
        self._reserve = reserve
        self._speed_rank = make_speed_rank(scheduler, step)
        self._heap = None

    def choose(self, task):
        """Return the worker on which to start a task, or None when no worker can take it."""
        if not _has_no_history(task):
            return self._choose_among_all(task)
        if self._heap is None:
            entries = map(self._heap_entry, range(len(self._workers)))
            self._heap = [entry for entry in entries if entry is not None]
            heapq.heapify(self._heap)
        if not self._heap:
            return None
        worker = self._workers[self._heap[0][1]]
        # An earlier run of the task may still be ending on that worker.
        return worker if task.name not in worker.runs else self._choose_among_all(task)

    def update(self, worker):
        """Rank a worker again after it has taken a task."""
        if not self._heap or self._workers[self._heap[0][1]] is not worker:
            self._heap = None
            return
        entry = self._heap_entry(self._heap[0][1])
        if entry is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, entry)

    def _choose_among_all(self, task):
        return _choose(
            self._scheduler, self._step, task, self._workers, self._reserve, self._speed_rank
        )

    def _heap_entry(self, number):
        """Return a worker's cost and number, or None when the worker cannot take a task.

        Among workers of equal cost, the number ranks the first one first.
        """
        worker = self._workers[number]
        if not _can_take(self._scheduler, self._step, _NO_HISTORY, worker, self._reserve):
            return None
        cost = _cost(self._scheduler, self._step, _NO_HISTORY, worker, self._speed_rank)
        return cost, number


def _leaves_reserve(worker, spec, reserve):
    """Whether a task leaves the reserve free on a worker, or the worker has no other runs."""
    left = worker.cpu_free - spec.cpu_milli
    return left >= reserve * worker.info.cpu_milli or not worker.runs


def _choose(scheduler, step, task, workers, reserve, speed_rank):
    """Return the worker of least cost for a task, or None when no worker can take the task."""
    fitting = [
        worker
        for worker in workers
        if task.name not in worker.runs and _can_take(scheduler, step, task, worker, reserve)
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda worker: _cost(scheduler, step, task, worker, speed_rank))


def _can_take(scheduler, step, task, worker, reserve):
    """Whether a task fits on a worker and no reservation, limit or suspect forbids it."""
    spec = step.spec
    return (
        worker.fits(spec)
        and scheduler.reservations.allows(worker, step)
        and _leaves_reserve(worker, spec, reserve)
        and scheduler.places.allows(worker, step)
        and not (
            spec.max_per_worker and step.n_tasks_on(worker.info.worker_id) >= spec.max_per_worker
        )
        and not scheduler.has_other_suspect(worker, task)
    )


def _cost(scheduler, step, task, worker, speed_rank):
    """Return a worker's cost for a task, as a sort key; at equal cost, the fullest worker wins."""
    spec = step.spec
    is_remote = bool(spec.data_rack) and worker.info.rack != spec.data_rack
    failed_here = worker.info.worker_id in task.avoid
    slow = scheduler.policy.avoids_slow and is_slow(worker, scheduler.policy)
    risk = _work_at_risk(task, worker)
    return (
        risk,
        failed_here,
        is_remote,
        worker.n_consecutive_failures,
        slow,
        speed_rank(worker),
        _n_interfering_runs(spec, worker),
        scheduler.places.packing_cost(worker, step),
        worker.cpu_free,
    )


def _work_at_risk(task, worker):
    """Return the cost of losing a worker to a suspect task, as a sort key; () for other tasks."""
    history = task.crash_history
    if history is None or not history.is_suspect:
        return ()
    runs = worker.runs.values()
    return (
        worker.info.address in history.lost_addresses,
        sum(run.step.long_running or run.step.gang for run in runs),
        sum(not run.step.checkpointing for run in runs),
        len(runs),
    )


def _n_interfering_runs(spec, worker):
    """Return the number of runs on a worker that would interfere with a task of `spec`.

    Background tasks interfere with tasks that have a target for response times.
    """
    if spec.fills:
        return sum(run.step.target_s > 0 for run in worker.runs.values())
    if spec.target_s:
        return sum(run.step.fills for run in worker.runs.values())
    return 0
