"""State of a job on the leader: its occurrences, steps and tasks."""

from enum import StrEnum

from ._accounts import add_demands, demand_of
from ._crash_history import CrashHistory
from ._record import JobRecord
from ._run_numbers import RunNumbers

#: Longest time that a long-running task waits behind more urgent jobs. Unit: seconds.
MAX_DOWNTIME_S = 2.0

#: Duration from which a run of a long-running task shows that the task itself works. Unit: seconds.
SOUND_RUN_S = 2.0


class TaskState(StrEnum):
    """State of a task."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"


class JobState(StrEnum):
    """State of a job, as reported to clients."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: Final states of a job.
ENDED_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Task:
    """One task of a step.

    `runs` holds by worker the runs that have not been reported as ended. `avoid` holds the workers
    on which the task failed, stalled or was slow; others are preferred. `failed_runs` holds the
    numbers of the failed runs; the first task of a gang holds those of all its members.
    `n_stalled_runs` counts the runs that were found stalled or slow, `n_number_refusals` the starts
    in a row that were refused by their numbers, see `_run_numbers`. `run_id` is the highest run
    number so far, `started_at` the time at which the first run began.
    """

    __slots__ = (
        "avoid",
        "checkpoint",
        "crash_history",
        "failed_runs",
        "index",
        "n_number_refusals",
        "n_stalled_runs",
        "name",
        "run_id",
        "runs",
        "started_at",
        "state",
        "waiting_since",
    )

    def __init__(self, *, name, index, now):
        self.name = name
        self.index = index
        self.state = TaskState.WAITING
        self.run_id = 0
        self.failed_runs = set()
        self.checkpoint = ""
        self.avoid = set()
        self.crash_history = None
        self.n_stalled_runs = 0
        self.n_number_refusals = 0
        self.runs = {}
        self.waiting_since = now
        self.started_at = None


class StepRun:
    """One step of one occurrence of a job.

    `key` is the step's name, ``JOB.OCCURRENCE.STEP``. `ready_at` is the time at which the preceding
    steps were done, None before. `durations` holds the durations in seconds of completed runs that
    this leader started without a checkpoint, see `_stalled_runs`, `run_times` those durations with
    their workers, until the step is done, see `_worker_speeds`; `is_speed_noted` means
    that they were learnt from already. `wait_noted_at` is the time of
    the last :class:`NoteWait`. `tickets` holds by worker the advice service's permission to run the
    step there and its expiry, `refused` the workers that the advice service has refused. `copies`
    lists the tasks that need a second run beside a stalled or slow one. `advice_needed_since` is
    the time since which the step has waited for its last advice request. `is_counted` means that
    its demand has been learnt, see `anvilflow.places`. `limited_retry_at` is the time before which
    the step makes no request while its account has reached its maximum. `failed_on` are the ids of
    the workers on which long-running tasks of the step have failed since one ran for
    :data:`SOUND_RUN_S`.
    """

    __slots__ = (
        "advice_needed_since",
        "copies",
        "durations",
        "failed_on",
        "is_counted",
        "is_speed_noted",
        "job",
        "key",
        "limited_retry_at",
        "n_done",
        "number",
        "occurrence",
        "ready_at",
        "refused",
        "run_times",
        "spec",
        "tasks",
        "tickets",
        "wait_noted_at",
    )

    def __init__(self, *, job, occurrence, number, spec, now):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.key = f"{job.spec.job_id}.{occurrence}.{number}"
        self.tasks = [
            Task(name=f"{self.key}.{index}", index=index, now=now) for index in range(spec.n_tasks)
        ]
        self.n_done = 0
        self.ready_at = None
        self.wait_noted_at = 0.0
        self.tickets = {}
        self.advice_needed_since = now
        self.limited_retry_at = 0.0
        self.copies = []
        self.durations = []
        self.run_times = []
        self.is_speed_noted = False
        self.is_counted = False
        self.refused = set()
        self.failed_on = set()

    @property
    def is_done(self):
        """Whether all tasks are done; long-running tasks never are."""
        return self.n_done == len(self.tasks)

    @property
    def may_request_advice_early(self):
        """Whether advice may be requested while the preceding steps are still running."""
        return self.ready_at is None and self.job.queue.advice is not None

    def slack_s(self, now):
        """Return how long a waiting task may wait without the job being late. Unit: seconds.

        Negative if the job is late already by the estimates of this and the following steps.
        """
        steps = self.job.spec.steps
        rest_s = [0.0] * len(steps)
        for number in range(len(steps) - 1, self.number - 1, -1):
            rest_s[number] += steps[number].estimate_s
            for earlier in steps[number].after:
                rest_s[earlier] = max(rest_s[earlier], rest_s[number])
        return self.job.due_by - now - rest_s[self.number]

    def waiting(self):
        """Return the tasks that are waiting for a run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    def n_tasks_on(self, worker_id):
        """Return the number of the step's tasks that have a run on a worker."""
        return sum(worker_id in task.runs for task in self.tasks)


