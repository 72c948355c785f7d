"""For which steps to ask advice, and about which workers."""

from ._actions import RequestAdvice
from ._job import TaskState
from ._stalled_runs import is_slow

#: Time that a ticket must still be valid when a start is sent. A start reaches a worker within a
#: few milliseconds; a busy instance adds some tens. Unit: seconds.
TICKET_MARGIN_S = 0.15

#: Largest number of workers that one ask may name.
MAX_ASKED = 100

#: Time after which an ask without an answer is made again, beyond its own length. Unit: seconds.
ASK_TIMEOUT_S = 2.0

#: Asks under way at once for each instance that carries them: the service takes one call of an
#: instance at a time, and the second waits ready behind the first.
ASKS_PER_ADVISER = 2

#: An ask that takes longer than this keeps others waiting noticeably. Those for quick work take
#: 0.05 s, those for heavy work 0.8 s. Unit: seconds.
LONG_ASK_S = 0.25

#: Places on one worker that count towards what a step needs. More would put a step on a few empty
#: workers, which other steps are told of at the same moment.
PLACES_PER_WORKER = 2


#: Share of the workers asked about that is taken to be allowed until answers tell.
FIRST_SHARE = 0.5

#: Least share that is reckoned with: a run of refusals must not ask about all workers for ever.
LEAST_SHARE = 0.1

#: Weight that older answers keep at each new one: a changed rule is learnt within some ten answers.
KEPT_WEIGHT = 0.9


class AllowedShares:
    """The share of the workers asked about that advice allows, learnt for each queue."""

    def __init__(self):
        self._counts = {}

    def note(self, queue, n_asked, n_allowed):
        """Count an answer about workers of which nothing was known."""
        if n_asked <= 0:
            return
        asked, allowed = self._counts.get(queue, (0.0, 0.0))
        self._counts[queue] = (asked * KEPT_WEIGHT + n_asked, allowed * KEPT_WEIGHT + n_allowed)

    def of(self, queue):
        """Return the share that is to be expected."""
        asked, allowed = self._counts.get(queue, (0.0, 0.0))
        return max(LEAST_SHARE, allowed / asked) if asked else FIRST_SHARE


def has_ticket(step, worker_id, now):
    """Whether a step may start on a worker now."""
    ticket = step.tickets.get(worker_id)
    return ticket is not None and ticket[1] - now > TICKET_MARGIN_S


def drop_old_asks(scheduler, now):
    """Forget asks whose answer does not come any more."""
    for key, (sent_at, length) in list(scheduler.asking.items()):
        if now - sent_at > length + ASK_TIMEOUT_S:
            del scheduler.asking[key]


def ask(scheduler, step, now):
    """Ask which workers may run a step, unless an answer in force leaves nothing to ask.

    An ask that has to wait for an instance is noted in ``scheduler.held_asks``.
    """
    rules = step.job.queue.advice
    if rules is None or step.key in scheduler.asking:
        return []
    if not _may_ask(scheduler, rules.base_s):
        scheduler.held_asks[step.key] = step
        return []
    scheduler.held_asks.pop(step.key, None)
    names = _choose_asked(scheduler, step, now, rules.base_s)
    if not names:
        return []
    length = rules.base_s + rules.per_worker_s * len(names)
    scheduler.asking[step.key] = (now, length)
    return [RequestAdvice(step=step.key, workers=names, length_s=length)]


def ask_held(scheduler, now):
    """Make the asks that waited for an instance, the most urgent first."""
    held = sorted(scheduler.held_asks.values(), key=lambda step: step.job.urgency(now))
    actions = []
    for step in held:
        if step.job.is_ended or step.job.job_id not in scheduler.jobs or not step.waiting():
            scheduler.held_asks.pop(step.key, None)
            continue
        actions += ask(scheduler, step, now)
    return actions


def _may_ask(scheduler, length):
    """Whether an instance is free for an ask of this length."""
    is_long = length > LONG_ASK_S
    n_same = sum((other > LONG_ASK_S) == is_long for _, other in scheduler.asking.values())
    if is_long:
        return n_same < max(1, int(scheduler.policy.long_ask_share * scheduler.n_advice_callers))
    return n_same < ASKS_PER_ADVISER * scheduler.n_advice_callers


# Which workers


