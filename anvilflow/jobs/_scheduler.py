"""The scheduler of a cell: its jobs, their durable progress, and the plans for their tasks.

Tasks are assigned to workers in `_placement`.
"""

from collections import Counter

from ..admission import RunTimes
from ..shares import ShareOrder
from ._account_tracker import AccountTracker
from ._accounts import may_access
from ._actions import NoteUnusableWeight
from ._early_speeds import note_early_speeds
from ._evacuation import find_leaving_runs
from ._job import JobRun, JobState
from ._placement import plan_starts
from ._policy import SchedulingPolicy
from ._reservations import Reservations
from ._stalled_runs import SLOW_RUN_SLOWNESS, find_stalled_runs, has_copy, note_slow_run

#: Minimum time between two checks of all jobs and runs for what becomes due by time alone:
#: occurrences, lapsed leases, leaving workers, stalled and slow runs. A plan is made after each
#: event, hundreds a second with 176 workers, and a check covers 14,000 runs at the intended cell
#: size. Unit: seconds.
PERIODIC_CHECK_INTERVAL_S = 0.1


class Scheduler(AccountTracker):
    """Scheduling state and decisions of a cell, held by its leader.

    Each method takes an event and its time, and returns a list of actions for the leader to carry
    out. The scheduler itself reads no clock and no socket.

    Parameters
    ----------
    term : int
        Number of leaders so far, including this one.
    lease_s, stop_s : float
        Duration of the leases sent to workers, and the longest time that a stop takes. Unit:
        seconds.
    now : float
        Steady time at which this leader took over. Unit: seconds.
    n_advice_callers : int, default=1
        Number of instances that can make advice requests.
    grace_period : GracePeriod, default=None
        Tracks when the commands and leases of earlier leaders have expired. None: derived from the
        term alone.
    policy : SchedulingPolicy, default=None
        Scheduling policy; None: the defaults.
    **values
        As for :class:`CompletionTracker`.

    Notes
    -----
    Starts are not written to the store. A new leader first obtains from each worker the list of its
    runs, and the worker refuses commands of the former leader from then on. A run that no worker
    has listed may still be active on a worker that has not responded yet. Therefore, a task that an
    earlier leader may have started waits until all workers have responded, or until the grace
    period is over, see `_grace_period`.
    """

    def __init__(
        self, *, term, lease_s, now, stop_s=0.9, n_advice_callers=1, policy=None, **values
    ):
        super().__init__(term=term, lease_s=lease_s, stop_s=stop_s, now=now, **values)
        self.n_advice_callers = n_advice_callers
        self.policy = policy or SchedulingPolicy()
        self.reservations = Reservations(self.policy)
        self.shares = ShareOrder(is_on=self.policy.shares == "on")
        self.config = None
        self.run_times = RunTimes()
        self._last_periodic_check_at = now - PERIODIC_CHECK_INTERVAL_S
        self.starts_deferred_since = None
        self._jobs_known_at = float("-inf")

    # Configuration and jobs

    def configure(self, config):
        """Apply a configuration if it is newer than the current one."""
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        for job in self.jobs.values():
            job.queue = config.queue_named(job.queue.name) or job.queue
            if job.account is not None:
                job.account = config.account_named(job.account.name) or job.account
            job.wake()
        self.limited_jobs.clear()

    def add_job(
        self, spec, queue, *, version, now, wall_now, record=None, config_version=0, account=None
    ):
        """Add an accepted job; return False if the job is already present."""
        if self.has_job(spec.job_id):
            return False
        job = self.jobs[spec.job_id] = JobRun(
            spec=spec,
            queue=self._newer_queue(queue, config_version),
            account=self._newer_account(account, config_version),
            version=version,
            now=now,
            wall_now=wall_now,
            record=record,
            inherited=self.grace_period.may_have_begun(version),
            term=self.term,
        )
        self.shares.note_accepted(job, now)
        self._bound_inherited_job(job, now)
        job.reserve_run_numbers(now)
        # The job has no runs here yet, so that the ends reported early cannot cause any stops.
        self._apply_early_reports(job, now)
        self.restore_suspects(job)
        if job.is_done:
            # An earlier leader has recorded the ends of all tasks, but not the job's completion.
            self.uncompleted_jobs.add(job.job_id)
        return True

    def _newer_queue(self, queue, config_version):
        """Return the job's queue by the newer configuration: the leader's or the gateway's.

        When an operator moves a queue to another service, a gateway may receive the change before
        the leader. The leader's older configuration would send jobs accepted by that gateway to
        workers of the former service.
        """
        if self.config is None or self.config.version < config_version:
            return queue
        return self.config.queue_named(queue.name) or queue

    def _newer_account(self, account, config_version):
        """Return the job's account by the newer configuration, as for its queue.

        An account that the configuration does not name any more keeps the values that it had when
        the job was accepted.
        """
        if account is None or self.config is None or self.config.version < config_version:
            return account
        return self.config.account_named(account.name) or account

    def jobs_read(self, requested_at):
        """Note that all jobs accepted before `requested_at` have been read. Unit: seconds."""
        self._jobs_known_at = requested_at

    def cancel_job(self, job_id, now):
        """Cancel a job; return the actions that stop its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.is_ended:
            return []
        return self._finish(job, JobState.CANCELLED, now)

    def drop_job(self, job_id, state, now, *, owner=""):
        """Drop a job whose end another instance made durable; return the stops of its runs."""
        job = self.jobs.pop(job_id, None)
        self._note_end(job_id, state, owner)
        if job is None:
            return []
        return self._stop_all(job, now, "cancelled")

    def _finish(self, job, state, now):
        job.finish(state, now)
        self.usage.job_ended(job.job_id)
        # A completed job has no other runs than copies, which `_task_done` has stopped already, and
        # gang members whose ends are not reported yet.
        return [] if state is JobState.COMPLETED else self._stop_all(job, now, str(state))

    def _stop_all(self, job, now, why):
        actions = []
        for step in job.steps.values():
            self.advice_in_flight.pop(step.key, None)
            for task in step.tasks:
                for run in list(task.runs.values()):
                    actions += self._stop(run, now, why)
        return actions

    def _note_end(self, job_id, state, owner):
        self.ended[job_id] = state
        if owner:
            self.ended_owners[job_id] = owner

    def drop_ended_job(self, job_id):
        """Drop an ended job whose rows are deleted, so that the job cannot be read again."""
        self.ended.pop(job_id, None)
        self.ended_owners.pop(job_id, None)

    def may_access(self, job_id, caller):
        """Whether a calling account may know of a job and cancel it; see :func:`may_access`."""
        job = self.jobs.get(job_id)
        owner = self.ended_owners.get(job_id, "") if job is None else job.owner
        return may_access(owner, caller)

    def state_of(self, job_id):
        """Return the job's durable state, or None for an unknown job."""
        job = self.jobs.get(job_id)
        if job is None:
            return self.ended.get(job_id)
        if job.is_ended:
            return JobState.RUNNING
        return job.state

    def n_waiting(self):
        """Return the number of jobs of which no task has begun, by the name of the queue."""
        return Counter(
            job.queue.name for job in self.jobs.values() if not job.begun and not job.is_ended
        )

    # Records

    def dirty_jobs(self):
        """Return the jobs with progress that is not durable yet, the oldest change first."""
        dirty = [job for job in self.jobs.values() if job.change > job.recorded_change]
        return sorted(dirty, key=lambda job: job.changed_at)

    def change_of(self, task):
        """Return the number of the last change of a task's job; None if the job is not known."""
        job = self.jobs.get(task.split(".", 1)[0])
        return job.change if job is not None else None

    def recorded(self, job_id, change, now):
        """Note that a job's progress is durable up to `change`; return whether its end is, too."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.recorded_change = max(job.recorded_change, change)
        job.changed_at = None if job.recorded_change == job.change else now
        if job.run_numbers.recorded(change):
            job.wake()
        if not job.is_ended or job.recorded_change < job.change:
            return False
        del self.jobs[job_id]
        self._note_end(job_id, job.state, job.owner)
        return True

    def acknowledged(self, worker):
        """Return the number of the last end that the worker may drop.

        All ends up to that number are durable, or their jobs no longer exist, and none of their
        tasks can run again.
        """
        queue = worker.ack_queue
        while queue and self._may_be_acknowledged(queue[0]):
            queue.pop(0)
        return queue[0].end.number - 1 if queue else worker.last_ended

    def is_recorded(self, pending):
        """Whether the store has the change of a job by an end, or the job's end."""
        if pending.job_id in self.ended:
            return True
        job = self.jobs.get(pending.job_id)
        if pending.change is None:
            return False
        return job is None or job.recorded_change >= pending.change

    def _may_be_acknowledged(self, pending):
        """Whether an end is durable, or belongs to a job that certainly does not exist any more.

        A job may have been accepted during a change of leaders, and one of its tasks may end before
        this leader has read the job. The job's row was written before the task began. Therefore, a
        read of all jobs that began after the end was reported includes the job.
        """
        if not self.may_acknowledge(pending.end):
            return False
        job = self.jobs.get(pending.job_id)
        if job is None:
            is_known = pending.change is not None or pending.job_id in self.ended
            return is_known or self._jobs_known_at >= pending.received_at
        if pending.change is not None:
            return job.recorded_change >= pending.change
        if job.is_ended:
            return job.recorded_change >= job.change
        return not job.is_of_future_occurrence(pending.end.task)

    # Plans

    def urgency(self, job, now):
        """Return the sort key of a job among all waiting jobs: the most urgent one is the least."""
        urgency = job.urgency(now)
        if self.policy.shares != "on":
            return urgency
        return (urgency[0], *self.shares.rank(job, now))

    def rank_of(self, job, now):
        """Return a job's place within its priority, as text; empty: by its target time alone."""
        return self.shares.describe(job, now) if self.policy.shares == "on" else ""

    def _review_shares(self, now):
        """Bring the order of the waiting jobs up to date before a plan."""
        is_on = self.policy.shares == "on"
        if self.shares.is_on != is_on:
            self.shares = ShareOrder(is_on=is_on)
            for job in self.jobs.values():
                self.shares.note_present(job)
        if not is_on:
            return []
        self.shares.review(self.jobs.values(), now)
        return [
            NoteUnusableWeight(account=each.account, weight=repr(each.weight), used=each.used)
            for each in self.shares.ledger.take_unusable_weights()
        ]

    def plan(self, now, wall_now, *, n_wanted=None):
        """Return the starts, stops and advice requests that are due now.

        Parameters
        ----------
        now, wall_now : float
            Steady time and time of day. Unit: seconds.
        n_wanted : int, default=None
            Number of starts after which the plan leaves further tasks waiting; None: no limit.
        """
        actions = self.complete_jobs(now)
        self.wall_offset_s = wall_now - now
        if now >= self._last_periodic_check_at + PERIODIC_CHECK_INTERVAL_S:
            self._last_periodic_check_at = now
            actions += self._run_periodic_checks(now, wall_now)
        self._update_use(now)
        actions += self._review_shares(now)
        actions += self.take_recorded_starts(now)
        return actions + self.hold_unrecorded_starts(plan_starts(self, now, n_wanted), now)

    def _run_periodic_checks(self, now, wall_now):
        """Return the actions that become due by time alone, for all jobs and workers."""
        actions = []
        for job in self.jobs.values():
            is_timed = job.spec.n_occurrences and not job.is_ended
            if is_timed and job.open_occurrences(now, wall_now):
                actions += self._apply_early_reports(job, now)
        self.drop_lapsed_runs(now)
        note_early_speeds(self, now)
        self.speeds.refresh(now)
        actions += self.review_suspects(now)
        return actions + self._evacuate_runs(now) + self._stop_stalled_runs(now)

    def _evacuate_runs(self, now):
        actions = []
        for run in find_leaving_runs(self, now):
            actions += self._stop(run, now, "worker leaves")
        return actions

    def _stop_stalled_runs(self, now):
        """Return the stops of stalled and slow runs; keep new work off their workers for a while.

        Where the step allows copies and the task has none yet, the run goes on, and the next plan
        starts a copy beside it.
        """
        actions = []
        stalled = find_stalled_runs(self, now) if self.policy.judges_runs else []
        stalled_runs = {id(run) for run, _ in stalled}
        for run, why in stalled:
            step, task = self.find_task(run.task)
            if step.job.is_ended or any(
                id(other) not in stalled_runs for other in task.runs.values()
            ):
                continue
            task.avoid.add(run.worker.info.worker_id)
            task.n_stalled_runs += 1
            if why == "stands still":
                self._note_worker_failure(run.worker, now)
            elif why == "slow":
                run.worker.slowness = max(run.worker.slowness, SLOW_RUN_SLOWNESS)
                note_slow_run(self, run, step)
            if self.policy.copies and step.spec.speculative and not has_copy(task):
                step.copies.append(task)
                step.job.wake()
            else:
                actions += self._stop(run, now, why)
        return actions

    def note_starts_deferred(self, now):
        """Note that a plan left tasks waiting because of its limit on the number of starts."""
        if self.starts_deferred_since is None:
            self.starts_deferred_since = now

    def starts_deferred_s(self, now):
        """Return for how long plans have deferred starts; 0 if the last did not. Unit: seconds."""
        return 0.0 if self.starts_deferred_since is None else now - self.starts_deferred_since

    def n_tasks_ahead(self):
        """Return the number of tasks that would start before those of a new job, by its priority.

        These are the waiting tasks of this and all more urgent priorities.
        """
        counts = Counter()
        for job in self.jobs.values():
            if job.is_idle or job.is_ended:
                continue
            counts[job.queue.priority] += sum(
                len(step.waiting()) for step in job.steps.values() if step.ready_at is not None
            )
        n_ahead = 0
        for priority in sorted(counts):
            n_ahead += counts[priority]
            counts[priority] = n_ahead
        return counts

    def preempt(self, run, now):
        """Stop a run for a more urgent task; the run's task later resumes from its checkpoint."""
        self.places.note_preempted(run.worker)
        return self._stop(run, now, "preempted")

    def reserve_share(self, step):
        """Return the share of a worker's processor that a step must leave to more urgent tasks."""
        if self.config is None or step.spec.fills:
            return 0.0
        queue = step.job.queue
        if self.places.is_learnt(queue.service):
            return 0.0
        return self.policy.reserve_share if self.config.has_more_urgent(queue) else 0.0

    def update_places(self, now):
        """Choose anew the places for urgent tasks, if they are used and it is time."""
        self.places.update(
            self.workers.values(),
            now,
            is_on=self.policy.places == "on",
            max_share=self.policy.reserve_share,
            max_stop_s=self.stop_s,
            may_preempt=self.policy.preempt_s is not None,
            allowed_share=self._share_allowed_to_urgent,
        )

    def _share_allowed_to_urgent(self, service):
        """Return the least share of a service's workers on which its urgent steps may run."""
        queues = self.config.most_urgent_queues(service) if self.config is not None else ()
        return min(
            (self.allowed_shares.of(queue.name) for queue in queues if queue.advice is not None),
            default=1.0,
        )

    def note_step_ready(self, step):
        """Count the demand of a step that became ready, once.

        The steps of jobs that an earlier leader took on become ready all at once: they are no
        sample of what arrives in that time.
        """
        if step.is_counted or not self.places.is_on:
            return
        step.is_counted = True
        if self.config is not None and not step.job.inherited:
            self.places.note_step(step, is_urgent=not self.config.has_more_urgent(step.job.queue))

    def may_start(self, job, now):
        """Whether tasks of the job may be started now.

        Returns False while an earlier leader may have started a run of the job that no worker has
        listed yet, while starts are delayed because the payload is missing from the store, and
        while no run numbers are reserved.
        """
        if now < job.starts_delayed_until or not job.run_numbers.may_use_next:
            return False
        return not job.inherited or self.are_all_runs_known(now)