class JobRun:
    """A job that has not ended, or whose end is not durable yet.

    Parameters
    ----------
    spec : JobSpec
    queue : Queue
    version : int
        Version of the job's row. The end of the job is written on condition that the row still has
        this version.
    now, wall_now : float
        Steady time and time of day. Unit: seconds.
    record : JobRecord, default=None
        Progress that an earlier leader made durable.
    inherited : bool, default=False
        Whether an earlier leader may have started tasks of the job.
    account : ClientAccount, default=None
        ClientAccount that submitted the job.
    term : int, default=1
        Number of leaders so far, including this one.

    Notes
    -----
    `change` counts the changes of the job's progress, `recorded_change` is its value at the latest
    durable one, and `changed_at` the time since which a change waits to be recorded. `begun` means
    that a task has begun, `is_idle` that plans leave the job out, `is_changed` that the job has
    changed since its last plan. `due_by` is the target completion time. `run_numbers` are those
    that this leader may use. `steps` holds each :class:`StepRun` by its occurrence and number,
    `standing` what `anvilflow.shares` keeps.
    """

    __slots__ = (
        "accepted_at",
        "account",
        "begun",
        "change",
        "changed_at",
        "due_by",
        "inherited",
        "is_changed",
        "is_idle",
        "is_long_running",
        "next_occurrence",
        "queue",
        "recorded_change",
        "run_numbers",
        "spec",
        "standing",
        "starts_delayed_until",
        "state",
        "steps",
        "version",
    )

    def __init__(
        self,
        *,
        spec,
        queue,
        version,
        now,
        wall_now,
        record=None,
        inherited=False,
        account=None,
        term=1,
    ):
        self.spec = spec
        self.queue = queue
        self.account = account
        self.version = version
        self.accepted_at = now
        self.starts_delayed_until = 0.0
        self.standing = None
        self.inherited = inherited
        self.run_numbers = RunNumbers(
            term=term,
            is_inherited=inherited,
            reserved=record.max_run_id if record is not None else 0,
            reserved_term=record.max_run_id_term if record is not None else 0,
        )
        self.is_long_running = any(step.long_running for step in spec.steps)
        self.is_idle = False
        self.is_changed = True
        self.state = JobState.QUEUED
        self.begun = False
        self.steps = {}
        self.next_occurrence = 0
        self.change = 0
        self.recorded_change = 0
        self.changed_at = None
        self.due_by = now + queue.stretch * longest_chain_s(spec.steps) + queue.target_latency_s
        self.open_occurrences(now, wall_now)
        if record is not None:
            self._restore(record, wall_now)

    @property
    def is_ended(self):
        """Whether the job has its final state."""
        return self.state in ENDED_STATES

    @property
    def job_id(self):
        """Identifier under which clients refer to the job."""
        return self.spec.job_id

    @property
    def owner(self):
        """Name of the job's account; empty: none."""
        return self.account.name if self.account is not None else ""

    def urgency(self, now):
        """Return the sort key of the job in a plan: its priority, then its target completion time.

        A job with a long-running task that has had no run for more than :data:`MAX_DOWNTIME_S` is
        planned before all others. Otherwise, its users would get no service for as long as a burst
        of more urgent jobs lasts.
        """
        is_overdue = self.is_long_running and self._downtime_s(now) > MAX_DOWNTIME_S
        return (float("-inf") if is_overdue else self.queue.priority, self.due_by)

    def _downtime_s(self, now):
        """Return the longest time that a task of a ready step has had no run. Unit: seconds."""
        waiting_since = [
            task.waiting_since
            for step in self.steps.values()
            if step.ready_at is not None
            for task in step.waiting()
        ]
        return now - min(waiting_since, default=now)

    def wake(self):
        """Mark the job as changed, so that the next plan includes it."""
        self.is_idle = False
        self.is_changed = True

    def suspend_if_idle(self):
        """Leave the job out of plans until its next change, if none of its tasks is waiting.

        Most jobs in a cell have only running tasks. A check of each of these tasks after every
        event took 6.9 ms on a leader with 950 workers and 14,000 tasks.
        """
        self.is_idle = not any(
            step.copies
            or step.may_request_advice_early
            or (step.ready_at is not None and step.waiting())
            for step in self.steps.values()
            if not step.is_done
        )

    def open_occurrences(self, now, wall_now):
        """Create the steps of all occurrences that are due; return whether any were created."""
        n_due = 1
        if self.spec.n_occurrences:
            since = wall_now - self.spec.first_at
            n_due = 0 if since < 0 else 1 + int(since // max(self.spec.interval_s, 1e-3))
            n_due = min(n_due, self.spec.n_occurrences)
        opened = False
        while self.next_occurrence < n_due:
            occurrence = self.next_occurrence
            self.next_occurrence += 1
            opened = True
            for number, step in enumerate(self.spec.steps):
                self.steps[occurrence, number] = StepRun(
                    job=self, occurrence=occurrence, number=number, spec=step, now=now
                )
        if opened:
            self.mark_ready(now)
        return opened

    def is_of_future_occurrence(self, name):
        """Whether a task belongs to an occurrence that is not due yet by this leader's clock.

        The clocks of instances differ, so that a former leader may have begun the occurrence.
        """
        try:
            _, occurrence, _, _ = name.split(".")
            return self.next_occurrence <= int(occurrence) < self.spec.n_occurrences
        except ValueError:
            return False

    def mark_ready(self, now):
        """Mark the steps whose preceding steps are all done as ready since `now`."""
        self.wake()
        for (occurrence, _), step in self.steps.items():
            if step.ready_at is None and all(
                self.steps[occurrence, earlier].is_done for earlier in step.spec.after
            ):
                step.ready_at = now
                for task in step.tasks:
                    task.waiting_since = now

    @property
    def is_done(self):
        """Whether every task of every occurrence is done."""
        all_opened = self.next_occurrence >= max(1, self.spec.n_occurrences)
        return all_opened and all(step.is_done for step in self.steps.values())

    def task_named(self, name):
        """Return the step and the task called ``JOB.OCCURRENCE.STEP.INDEX``, or (None, None)."""
        try:
            _, occurrence, number, index = name.split(".")
            step = self.steps[int(occurrence), int(number)]
            return step, step.tasks[int(index)]
        except (ValueError, KeyError, IndexError):
            return None, None

    def touch(self, now):
        """Note a change of the job's progress that must become durable."""
        self.change += 1
        if self.changed_at is None:
            self.changed_at = now

    def note_run_id(self, run_id, now):
        """Note that a task has had a run number, or skips those up to it."""
        self.run_numbers.note_used(run_id)
        self.reserve_run_numbers(now)

    def reserve_run_numbers(self, now):
        """Reserve further run numbers with the job's next record if few are left."""
        if self.run_numbers.needs_reservation and not self.is_ended:
            self.touch(now)
            self.run_numbers.reserve(self.change)

    def held(self):
        """Return what the job's runs occupy that have not ended, as :func:`demand_of`."""
        held = (0, 0, 0)
        for step in self.steps.values():
            for task in step.tasks:
                for run in task.runs.values():
                    held = add_demands(held, demand_of(run.step))
        return held

    def finish(self, state, now):
        """Set the job's final state."""
        self.state = state
        self.touch(now)

    # Durable progress

    def to_record(self):
        """Return the job's durable progress, to be written to the store."""
        record = JobRecord(
            begun=self.begun,
            done_steps=[],
            done_tasks={},
            failures={},
            checkpoints={},
            lost_runs={},
            max_run_id=self.run_numbers.reserved,
            max_run_id_term=self.run_numbers.reserved_term,
        )
        for (occurrence, number), step in self.steps.items():
            key = f"{occurrence}.{number}"
            if step.is_done:
                record.done_steps.append(key)
                continue
            done = [task.index for task in step.tasks if task.state is TaskState.DONE]
            if done:
                record.done_tasks[key] = done
            for task in step.tasks:
                if task.failed_runs:
                    record.failures[f"{key}.{task.index}"] = sorted(task.failed_runs)
                if task.checkpoint and task.state is not TaskState.DONE:
                    record.checkpoints[f"{key}.{task.index}"] = task.checkpoint
                history = task.crash_history
                if history is not None and history.lost_runs and task.state is not TaskState.DONE:
                    record.lost_runs[f"{key}.{task.index}"] = list(history.lost_runs.values())
        return record

    def _restore(self, record, wall_now):
        self.begun = record.begun
        if record.begun:
            self.state = JobState.RUNNING
        for (occurrence, number), step in self.steps.items():
            key = f"{occurrence}.{number}"
            is_complete = key in record.done_steps
            done = range(len(step.tasks)) if is_complete else record.done_tasks.get(key, ())
            for index in done:
                step.tasks[index].state = TaskState.DONE
            step.n_done = len(done)
            for task in step.tasks:
                name = f"{key}.{task.index}"
                task.failed_runs = set(record.failures.get(name, ()))
                task.checkpoint = record.checkpoints.get(name, "")
                if name in record.lost_runs:
                    task.crash_history = CrashHistory(
                        lost_runs=record.lost_runs[name], now=self.accepted_at
                    )
                    task.crash_history.mark_stale_starts(wall_now)
        for step in self.steps.values():
            step.ready_at = None
        self.mark_ready(self.accepted_at)


def longest_chain_s(steps):
    """Return the estimated duration of the longest chain of dependent steps. Unit: seconds.

    Examples
    --------
    >>> from anvilflow.jobs import StepSpec
    >>> first = StepSpec(n_tasks=2, estimate_s=1.0)
    >>> second = StepSpec(n_tasks=1, estimate_s=0.5, after=(0,))
    >>> longest_chain_s((first, second))
    1.5
    """
    ends = []
    for step in steps:
        began = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(began + step.estimate_s)
    return max(ends, default=0.0)
