"""Waiting for a faster worker where a task ends sooner there than on a slow one that is free."""

from ..speeds import is_worth_waiting
from ._advice import has_ticket
from ._job import TaskState
from ._reservations import time_to_fit
from ._worker_speeds import are_needed

#: Workers that a request for advice on faster workers is assumed to name, and the time that it
#: takes beyond its expected duration. Unit: seconds.
N_WORKERS_PER_REQUEST = 10
REQUEST_DELAY_S = 0.02

_NEVER = float("inf")


def leave_slow_workers(scheduler, step, waiting, workers, now):
    """Return the workers without those on which the waiting tasks would end later than elsewhere.

    A worker is slow if tasks there exceed the objective of their queue. Tasks wait for a faster
    worker that will be free soon, or for advice on one that is free already.
    """
    queue, spec = step.job.queue, step.spec
    if spec.long_running or spec.fills or not spec.estimate_s or not are_needed(scheduler, queue):
        return workers
    factors = {each: scheduler.speeds.factor(each.info.worker_id) for each in workers}
    slow = {each for each in workers if factors[each] > queue.stretch}
    if not slow:
        return workers
    if sum(each.fits(spec) for each in workers if each not in slow) >= len(waiting):
        return workers
    wait_s = _time_to_faster_worker(scheduler, step, now)
    fastest = scheduler.speeds.fastest_factor(queue.service)
    # Tasks that need a copy are running, and have not waited since they began.
    since = [task.waiting_since for task in waiting if task.state is TaskState.WAITING]
    waited_s = now - min(since, default=now)
    return [
        each
        for each in workers
        if each not in slow
        or not is_worth_waiting(
            estimate_s=spec.estimate_s,
            factor=factors[each],
            other_factor=fastest,
            wait_s=wait_s,
            waited_s=waited_s,
        )
    ]


def _time_to_faster_worker(scheduler, step, now):
    """Return the time until a task of a step can start on a faster worker. Unit: seconds.

    A worker on which the step has no advice counts only if it has free capacity now.
    """
    queue, spec = step.job.queue, step.spec
    reserve = scheduler.reserve_share(step)
    rules = queue.advice
    wait_s = _NEVER
    for worker in scheduler.workers.values():
        info = worker.info
        if (
            info.service != queue.service
            or not worker.accepts(now, step)
            or not worker.could_fit(spec)
        ):
            continue
        if spec.label and spec.label not in info.labels:
            continue
        if scheduler.speeds.factor(info.worker_id) > queue.stretch:
            continue
        if rules is None or has_ticket(step, info.worker_id, now):
            wait_s = min(wait_s, time_to_fit(worker, spec, reserve, now)[0])
        elif info.worker_id not in step.refused and worker.fits(spec):
            request_s = rules.base_s + rules.per_worker_s * N_WORKERS_PER_REQUEST
            wait_s = min(wait_s, request_s + REQUEST_DELAY_S)
    return wait_s
