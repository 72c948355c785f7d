"""Limits on what the runs of each client account may occupy, under this and earlier leaders."""

from ._account_usage import max_concurrent_demand
from ._accounts import add_demands, demand_of
from ._run_tracker import RunTracker


class AccountTracker(RunTracker):
    """Decides how many tasks the maximum of an account allows to start.

    Base of :class:`Scheduler`.

    Notes
    -----
    `_unlisted_use` is by account what runs occupy that workers list and that no task accounts for,
    as of the last plan. Its key None stands for runs of jobs that are not known.
    """

    def __init__(self, **values):
        super().__init__(**values)
        self.config = None
        self._unlisted_use = {}

    # Runs of earlier leaders

    def are_all_runs_known(self, now):
        """Whether all runs that earlier leaders have started are listed, or their ends are known.

        When the grace period is over, the leases of earlier leaders are; but a worker that has
        responded to this leader may still list ends.
        """
        listing = [self.workers.get(worker_id) for worker_id in self.workers_with_more_ends]
        if any(worker is not None and worker.may_list_more_ends(now) for worker in listing):
            return False
        if self.grace_period.is_over(now):
            return True
        return self.grace_period.all_workers_known and all(
            worker.confirmed or worker.runs_known for worker in self.workers.values()
        )

    def _bound_inherited_job(self, job, now):
        """Count a job that earlier leaders may have begun with the most that it can occupy.

        A new leader adds the stored jobs before it knows any worker: the next plan finds out
        whether all runs are known.
        """
        if not job.inherited or not job.owner or self.grace_period.is_over(now):
            return
        open_steps = [step for step in job.steps.values() if not step.is_done]
        self.usage.assume(job.job_id, job.owner, max_concurrent_demand(open_steps))

    def _update_use(self, now):
        """Bring the use of all accounts up to date before a plan."""
        self._drop_bounds_of_use(now)
        self._unlisted_use = self._use_of_orphan_runs()

    def _drop_bounds_of_use(self, now):
        """Count known runs only, once nothing else can be left of earlier leaders."""
        usage = self.usage
        if usage.has_assumptions and self.are_all_runs_known(now):
            usage.drop_assumptions()
        elif not usage.has_leftovers or not self._have_stray_runs_ended(now):
            return
        else:
            usage.drop_leftovers()
        for account in list(self.limited_jobs):
            self.wake_limited_jobs(account)

    def _have_stray_runs_ended(self, now):
        """Whether no worker can have runs of earlier leaders that no task accounts for."""
        if self.grace_period.is_over(now):
            return True
        return self.grace_period.all_workers_known and all(
            worker.confirmed and not worker.orphan_runs for worker in self.workers.values()
        )

    # Maxima

    def n_allowed(self, step):
        """Return how many tasks of a step the maximum of its account allows to start now.

        0 where only a part of a gang would be allowed. While a worker lists a run of a job that is
        not known, its account is not known either, and no account with a maximum starts tasks.
        """
        account = step.job.account
        if account is None or not any(account.maxima):
            return len(step.tasks)
        if None in self._unlisted_use:
            return 0
        used = self.usage.used(account.name)
        orphans = self._unlisted_use.get(account.name)
        if orphans is not None:
            used = add_demands(used, orphans)
        n_allowed = account.n_allowed(step.spec, used)
        return 0 if step.spec.gang and n_allowed < len(step.tasks) else n_allowed

    def within_maximum(self, step, tasks):
        """Return the first of the given tasks, as many as the account's maximum allows.

        The job is planned again when the account's use decreases.
        """
        n_allowed = self.n_allowed(step)
        if n_allowed < len(tasks):
            self.limited_jobs.setdefault(step.job.owner, set()).add(step.job.job_id)
        return tasks[:n_allowed]

    def max_account_use(self):
        """Return the largest share of its maximum that any account's runs occupy."""
        shares = [0.0]
        for account in self.config.accounts or () if self.config is not None else ():
            used = self.usage.used(account.name)
            shares += [
                taken / maximum
                for taken, maximum in zip(used, account.maxima, strict=True)
                if maximum
            ]
        return round(max(shares), 3)

    def is_over_maximum(self, job):
        """Whether an account's runs exceed its maximum, as after it was lowered."""
        account = job.account
        return account is not None and any(
            maximum and used > maximum
            for maximum, used in zip(account.maxima, self.usage.used(account.name), strict=True)
        )

    def _use_of_orphan_runs(self):
        """Return what :attr:`_unlisted_use` holds."""
        used = {}
        for orphan in self._orphan_runs():
            if orphan.step is not None:
                used[orphan.owner] = add_demands(used.get(orphan.owner), demand_of(orphan.step))
            elif self._may_become_known(orphan.item.task):
                used[None] = None
        return used

    def _orphan_runs(self):
        return [
            run
            for worker in self.workers.values()
            if worker.orphan_runs
            for run in worker.orphan_runs.values()
        ]

    def held_by(self, job):
        """Return what a job's runs may occupy that have not ended, as :func:`demand_of`."""
        held = job.held()
        for orphan in self._orphan_runs():
            if orphan.job_id == job.job_id and orphan.step is not None:
                held = add_demands(held, demand_of(orphan.step))
        return tuple(map(max, held, self.usage.bound_of(job.job_id)))
