"""Advice on steps: tickets, and the workers that a request names.

The advice service decides on which workers the steps of some queues may run. A ticket is its
permission to run a step on one worker, for a limited time. `_advice_queue` decides for which steps
it is asked.
"""

from ._job import TaskState
from ._stalled_runs import is_slow
from ._worker_speeds import make_speed_rank

#: Time for which a ticket must still be valid when a start is sent. A start reaches a worker within
#: a few milliseconds; a busy instance adds some tens of milliseconds. Unit: seconds.
TICKET_MARGIN_S = 0.15

#: Maximum number of workers that one request may name.
MAX_WORKERS_PER_REQUEST = 100

#: Maximum number of places on one worker that count towards the places that a step needs. A higher
#: limit would direct a step to a few empty workers, which the requests of other steps name at the
#: same time.
MAX_PLACES_PER_WORKER = 2

#: Share of the workers in a request that is expected to be allowed before the first answer.
INITIAL_SHARE = 0.5

#: Lower bound of the expected share: a series of refusals must not cause requests about all workers
#: from then on.
MIN_SHARE = 0.1

#: Weight that the earlier answers keep at each new one: the expected share follows a changed rule
#: within some ten answers.
EARLIER_ANSWERS_WEIGHT = 0.9


class AllowedShares:
    """Estimates, for each queue, the share of the workers in a request that are allowed."""

    def __init__(self):
        self._counts = {}

    def note(self, queue, n_asked, n_allowed):
        """Count an answer about workers for which the step had no earlier answer."""
        if n_asked <= 0:
            return
        asked, allowed = self._counts.get(queue, (0.0, 0.0))
        self._counts[queue] = (
            asked * EARLIER_ANSWERS_WEIGHT + n_asked,
            allowed * EARLIER_ANSWERS_WEIGHT + n_allowed,
        )

    def of(self, queue):
        """Return the expected share for a queue."""
        asked, allowed = self._counts.get(queue, (0.0, 0.0))
        return max(MIN_SHARE, allowed / asked) if asked else INITIAL_SHARE


def has_ticket(step, worker_id, now):
    """Whether the advice service allows a step to start on a worker now."""
    ticket = step.tickets.get(worker_id)
    return ticket is not None and ticket[1] - now > TICKET_MARGIN_S


# Choice of workers


def choose_workers(scheduler, step, now, duration_s, *, only_fitting=False):
    """Return the workers to ask about: as many as the unplaced tasks need.

    Workers with free capacity come first, beginning after the last worker of the previous request.
    In a cell of 270 workers that were named in a fixed order, all steps asked about the same 100
    workers, which were full, and then had to make a second request. For rack-sensitive steps, and
    where the policy turns `asks_by_need` off, the first workers in a fixed order are returned. With
    `only_fitting`, workers without free capacity are left out.
    """
    by_need = scheduler.policy.asks_by_need and not step.spec.rack_sensitive
    workers = workers_in_rotation(scheduler) if by_need else scheduler.workers.values()
    workers = [worker for worker in workers if is_worth_asking(step, worker, now, duration_s)]
    if not by_need:
        return workers[:MAX_WORKERS_PER_REQUEST]
    needed = n_places_needed(scheduler, step)
    n_places = _make_place_counter(scheduler, step)
    rack = step.spec.data_rack
    speed_rank = make_speed_rank(scheduler, step)
    with_capacity, others = [], []
    for worker in workers:
        has_capacity = worker.accepts(now, step) and n_places(worker) > 0
        (with_capacity if has_capacity else others).append(worker)
    # Workers that were allowed before will be allowed again. Unhealthy ones come last and are not
    # left out: they may be the only ones that are allowed.
    with_capacity.sort(
        key=lambda worker: (
            not is_healthy(scheduler, worker),
            speed_rank(worker),
            worker.info.worker_id not in step.tickets,
        )
    )
    if rack:
        with_capacity.sort(key=lambda worker: worker.info.rack != rack)
    chosen, expected = _take(with_capacity, step, needed, n_places, scheduler)
    n_known = sum(has_ticket(step, worker_id, now) for worker_id in step.tickets)
    if expected < needed and n_known < needed and not only_fitting:
        # It is not known yet which of the other workers will have free capacity first. With
        # tickets for them, the step can start as soon as one has.
        others.sort(key=lambda worker: (speed_rank(worker), -worker.cpu_free))
        more, _ = _take(others, step, needed - n_known, lambda _: 1, scheduler)
        chosen += more
    chosen = chosen[:MAX_WORKERS_PER_REQUEST]
    if chosen:
        scheduler.last_worker_in_request = chosen[-1].info.worker_id
    return chosen


def is_healthy(scheduler, worker):
    """Whether a worker neither failed its last run nor takes far longer than estimated."""
    return not worker.n_consecutive_failures and not is_slow(worker, scheduler.policy)


