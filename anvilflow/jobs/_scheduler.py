"""What happens to jobs; what follows for their tasks is planned in `_placement`."""

from collections import Counter

from ._evacuation import find_leaving_runs
from ._job import JobRun, JobState
from ._placement import plan_starts
from ._policy import SchedulingPolicy
from ._reservations import Reservations
from ._run_tracker import RunTracker
from ._stalled_runs import GIVEN_UP_SLOWNESS, find_stalled_runs, has_copy

#: Least time between two looks at all jobs and runs for what falls due by time alone: occurrences,
#: leases, leaving workers, sick runs. A plan follows each event, hundreds a second on 176 workers,
#: and a look goes through 14,000 runs at the target. Unit: seconds.
PERIODIC_CHECK_INTERVAL_S = 0.1


class Scheduler(RunTracker):
    """The jobs and workers of a cell, as the leader sees them.

    Inputs are methods that take what happened and the time; outputs are lists of actions. Nothing
    here reads a clock or a socket.

    Parameters
    ----------
    term : int
        How many leaders there were, this one included.
    lease_s, stop_s : float
        Length of the leases that are sent, and the longest time that a stop takes. Unit: seconds.
    now : float
        When this leader took over. Unit: seconds.
    n_advice_callers : int, default=1
        Advice calls that may be under way at once.
    grace_period : GracePeriod, default=None
        What is left of earlier leaders; None: what only the term tells.
    policy : SchedulingPolicy, default=None
        What it prefers; None: the defaults.

    Notes
    -----
    Starts are not recorded. A new leader learns from each worker what runs there before it starts
    anything on it, and the worker refuses the former leader from then on. What no worker lists may
    still run on one that has not answered yet: a task that an earlier leader may have started waits
    until all have answered, or until the grace period is over, see `_grace_period`.
    """

    def __init__(
        self, *, term, lease_s, now, stop_s=0.9, n_advice_callers=1, grace_period=None, policy=None
    ):
        super().__init__(
            term=term, lease_s=lease_s, stop_s=stop_s, now=now, grace_period=grace_period
        )
        self.n_advice_callers = n_advice_callers
        self.policy = policy or SchedulingPolicy()
        self.reservations = Reservations(self.policy)
        self.config = None
        self._last_periodic_check_at = now - PERIODIC_CHECK_INTERVAL_S
        self.starts_deferred_since = None
        self._jobs_known_at = float("-inf")

    # Configuration and jobs

    def configure(self, config):
        """Take a newer configuration."""
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        for job in self.jobs.values():
            job.queue = config.queue_named(job.queue.name) or job.queue
            job.wake()

    def add_job(self, spec, queue, *, version, now, wall_now, record=None, config_version=0):
        """Take on an accepted job; return False when it is known already."""
        if self.has_job(spec.job_id):
            return False
        self.jobs[spec.job_id] = JobRun(
            spec=spec,
            queue=self._newer_queue(queue, config_version),
            version=version,
            now=now,
            wall_now=wall_now,
            record=record,
            inherited=self.grace_period.may_have_begun(version),
        )
        # Nothing of the job runs here yet, so that its ends cannot have anything stopped.
        self._take_up(self.jobs[spec.job_id], now)
        self.restore_suspects(self.jobs[spec.job_id])
        return True

    def _newer_queue(self, queue, config_version):
        """Return a job's queue by the newer of two configurations: this leader's and its entry's.

        An operator moved a queue to another service. A leader that had not heard of it yet sent
        jobs that came after the change, by an entry that had, to workers of the former one.
        """
        if self.config is None or self.config.version < config_version:
            return queue
        return self.config.queue_named(queue.name) or queue

    def jobs_read(self, requested_at):
        """Note that all jobs are known which were accepted before `requested_at`. Unit: seconds."""
        self._jobs_known_at = requested_at

    def cancel_job(self, job_id, now):
        """Cancel a job; return the stops of its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.is_ended:
            return []
        return self._finish(job, JobState.CANCELLED, now)

    def drop_job(self, job_id, state, now):
        """Drop a job whose end somebody else made durable; return the stops of its runs."""
        job = self.jobs.pop(job_id, None)
        self._note_end(job_id, state)
        if job is None:
            return []
        return self._stop_all(job, now, "cancelled")

    def _finish(self, job, state, now):
        job.finish(state, now)
        # Of a completed job only copies still run, which `_task_done` has stopped, and members of a
        # gang whose own ends are on their way.
        return [] if state is JobState.COMPLETED else self._stop_all(job, now, str(state))

    def _stop_all(self, job, now, why):
        actions = []
        for step in job.steps.values():
            self.asking.pop(step.key, None)
            for task in step.tasks:
                for run in list(task.runs.values()):
                    actions += self._stop(run, now, why)
        return actions

    def _note_end(self, job_id, state):
        self.ended[job_id] = state

    def drop_ended_job(self, job_id):
        """Forget an ended job whose rows are gone, so that it cannot be read again."""
        self.ended.pop(job_id, None)

    def state_of(self, job_id):
        """Return the job's state as far as it is durable, or None when it is not known here."""
        job = self.jobs.get(job_id)
        if job is None:
            return self.ended.get(job_id)
        if job.is_ended:
            return JobState.RUNNING
        return job.state

    def n_waiting(self):
        """Count the jobs of which nothing has begun, by the name of their queue."""
        return Counter(
            job.queue.name for job in self.jobs.values() if not job.begun and not job.is_ended
        )

    # Records

    def dirty_jobs(self):
        """Return the jobs whose progress is not durable yet, the oldest change first."""
        dirty = [job for job in self.jobs.values() if job.change > job.recorded_change]
        return sorted(dirty, key=lambda job: job.changed_at)

    def recorded(self, job_id, change, now):
        """Note that a job's progress is durable up to `change`; return whether its end is."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.recorded_change = max(job.recorded_change, change)
        job.changed_at = None if job.recorded_change == job.change else now
        if not job.is_ended or job.recorded_change < job.change:
            return False
        del self.jobs[job_id]
        self._note_end(job_id, job.state)
        return True

    def acknowledged(self, worker):
        """Return the number up to which the worker may forget ends, all of them durable."""
        queue = worker.ack_queue
        while queue and self._may_be_acknowledged(queue[0]):
            queue.pop(0)
        return queue[0].end.number - 1 if queue else worker.last_ended

    def _may_be_acknowledged(self, pending):
        """Whether an end is durable, or of a job that certainly does not exist any more.

        A job may have been accepted while leaders changed, and its task be done before this leader
        hears of it. Its row was written before the task began, so that a reading of the jobs that
        was begun after the end was told shows it.
        """
        job = self.jobs.get(pending.job_id)
        if job is None:
            is_known = pending.change is not None or pending.job_id in self.ended
            return is_known or self._jobs_known_at >= pending.told_at
        if pending.change is not None:
            return job.recorded_change >= pending.change
        if job.is_ended:
            return job.recorded_change >= job.change
        return not job.is_of_future_occurrence(pending.end.task)

    # Plans

    def plan(self, now, wall_now, *, n_wanted=None):
        """Return the starts, stops and asks that are due now.

        Parameters
        ----------
        now, wall_now : float
            Steady time and time of day. Unit: seconds.
        n_wanted : int, default=None
            Starts after which no more are decided; None: no limit.
        """
        actions = []
        self.wall_offset_s = wall_now - now
        if now >= self._last_periodic_check_at + PERIODIC_CHECK_INTERVAL_S:
            self._last_periodic_check_at = now
            actions = self._run_periodic_checks(now, wall_now)
        actions += self.take_recorded_starts(now)
        return actions + self.hold_unrecorded_starts(plan_starts(self, now, n_wanted), now)

    def _run_periodic_checks(self, now, wall_now):
        """See what falls due by time alone, on any worker and for any job."""
        actions = []
        for job in self.jobs.values():
            is_timed = job.spec.n_occurrences and not job.is_ended
            if is_timed and job.open_occurrences(now, wall_now):
                actions += self._take_up(job, now)
        self.lost_leases(now)
        actions += self.review_suspects(now)
        return actions + self._evacuate_runs(now) + self._stop_stalled_runs(now)

    def _evacuate_runs(self, now):
        actions = []
        for run in find_leaving_runs(self, now):
            actions += self._stop(run, now, "worker leaves")
        return actions

    def _stop_stalled_runs(self, now):
        """Stop runs that stand still or crawl, and keep new work off their workers for a while.

        What may have copies keeps the first run: the plan starts a second beside it.
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
                self._worker_did_badly(run.worker, now)
            else:
                run.worker.slowness = max(run.worker.slowness, GIVEN_UP_SLOWNESS)
            if self.policy.copies and step.spec.speculative and not has_copy(task):
                step.copies.append(task)
                step.job.wake()
            else:
                actions += self._stop(run, now, why)
        return actions

    def note_starts_deferred(self, now):
        """Note that a plan left tasks waiting since no more starts are wanted now."""
        if self.starts_deferred_since is None:
            self.starts_deferred_since = now

    def starts_deferred_s(self, now):
        """Return for how long each plan has left tasks waiting so. Unit: seconds."""
        return 0.0 if self.starts_deferred_since is None else now - self.starts_deferred_since

    def n_tasks_ahead(self):
        """Count the tasks that could start and come before those of a new job, by priority."""
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
        """Stop a run for a more urgent task; it resumes from its checkpoint."""
        return self._stop(run, now, "preempted")

    def reserve_share(self, step):
        """Return the share of a worker that a step's tasks leave free for more urgent ones."""
        if self.config is None or step.spec.fills:
            return 0.0
        queue = step.job.queue
        return self.policy.reserve_share if self.config.has_more_urgent(queue) else 0.0

    def may_start(self, job, now):
        """Whether no earlier leader can have a run of the job that nobody has listed yet.

        Nor may one whose tasks could not be started for want of their payload.
        """
        if now < job.starts_delayed_until:
            return False
        if not job.inherited or self.grace_period.is_over(now):
            return True
        return self.grace_period.knows_all and all(
            worker.confirmed or worker.runs_known for worker in self.workers.values()
        )
