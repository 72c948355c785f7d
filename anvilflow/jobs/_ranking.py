"""Which of the workers with room takes a task."""

import heapq

from msgspec import Struct

from ._stalled_runs import is_slow


class _TaskWithoutHistory(Struct, frozen=True):
    """What costs depend on, of a task without a history."""

    avoid: tuple[str, ...] = ()
    crash_history: None = None


_NO_HISTORY = _TaskWithoutHistory()


def _has_no_history(task):
    """Whether the task costs the same on each worker as most others of its step."""
    return not task.avoid and task.crash_history is None


class Ranking:
    """Workers by the cost of a task without a history: one that takes a task alone is ranked anew.

    Ranked anew for each task, the 72 workers of a cell took most of the processor of a start.
    """

    __slots__ = ("_heap", "_reserve", "_scheduler", "_step", "_workers")

    def __init__(self, *, scheduler, step, workers, reserve):
        self._scheduler = scheduler
        self._step = step
        self._workers = workers
        self._reserve = reserve
        self._heap = None

    def choose(self, task):
        """Return the worker that a task should be started on, or None."""
        if not _has_no_history(task):
            return self._choose_among_all(task)
        if self._heap is None:
            entries = map(self._heap_entry, range(len(self._workers)))
            self._heap = [entry for entry in entries if entry is not None]
            heapq.heapify(self._heap)
        if not self._heap:
            return None
        worker = self._workers[self._heap[0][1]]
        # A former run of the task may still be ending there.
        return worker if task.name not in worker.runs else self._choose_among_all(task)

    def update(self, worker):
        """Rank a worker anew that has taken a task."""
        if not self._heap or self._workers[self._heap[0][1]] is not worker:
            self._heap = None
            return
        entry = self._heap_entry(self._heap[0][1])
        if entry is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, entry)

    def _choose_among_all(self, task):
        return _choose(self._scheduler, self._step, task, self._workers, self._reserve)

    def _heap_entry(self, number):
        """Return the rank of a worker, the first of equal ones first, or None if none fits."""
        worker = self._workers[number]
        if not _can_take(self._scheduler, self._step, _NO_HISTORY, worker, self._reserve):
            return None
        return _cost(self._scheduler, self._step, _NO_HISTORY, worker), number


def _leaves_reserve(worker, spec, reserve):
    """Whether the reserve stays free on a worker, or nothing else is there that could use it."""
    left = worker.cpu_free - spec.cpu_milli
    return left >= reserve * worker.info.cpu_milli or not worker.runs


def _choose(scheduler, step, task, workers, reserve):
    """Return the fitting worker that the task leaves least room on, away from what it disturbs."""
    fitting = [
        worker
        for worker in workers
        if task.name not in worker.runs and _can_take(scheduler, step, task, worker, reserve)
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda worker: _cost(scheduler, step, task, worker))


def _can_take(scheduler, step, task, worker, reserve):
    """Whether a task has room on a worker that nobody else comes before it for."""
    spec = step.spec
    return (
        worker.fits(spec)
        and scheduler.reservations.allows(worker, step)
        and _leaves_reserve(worker, spec, reserve)
        and not (
            spec.max_per_worker and step.n_tasks_on(worker.info.worker_id) >= spec.max_per_worker
        )
        and not scheduler.has_other_suspect(worker, task)
    )


def _cost(scheduler, step, task, worker):
    spec = step.spec
    is_remote = bool(spec.data_rack) and worker.info.rack != spec.data_rack
    failed_here = worker.info.worker_id in task.avoid
    slow = scheduler.policy.avoids_slow and is_slow(worker, scheduler.policy)
    risk = _work_at_risk(task, worker)
    return (
        risk,
        failed_here,
        is_remote,
        worker.n_bad,
        slow,
        _n_interfering_runs(spec, worker),
        worker.cpu_free,
    )


def _work_at_risk(task, worker):
    """Return the cost of losing a worker to a suspect task, as a sort key; empty for others."""
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
    """Count the runs on a worker that a task of `spec` would disturb, or that would disturb it."""
    if spec.fills:
        return sum(run.step.target_s > 0 for run in worker.runs.values())
    if spec.target_s:
        return sum(run.step.fills for run in worker.runs.values())
    return 0