def workers_in_rotation(scheduler):
    """Return all workers, beginning after the last worker of the previous request."""
    workers = list(scheduler.workers.values())
    last = scheduler.last_worker_in_request
    if last not in scheduler.workers:
        return workers
    start = 1 + next(i for i, worker in enumerate(workers) if worker.info.worker_id == last)
    return workers[start:] + workers[:start]


def n_places_needed(scheduler, step):
    """Return the number of task places that a request for the step should find."""
    n_missing = len(step.waiting()) if step.ready_at is not None else len(step.tasks)
    if not step.spec.gang:
        n_missing = min(n_missing, scheduler.n_allowed(step) or n_missing)
    return scheduler.policy.ask_times * max(1, n_missing) + scheduler.policy.ask_more


def _make_place_counter(scheduler, step, limit=MAX_PLACES_PER_WORKER):
    """Return a function that counts a worker's free places for tasks of a step, up to a limit.

    The step's own limit applies if it is lower.
    """
    spec = step.spec
    limit = min(limit, spec.max_per_worker or limit)
    reserve = scheduler.reserve_share(step)

    def n_places(worker):
        if not worker.fits(spec):
            return 0
        n_beside = scheduler.places.max_tasks(worker, step, limit)
        free = worker.cpu_free - reserve * worker.info.cpu_milli
        if spec.fills or not spec.cpu_milli:
            return n_beside
        if free < spec.cpu_milli:
            return 0 if worker.runs else 1
        return min(n_beside, int(free // spec.cpu_milli))

    return n_places


def _take(workers, step, needed, n_places, scheduler):
    """Return the first workers that together are expected to offer the places needed.

    Also returns the number of places expected: a worker's places are weighted by the probability
    that the advice service allows the worker.
    """
    share = scheduler.allowed_shares.of(step.job.queue.name)
    chosen, expected = [], 0.0
    for worker in workers:
        if expected >= needed:
            break
        # A worker that was allowed before will be allowed again: only its ticket has expired.
        known = worker.info.worker_id in step.tickets
        expected += (1.0 if known else share) * n_places(worker)
        chosen.append(worker)
    return chosen, expected


def is_worth_asking(step, worker, now, duration_s):
    """Whether a worker may run the step and has no ticket that outlasts a request."""
    info = worker.info
    if info.service != step.job.queue.service or info.worker_id in step.refused:
        return False
    if not worker.listed or info.draining or not worker.could_fit(step.spec):
        return False
    if step.spec.label and step.spec.label not in info.labels:
        return False
    ticket = step.tickets.get(info.worker_id)
    return ticket is None or ticket[1] - now < duration_s + TICKET_MARGIN_S


# Free capacity


def fits_now(scheduler, step, now):
    """Whether tasks of a step could start now if the advice service allowed all workers.

    For a gang, whether all its tasks could.
    """
    needed = len(step.tasks) if step.spec.gang else 1
    duration_s = step.job.queue.advice.base_s
    n_places = _make_place_counter(scheduler, step, limit=needed)
    found = 0
    for worker in scheduler.workers.values():
        # A ticket counts for a gang, whose tasks need all their tickets at the same time.
        has_valid_ticket = has_ticket(step, worker.info.worker_id, now)
        may_count = (
            step.spec.gang if has_valid_ticket else is_worth_asking(step, worker, now, duration_s)
        )
        if not may_count or not worker.accepts(now):
            continue
        if not scheduler.reservations.allows(worker, step):
            continue
        found += n_places(worker)
        if found >= needed:
            return True
    return False


# Early requests


def is_early_request_due(scheduler, step, now):
    """Whether advice should be requested for a step whose preceding steps still run.

    The request is made as late as the answer can still arrive before the preceding steps end.
    """
    rules = step.job.queue.advice
    if rules is None or step.tickets or not scheduler.policy.asks_ahead:
        return False
    preceding = [step.job.steps[step.occurrence, number] for number in step.spec.after]
    remaining_s = max((_remaining_time(earlier, now) for earlier in preceding), default=0.0)
    n_workers = min(MAX_WORKERS_PER_REQUEST, len(scheduler.workers))
    if scheduler.policy.asks_by_need:
        n_workers = min(n_workers, int(n_places_needed(scheduler, step)))
    ahead_s = rules.base_s + rules.per_worker_s * n_workers + scheduler.policy.ask_ahead_s
    return remaining_s <= ahead_s


def _remaining_time(step, now):
    """Return the estimated time until all tasks of a step are done. Unit: seconds."""
    if step.is_done:
        return 0.0
    remaining_s = 0.0
    for task in step.tasks:
        match task.state:
            case TaskState.DONE:
                continue
            case TaskState.RUNNING if task.started_at is not None:
                remaining_s = max(remaining_s, step.spec.estimate_s - (now - task.started_at))
            case _:
                remaining_s = max(remaining_s, step.spec.estimate_s)
    return remaining_s
