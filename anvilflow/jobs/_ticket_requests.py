"""Advice requests where the policy turns `tickets` on: by demand, and where room will be."""

from ..tickets import Candidate, RequestTiming, choose_names
from ._actions import RequestAdvice
from ._advice import (
    MAX_WORKERS_PER_REQUEST,
    TICKET_MARGIN_S,
    choose_workers,
    is_healthy,
    is_worth_asking,
    n_places_needed,
    workers_in_rotation,
)
from ._advice_queue import (
    LONG_REQUEST_S,
    MAX_ADVICE_WAIT_S,
    RequestInFlight,
    find_steps,
    is_limited_by_account,
    need_advice,
    request_deferred_advice,
)
from ._reservations import RoomForecast

#: Share of a ticket's life below which a request renews it together with others. Renewed one by
#: one, the tickets of a step would need a request each.
RENEWAL_SHARE = 0.5

#: Least time between two decisions on long requests, which take most of a second. A plan is made
#: after each event, hundreds a second. Unit: seconds.
LONG_PLAN_INTERVAL_S = 0.03

#: Number of lasting tickets with which a step can go on: under load, each worker has room for a
#: task several times during the life of a ticket.
MIN_LASTING_TICKETS = 3

#: Share of the callers that makes no requests for steps of accounts at their maximum.
KEPT_FROM_LIMITED_SHARE = 0.25

#: Maximum number of steps of accounts at their maximum that one plan evaluates, and time for which
#: one without room in time is not evaluated again. To evaluate a step takes as long as to look at
#: all workers. Unit: seconds.
MAX_LIMITED_STEPS = 8
LIMITED_RETRY_S = 0.5

#: Share of the workers known to be allowed for which a step with enough tickets has lasting ones.
COVERED_SHARE = 0.7


def need_advice_while_limited(scheduler, step, now):
    """Note that a step needs advice although its account has reached its maximum.

    Its tasks can then start as soon as others of the account end.
    """
    if scheduler.policy.tickets == "on" and now >= step.limited_retry_at:
        need_advice(scheduler, step, now)


def request_advice(scheduler, now):
    """Return the advice requests that can be made now."""
    if scheduler.policy.tickets != "on":
        return request_deferred_advice(scheduler, now)
    planner = scheduler.ticket_planner
    for key in planner.drop_overdue(now):
        scheduler.advice_in_flight.pop(key, None)
    short_steps = _find_short_steps(scheduler)
    n_free = planner.n_free_short(scheduler.n_advice_callers, now)
    actions = _request(scheduler, short_steps, n_free, now)
    backlog_s = sum(
        step.job.queue.advice.base_s
        for step in short_steps
        if step.key in scheduler.deferred_advice_steps
        and not is_limited_by_account(scheduler, step)
    )
    n_free = planner.n_free_long(
        scheduler.n_advice_callers,
        now,
        initial_share=scheduler.policy.long_ask_share,
        backlog_s=backlog_s,
    )
    if n_free <= 0 or now < planner.long_planned_at + LONG_PLAN_INTERVAL_S:
        return actions
    planner.long_planned_at = now
    long_steps = find_steps(scheduler, True, keeps_limited=True)
    return actions + _request(scheduler, long_steps, n_free, now)


def _find_short_steps(scheduler):
    """Return the deferred steps with short requests; drop those that need none any more."""
    found = []
    for step in list(scheduler.deferred_advice_steps.values()):
        if step.job.queue.advice.base_s > LONG_REQUEST_S:
            continue
        is_over = step.job.is_ended or step.job.job_id not in scheduler.jobs
        if is_over or not step.waiting():
            del scheduler.deferred_advice_steps[step.key]
        else:
            found.append(step)
    return found


def _request(scheduler, steps, n_free, now):
    """Return at most `n_free` requests for the steps that need them most."""
    if not steps or n_free <= 0:
        return []
    n_for_limited = n_free - int(KEPT_FROM_LIMITED_SHARE * scheduler.n_advice_callers)
    if n_for_limited <= 0:
        steps = [step for step in steps if not is_limited_by_account(scheduler, step)]
    is_crowded = len(steps) > n_free
    forecast = RoomForecast(scheduler, now)
    requests = [_Request(scheduler, step, forecast, now) for step in steps]
    requests.sort(key=_Request.order)
    actions = []
    postponed = []
    n_limited = 0
    for request in requests:
        if len(actions) >= (n_for_limited if request.is_limited else n_free):
            break
        n_limited += request.is_limited
        if n_limited > MAX_LIMITED_STEPS:
            break
        if request.is_covered():
            # The next full plan notes the need again.
            del scheduler.deferred_advice_steps[request.step.key]
        elif request.has_room_in_time():
            actions += request.make(is_crowded)
        elif request.is_limited:
            del scheduler.deferred_advice_steps[request.step.key]
            request.step.limited_retry_at = now + LIMITED_RETRY_S
        else:
            postponed.append(request)
    for request in postponed[: n_free - len(actions)]:
        actions += request.make(is_crowded)
    return actions


