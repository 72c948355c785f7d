"""Keeps what forecasts of the backlog need over time, on the leader."""

from math import exp

from ._account_rates import AccountRates
from ._forecast import BacklogReport, forecast_backlog
from ._load import LoadMeter, processor_time

#: Minimum time between two forecasts. Unit: seconds.
FORECAST_INTERVAL_S = 0.2

#: Time without an update from which the arrivals since the last one count as not known: admission
#: was switched off meanwhile. Unit: seconds.
MAX_PAUSE_S = 5.0

#: Time constant of the averages of occupied capacity and of arriving work: about the length of a
#: burst that the capacity for less urgent jobs should outlast. Unit: seconds.
AVERAGING_S = 3.0


class BacklogTracker:
    """Forecasts the waits of new jobs from the scheduler's state.

    Notes
    -----
    `_known` are the ids of all jobs, `_guaranteed` of those within the rates of their accounts.
    Jobs that an earlier leader had accepted are not counted against the rates, as their arrivals
    are not known; nor are those that arrived before the first update, or in a pause of updates.

    While the scheduler orders jobs by shares, its :class:`anvilflow.shares.ShareOrder` alone
    decides which jobs are within the rates, those without an account and inherited ones included.
    """

    def __init__(self):
        self._rates = AccountRates()
        self._load_meter = LoadMeter()
        self._known = set()
        self._guaranteed = set()
        self._held = {}
        self._objectives = {}
        self._inflows = {}
        self._report = BacklogReport()
        self._updated_at = None

    def update(self, scheduler, now):
        """Return the :class:`BacklogReport` as of now, without start delays.

        Parameters
        ----------
        scheduler : Scheduler
        now : float
            Steady time. Unit: seconds.
        """
        if self._updated_at is not None and now - self._updated_at < FORECAST_INTERVAL_S:
            return self._report
        elapsed_s = now - self._updated_at if self._updated_at is not None else 0.0
        is_first = self._updated_at is None or elapsed_s > MAX_PAUSE_S
        self._updated_at = now
        if is_first:
            self._known = set(scheduler.jobs)
            self._inflows.clear()
        arrived = self._note_new_jobs(scheduler, now)
        self._average_inflows(arrived, elapsed_s)
        waits = []
        # Runs that are not known yet would make full workers look free.
        if scheduler.are_all_runs_known(now) and self._may_wait(scheduler):
            services = self._load_meter.measure(
                scheduler.jobs,
                scheduler.workers.values(),
                now,
                run_times=scheduler.run_times,
                objectives=self._objectives,
                guaranteed=self._guaranteed_jobs(scheduler),
                limited=frozenset().union(*scheduler.limited_jobs.values()),
            )
            self._average_held(services, elapsed_s)
            self._objectives = _mean_objectives(services)
            for name, load in services.items():
                waits += forecast_backlog(
                    name,
                    load,
                    held=_of_service(self._held, name),
                    inflows=_of_service(self._inflows, name),
                    reserves=_reserves(scheduler, name, load),
                    kept_from=_kept_from(scheduler, name),
                )
        self._report = BacklogReport(
            waits=tuple(waits), excess_accounts=frozenset(self._rates.exceeding(now))
        )
        return self._report

    @staticmethod
    def _may_wait(scheduler):
        return any(not job.is_idle and not job.is_ended for job in scheduler.jobs.values())

    def _note_new_jobs(self, scheduler, now):
        """Count the jobs since the last call; return their processor time by service and priority.

        Unit: thousandths of a core times seconds.
        """
        arrived = {}
        jobs = scheduler.jobs
        self._guaranteed &= jobs.keys()
        for job_id, job in jobs.items():
            if job_id in self._known or job.inherited:
                continue
            if job.account is not None:
                self._note_account(scheduler, job, now)
            if not job.is_long_running:
                key = (job.queue.service, job.queue.priority)
                ratio = scheduler.run_times.median(job.queue.name)
                arrived[key] = arrived.get(key, 0.0) + ratio * processor_time(job.spec.steps)
        self._known = set(jobs)
        return arrived

    def _note_account(self, scheduler, job, now):
        account = job.account
        if scheduler.policy.shares == "on":
            if job.standing.is_excess:
                self._rates.note_exceeded(account.name, now)
        elif self._rates.take(account.name, account.weight, now):
            self._guaranteed.add(job.spec.job_id)

    def _guaranteed_jobs(self, scheduler):
        """Return the ids of the jobs within the guaranteed rates of their accounts."""
        if scheduler.policy.shares != "on":
            return self._guaranteed
        return {job_id for job_id, job in scheduler.jobs.items() if not job.standing.is_excess}

    def _average_inflows(self, arrived, elapsed_s):
        if elapsed_s <= 0:
            return
        for key in {*arrived, *self._inflows}:
            self._inflows[key] = _average(
                self._inflows.get(key, 0.0), arrived.get(key, 0.0) / elapsed_s, elapsed_s
            )

    def _average_held(self, services, elapsed_s):
        held = {
            (name, priority): each.held
            for name, load in services.items()
            for priority, each in load.priorities.items()
        }
        for key in {*held, *self._held}:
            amounts = held.get(key, (0, 0, 0))
            before = self._held.get(key, amounts)
            self._held[key] = [
                _average(old, new, elapsed_s) for old, new in zip(before, amounts, strict=True)
            ]


def _mean_objectives(services):
    return {
        (name, priority): each.mean_objective_s
        for name, load in services.items()
        for priority, each in load.priorities.items()
        if each.n_jobs
    }


def _reserves(scheduler, name, load):
    """Return by priority the share of each worker that is reserved for more urgent tasks."""
    config = scheduler.config
    if scheduler.places.is_learnt(name):
        return {}
    return {
        priority: scheduler.policy.reserve_share
        for priority, queue in load.queues.items()
        if config is not None and config.has_more_urgent(queue)
    }


def _kept_from(scheduler, name):
    """Return what tasks of a priority must leave free on a worker, as a function, or None.

    The waiting step with the most tasks that are not done stands for those of its priority.
    """
    if not scheduler.places.is_learnt(name):
        return None
    steps, most = {}, {}
    for job in scheduler.jobs.values():
        if job.queue.service != name or job.is_idle or job.is_ended:
            continue
        priority = job.queue.priority
        for step in job.steps.values():
            n_left = len(step.tasks) - step.n_done if not step.spec.fills else 0
            # Tasks are examined one by one only where the step would be chosen.
            if n_left > most.get(priority, 0) and step.waiting():
                steps[priority], most[priority] = step, n_left

    def kept_from(worker, priority):
        step = steps.get(priority)
        return scheduler.places.kept_from(worker, step) if step is not None else None

    return kept_from


def _average(before, value, elapsed_s):
    return value + (before - value) * exp(-elapsed_s / AVERAGING_S)


def _of_service(values, name):
    return {priority: value for (service, priority), value in values.items() if service == name}