def _choose_asked(scheduler, step, now, length):
    """Return the workers to ask about: as many as the tasks without a place need.

    Those with room come first, beginning where the last ask ended. In the order in which workers
    were found, all steps of a cell of 270 workers asked about the same 100, which were full, and
    then once more.
    """
    by_need = scheduler.policy.asks_by_need and not step.spec.rack_sensitive
    workers = _in_turn(scheduler) if by_need else scheduler.workers.values()
    workers = [worker for worker in workers if _worth_asking(step, worker, now, length)]
    if not by_need:
        return _names(workers[:MAX_ASKED])
    needed = _n_needed(scheduler, step)
    n_places = _counter(scheduler, step)
    rack = step.spec.data_rack
    with_room, others = [], []
    for worker in workers:
        is_sound = worker.accepts(now) and not worker.n_consecutive_failures
        is_sound = is_sound and not is_slow(worker, scheduler.policy)
        has_room = is_sound and n_places(worker) > 0
        (with_room if has_room else others).append(worker)
    if rack:
        with_room.sort(key=lambda worker: worker.info.rack != rack)
    chosen, expected = _take(with_room, step, needed, n_places, scheduler)
    n_known = sum(has_ticket(step, worker_id, now) for worker_id in step.tickets)
    if expected < needed and n_known < needed:
        # Where room will come is told by nothing yet: the tickets let the step wait for it.
        others.sort(key=lambda worker: -worker.cpu_free)
        more, _ = _take(others, step, needed - n_known, lambda _: 1, scheduler)
        chosen += more
    chosen = chosen[:MAX_ASKED]
    if chosen:
        scheduler.asked_last = chosen[-1].info.worker_id
    return _names(chosen)


def _names(workers):
    return [worker.info.worker_id for worker in workers]


def _in_turn(scheduler):
    """Return all workers, beginning after the one that was asked about last."""
    workers = list(scheduler.workers.values())
    last = scheduler.asked_last
    if last not in scheduler.workers:
        return workers
    start = 1 + next(i for i, worker in enumerate(workers) if worker.info.worker_id == last)
    return workers[start:] + workers[:start]


def _n_needed(scheduler, step):
    n_missing = len(step.waiting()) if step.ready_at is not None else len(step.tasks)
    return scheduler.policy.ask_times * max(1, n_missing) + scheduler.policy.ask_more


def _counter(scheduler, step):
    """Return a function that gives the places that a worker has for a step, of those that count."""
    spec = step.spec
    most = min(PLACES_PER_WORKER, spec.max_per_worker or PLACES_PER_WORKER)
    keep = scheduler.reserve_share(step)

    def n_places(worker):
        if not worker.fits(spec):
            return 0
        free = worker.cpu_free - keep * worker.info.cpu_milli
        if spec.fills or not spec.cpu_milli:
            return most
        if free < spec.cpu_milli:
            return 0 if worker.runs else 1
        return min(most, int(free // spec.cpu_milli))

    return n_places


def _take(workers, step, needed, n_places, scheduler):
    """Return workers whose places, as far as advice will allow them, are as many as needed."""
    share = scheduler.allowed_shares.of(step.job.queue.name)
    chosen, expected = [], 0.0
    for worker in workers:
        if expected >= needed:
            break
        # What advice has allowed once it allows again: only the ticket is over.
        known = worker.info.worker_id in step.tickets
        expected += (1.0 if known else share) * n_places(worker)
        chosen.append(worker)
    return chosen, expected


def _worth_asking(step, worker, now, length):
    info = worker.info
    if info.service != step.job.queue.service or info.worker_id in step.refused:
        return False
    if not worker.listed or info.draining or not worker.could_fit(step.spec):
        return False
    if step.spec.label and step.spec.label not in info.labels:
        return False
    ticket = step.tickets.get(info.worker_id)
    return ticket is None or ticket[1] - now < length + TICKET_MARGIN_S


# Asking ahead


def ask_ahead(scheduler, step, now):
    """Ask while the steps before still run, as late as the answer then is there in time."""
    rules = step.job.queue.advice
    if rules is None or step.tickets or not scheduler.policy.asks_ahead:
        return []
    before = [step.job.steps[step.occurrence, number] for number in step.spec.after]
    left = max((_time_left(earlier, now) for earlier in before), default=0.0)
    n_workers = min(MAX_ASKED, len(scheduler.workers))
    if scheduler.policy.asks_by_need:
        n_workers = min(n_workers, int(_n_needed(scheduler, step)))
    if left > rules.base_s + rules.per_worker_s * n_workers + scheduler.policy.ask_ahead_s:
        return []
    return ask(scheduler, step, now)


def _time_left(step, now):
    """Return the estimated time until all tasks of a step are done. Unit: seconds."""
    if step.is_done:
        return 0.0
    left = 0.0
    for task in step.tasks:
        match task.state:
            case TaskState.DONE:
                continue
            case TaskState.RUNNING if task.started_at is not None:
                left = max(left, step.spec.estimate_s - (now - task.started_at))
            case _:
                left = max(left, step.spec.estimate_s)
    return left