class _Request:
    """The request that a step could make now."""

    def __init__(self, scheduler, step, forecast, now):
        rules = step.job.queue.advice
        self.scheduler = scheduler
        self.step = step
        self.now = now
        self.forecast = forecast
        self.timing = RequestTiming(
            base_s=rules.base_s, per_worker_s=rules.per_worker_s, valid_s=rules.valid_s
        )
        self.n_needed = n_places_needed(scheduler, step)
        self._candidates = None
        self.is_limited = is_limited_by_account(scheduler, step)
        self._n_known, self._n_lasting = self._count_tickets()

    def _count_tickets(self):
        """Return the numbers of allowed workers and of tickets that outlast a request.

        Of the request, its fixed duration counts. Renewals that allow for the longest one took
        instances from steps that had no tickets at all.
        """
        n_known = sum(
            name in self.scheduler.workers and self.scheduler.workers[name].accepts(self.now)
            for name in self.step.tickets
        )
        return n_known, len(self._lasting_names())

    def _lasting_names(self):
        """Return the ids of the workers that accept tasks and whose tickets outlast a request."""
        lasts_until = self.now + self.timing.base_s + TICKET_MARGIN_S
        return {
            name
            for name, (_, expires_at) in self.step.tickets.items()
            if expires_at > lasts_until
            and name in self.scheduler.workers
            and self.scheduler.workers[name].accepts(self.now)
        }

    def order(self):
        """Return the sort key: steps that can go on without the request come last.

        Steps that have waited for longer than :data:`MAX_ADVICE_WAIT_S` without a ticket come
        first, so that none waits for as long as more urgent ones keep coming. Those of accounts
        that have reached their maximum come after all others.
        """
        if self.is_limited:
            return (3, self.scheduler.urgency(self.step.job, self.now))
        spec = self.step.spec
        n_enough = spec.n_tasks if spec.gang else MIN_LASTING_TICKETS
        if self._n_lasting >= n_enough:
            return (2, self.scheduler.urgency(self.step.job, self.now))
        waited_s = self.now - self.step.advice_needed_since
        if waited_s > MAX_ADVICE_WAIT_S:
            return (0, (-waited_s,))
        return (1, self.scheduler.urgency(self.step.job, self.now))

    def is_covered(self):
        """Whether the tickets that outlast a request suffice for now.

        Either for all unplaced tasks, or for most of the workers known to be allowed.
        """
        if self.step.spec.gang:
            return False
        if self._n_lasting >= self.n_needed:
            return True
        n_enough = max(MIN_LASTING_TICKETS, COVERED_SHARE * self._n_known)
        return self._n_lasting >= n_enough

    @property
    def candidates(self):
        if self._candidates is None:
            self._candidates = self._find_candidates()
        return self._candidates

    def _find_candidates(self):
        scheduler, step, now = self.scheduler, self.step, self.now
        renews_s = self.timing.base_s + RENEWAL_SHARE * self.timing.valid_s
        reserve = scheduler.reserve_share(step)
        found = []
        for worker in workers_in_rotation(scheduler):
            if not is_worth_asking(step, worker, now, renews_s):
                continue
            is_near = not step.spec.data_rack or worker.info.rack == step.spec.data_rack
            found.append(
                Candidate(
                    worker_id=worker.info.worker_id,
                    is_known=worker.info.worker_id in step.tickets,
                    room_in_s=self.forecast.room_in_s(worker, step, reserve),
                    is_preferred=is_near and is_healthy(scheduler, worker),
                )
            )
        return found

    def has_room_in_time(self):
        """Whether tasks of the step could start before tickets requested now would expire."""
        horizon_s = self.timing.duration_s(MAX_WORKERS_PER_REQUEST) + self.timing.valid_s
        if not self.step.spec.gang:
            return any(each.room_in_s <= horizon_s for each in self.candidates)
        # Workers with lasting tickets need not be asked about, but may take members.
        names = {each.worker_id for each in self.candidates} | self._lasting_names()
        reserve = self.scheduler.reserve_share(self.step)
        n_in_time = 0
        for name in names & self.scheduler.workers.keys():
            worker = self.scheduler.workers[name]
            n_in_time += self.forecast.n_tasks_within(worker, self.step, reserve, horizon_s)
            if n_in_time >= len(self.step.tasks):
                return True
        return False

    def make(self, is_crowded):
        """Return the request in a list, or [] if there is no worker to ask about."""
        scheduler, step, now = self.scheduler, self.step, self.now
        del scheduler.deferred_advice_steps[step.key]
        was_asked = bool(step.tickets or step.refused)
        if step.spec.rack_sensitive or not (is_crowded or was_asked):
            workers = choose_workers(scheduler, step, now, self.timing.base_s)
        else:
            names = choose_names(
                self.candidates,
                timing=self.timing,
                n_needed=self.n_needed,
                allowed_share=scheduler.allowed_shares.of(step.job.queue.name),
                limit=MAX_WORKERS_PER_REQUEST,
            )
            workers = [scheduler.workers[each.worker_id] for each in names]
            if workers:
                scheduler.last_worker_in_request = workers[-1].info.worker_id
        if not workers:
            return []
        duration_s = self.timing.duration_s(len(workers))
        number = scheduler.ticket_planner.sent(
            step.key,
            duration_s=duration_s,
            is_long=step.job.queue.advice.base_s > LONG_REQUEST_S,
            now=now,
        )
        scheduler.advice_in_flight[step.key] = RequestInFlight(
            sent_at=now, duration_s=duration_s, number=number
        )
        return [
            RequestAdvice(
                step=step.key,
                workers=[worker.info.worker_id for worker in workers],
                registry_ids=[worker.info.registry_id for worker in workers],
                length_s=duration_s,
                waited_s=round(now - step.advice_needed_since, 3),
                number=number,
            )
        ]
