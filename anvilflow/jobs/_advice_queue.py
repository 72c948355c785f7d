"""Order of the advice requests of all steps that need one.

The advice service answers one request of an instance at a time. Long requests, for heavy tasks, are
scarce: a cell of 15 instances makes seven to ten a second, and tickets expire after 2 to 2.5 s.
"""

from msgspec import Struct

from ._actions import RequestAdvice
from ._advice import choose_workers, fits_now, is_early_request_due

#: Time beyond its expected duration after which a request without an answer is made again. Unit:
#: seconds.
REQUEST_TIMEOUT_S = 2.0

#: Maximum number of short requests in flight for each instance that makes them. The advice service
#: processes one call of an instance at a time, and the second is queued behind the first.
MAX_REQUESTS_PER_INSTANCE = 2

#: Expected duration from which a request counts as long, since it delays others noticeably.
#: Requests for quick tasks take 0.05 s, those for heavy tasks 0.8 s. Unit: seconds.
LONG_REQUEST_S = 0.25

#: Time after which a step that fits is asked for before more urgent ones. Unit: seconds.
MAX_ADVICE_WAIT_S = 2.0

#: Time without a need for short requests after which all instances may make long ones. Before, a
#: share of them is kept free, so that quick tasks do not wait for a long request. Unit: seconds.
QUIET_S = 2.0


class RequestInFlight(Struct, kw_only=True, frozen=True):
    """An advice request without an answer yet; unit of the times: seconds."""

    sent_at: float
    duration_s: float
    number: int = 0

    @property
    def is_long(self):
        """Whether the request takes one of the scarce places of long requests."""
        return self.duration_s > LONG_REQUEST_S


def advice_state(scheduler, step, now):
    """Return the state of a step's advice request, and for how long it has been deferred.

    Unit: seconds.
    """
    if step.key in scheduler.advice_in_flight:
        return "in flight", 0.0
    if step.key in scheduler.deferred_advice_steps:
        return "deferred", now - step.advice_needed_since
    return "none", 0.0


def drop_timed_out_requests(scheduler, now):
    """Drop the requests in flight whose answers are overdue, so that they can be made again."""
    for key, request in list(scheduler.advice_in_flight.items()):
        if now - request.sent_at > request.duration_s + REQUEST_TIMEOUT_S:
            del scheduler.advice_in_flight[key]


def need_advice(scheduler, step, now):
    """Note that a step needs advice, unless its queue needs none or a request is in flight."""
    if step.job.queue.advice is None or step.key in scheduler.advice_in_flight:
        return
    if step.job.queue.advice.base_s <= LONG_REQUEST_S:
        scheduler.short_advice_needed_at = now
    if step.key not in scheduler.deferred_advice_steps:
        step.advice_needed_since = now
        scheduler.deferred_advice_steps[step.key] = step


def need_advice_early(scheduler, step, now):
    """Note that a step needs advice whose preceding steps still run, once it is time."""
    if is_early_request_due(scheduler, step, now):
        need_advice(scheduler, step, now)


def request_deferred_advice(scheduler, now):
    """Return the advice requests that can be made now.

    Steps that fit on some worker come first, those that have waited for longer than
    :data:`MAX_ADVICE_WAIT_S` before the most urgent ones. When requests were made by urgency alone,
    a few urgent steps for which there was no free capacity renewed their tickets again and again,
    and others that would have fitted had no answer for a minute.
    """
    actions = []
    for is_long in (False, True):
        n_free = _n_free_requests(scheduler, is_long, now)
        if n_free <= 0:
            continue
        steps = find_steps(scheduler, is_long)
        if len(steps) <= n_free:
            steps.sort(key=lambda step: scheduler.urgency(step.job, now))
            chosen = [(step, False) for step in steps]
        else:
            chosen = _choose_steps(scheduler, steps, n_free, now)
        for step, only_fitting in chosen:
            actions += _make_request(scheduler, step, now, only_fitting=only_fitting)
    return actions


def _n_free_requests(scheduler, is_long, now):
    """Return how many more requests of this kind may be in flight."""
    n_in_flight = sum(each.is_long == is_long for each in scheduler.advice_in_flight.values())
    if not is_long:
        return MAX_REQUESTS_PER_INSTANCE * scheduler.n_advice_callers - n_in_flight
    is_quiet = now - scheduler.short_advice_needed_at > QUIET_S
    share = max(scheduler.policy.long_ask_share, 1.0 if is_quiet else 0.0)
    return max(1, int(share * scheduler.n_advice_callers)) - n_in_flight


def find_steps(scheduler, is_long, *, keeps_limited=False):
    """Return the deferred steps with requests of this kind; drop those that need none any more.

    Steps of an account that has reached its maximum are dropped unless `keeps_limited`.
    """
    found = []
    for step in list(scheduler.deferred_advice_steps.values()):
        is_limited = not keeps_limited and is_limited_by_account(scheduler, step)
        is_over = step.job.is_ended or step.job.job_id not in scheduler.jobs
        if is_over or is_limited or not step.waiting():
            del scheduler.deferred_advice_steps[step.key]
        elif (step.job.queue.advice.base_s > LONG_REQUEST_S) == is_long:
            found.append(step)
    return found


def is_limited_by_account(scheduler, step):
    """Whether the maximum of the step's account allows none of its tasks to start."""
    return step.ready_at is not None and not scheduler.n_allowed(step)


def _choose_steps(scheduler, steps, n_free, now):
    """Return the steps to ask for next, each with whether to name only workers that fit."""
    steps.sort(key=lambda step: _request_order(scheduler, step, now))
    chosen = []
    others = []
    for step in steps:
        if len(chosen) == n_free:
            return chosen
        if fits_now(scheduler, step, now):
            chosen.append((step, True))
        else:
            others.append(step)
    return chosen + [(step, False) for step in others[: n_free - len(chosen)]]


def _request_order(scheduler, step, now):
    """Return the sort key of a step that waits for its request."""
    waited_s = now - step.advice_needed_since
    if waited_s > MAX_ADVICE_WAIT_S:
        return (0, (-waited_s,))
    return (1, scheduler.urgency(step.job, now))


def _make_request(scheduler, step, now, *, only_fitting):
    """Return a request about the workers that may run a step; [] if there is none to ask about."""
    del scheduler.deferred_advice_steps[step.key]
    rules = step.job.queue.advice
    workers = choose_workers(scheduler, step, now, rules.base_s, only_fitting=only_fitting)
    if not workers:
        return []
    duration_s = rules.base_s + rules.per_worker_s * len(workers)
    scheduler.advice_in_flight[step.key] = RequestInFlight(sent_at=now, duration_s=duration_s)
    return [
        RequestAdvice(
            step=step.key,
            workers=[worker.info.worker_id for worker in workers],
            registry_ids=[worker.info.registry_id for worker in workers],
            length_s=duration_s,
            waited_s=round(now - step.advice_needed_since, 3),
        )
    ]
