"""Decisions of the coordinator of a customer's jobs: place, start, retry and end tasks.

Each attempt of a task needs a hold before it starts: a place on a worker, reserved for this one
attempt. The coordinator requests the hold from an owner, an instance that schedules some of the
workers. Once the hold is granted and the intent to run the attempt there is recorded, the attempt
starts.
"""

from collections import deque
from enum import StrEnum

from msgspec import Struct

from ..resources import Amounts, JobPhase
from ._messages import Hold, RefuseReason

#: Wait before a hold is requested again after a refusal: the base is doubled with each refusal of
#: the task, the first one included. Unit: seconds.
_BACKOFF_BASE_S = 0.1
_MAX_BACKOFF_S = 5.0

#: Time without an answer after which a hold request is given up. Unit: multiples of `hold_s`.
_ASK_TIMEOUT_FACTOR = 2

#: Largest factor by which the time that a gang has to collect its holds grows over its tries.
_MAX_COLLECT_FACTOR = 16


class TaskState(StrEnum):
    """State of one attempt of a task."""

    PENDING = "pending"
    ASKED = "asked"
    HELD = "held"
    RECORDING = "recording"
    STARTED = "started"
    ENDING = "ending"
    ENDED = "ended"


class AskHold(Struct, kw_only=True):
    """Request a hold from an owner; with `again`, renew it at the owner that has it."""

    hold: Hold
    workload: str
    again: bool = False


class ReleaseHold(Struct, kw_only=True):
    """Release a hold."""

    hold_id: str


class RecordIntent(Struct, kw_only=True):
    """Record on which worker each of the attempts will run, before any of them starts."""

    customer: str
    job: str
    tasks: list  # of _Task


class StartTask(Struct, kw_only=True):
    """Start an attempt whose hold is granted and whose intent is recorded."""

    hold_id: str
    workload: str
    payload: str


class StopTask(Struct, kw_only=True):
    """Stop an attempt; one that has not started yet must not start later."""

    hold_id: str
    worker: str


class RecordEnd(Struct, kw_only=True):
    """Record how a task ended."""

    customer: str
    job: str
    index: int
    attempt: int
    hold_id: str
    ok: bool
    result: str


class AckTask(Struct, kw_only=True):
    """Acknowledge an ended attempt whose end needs no record, so that the worker can discard it."""

    hold_id: str


class RecordPhase(Struct, kw_only=True):
    """Record a new phase of the job: running or ended."""

    customer: str
    job: str
    phase: JobPhase
    n_done: int
    n_failed: int
    reason: str


class _Task:
    """One task and its current attempt."""

    __slots__ = ("asked_at", "attempt", "index", "n_refused", "not_before", "state", "worker")

    def __init__(self, *, index):
        self.index = index
        self.attempt = 1
        self.state = TaskState.PENDING
        self.worker = ""
        self.asked_at = 0.0
        self.not_before = 0.0
        self.n_refused = 0


class _JobRun:
    """Progress of one job."""

    __slots__ = (
        "age",
        "collect_factor",
        "collect_since",
        "ending",
        "gang",
        "job",
        "last_refusal",
        "max_attempts",
        "n_done",
        "n_failed",
        "needs",
        "pending",
        "phase",
        "tasks",
        "weight",
    )

    def __init__(self, *, job, age, needs, gang, max_attempts, weight):
        self.job = job
        self.age = age
        self.needs = needs
        self.gang = gang
        self.max_attempts = max_attempts
        self.weight = weight
        self.phase = job.phase
        self.tasks = [_Task(index=index) for index in range(len(job.tasks))]
        self.pending = deque(self.tasks)
        self.n_done = 0
        self.n_failed = 0
        self.ending = False
        self.last_refusal = ""
        self.collect_since = None
        self.collect_factor = 1

    @property
    def is_over(self):
        """Whether no task is left to run."""
        return self.n_done + self.n_failed >= len(self.tasks)

    def hold_id(self, task):
        """Return the identifier of the hold for the task's current attempt."""
        return f"{self.job.customer}/{self.job.name}/{task.index}/{task.attempt}"


#: The attempt's hold is requested or granted, and its intent is not being recorded yet.
_COLLECTING = {TaskState.ASKED, TaskState.HELD}
#: States of a task that keep its gang from starting: the task has no granted hold, or it may still
#: run on the worker of an earlier try.
_NOT_COLLECTED = {TaskState.PENDING, TaskState.ASKED, TaskState.RECORDING, TaskState.STARTED}
#: The attempt may run on its worker.
_BOUND = {TaskState.RECORDING, TaskState.STARTED}


class JobCoordinator:
    """Coordinates the jobs of one customer.

    Parameters
    ----------
    customer : str
    window : int, default=64
        Number of hold requests without an answer at which batch jobs make no more requests. Gangs
        request the holds of all their tasks at once.
    hold_s : float, default=3.0
        Time for which an owner keeps a hold request or a hold. Unit: seconds.

    Notes
    -----
    With one coordinator per customer, the quota is exact without any messages: each task of the
    customer counts here from the request of its hold until its end is recorded.
    """

    __slots__ = (
        "_by_hold",
        "_jobs",
        "_n_asked",
        "_used",
        "customer",
        "hold_s",
        "quota",
        "window",
    )

    def __init__(self, *, customer, window=64, hold_s=3.0):
        self.customer = customer
        self.window = window
        self.hold_s = hold_s
        self.quota = None
        self._jobs = {}
        self._by_hold = {}
        self._used = Amounts(slots=0)
        self._n_asked = 0

    @property
    def used(self):
        """Amounts of the customer's quota that its tasks use."""
        return self._used

    @property
    def n_jobs(self):
        """Number of jobs whose end is not recorded yet."""
        return len(self._jobs)

    def __contains__(self, job):
        return job in self._jobs

    # Inputs: jobs

    def add_job(self, job, *, age, needs, gang, max_attempts, weight, now, records=()):
        """Add a job that was just submitted, or one that another instance coordinated.

        Parameters
        ----------
        job : Job
        age : int
            Revision at which the job was submitted.
        needs : Amounts
            Resources that one task takes.
        gang : bool
        max_attempts, weight : int
        now : float
        records : iterable of (int, int, str, str)
            Index, attempt, state and worker of each task that has a record.
        """
        if job.name in self._jobs:
            return []
        run = _JobRun(
            job=job, age=age, needs=needs, gang=gang, max_attempts=max_attempts, weight=weight
        )
        self._jobs[job.name] = run
        for index, attempt, state, worker in records:
            self._restore(run, run.tasks[index], attempt, state, worker)
        run.pending = deque(task for task in run.tasks if task.state is TaskState.PENDING)
        out = self.cancel_job(job.name) if job.phase is JobPhase.CANCELLING else []
        return out + self._end_if_over(run) + self.tick(now)

    def cancel_job(self, name):
        """Cancel a job: release its holds, stop its running tasks, start no others."""
        run = self._jobs.get(name)
        if run is None or (run.phase is JobPhase.CANCELLING and run.ending):
            return []
        run.phase = JobPhase.CANCELLING
        run.pending.clear()
        out = []
        for task in run.tasks:
            match task.state:
                case TaskState.ASKED | TaskState.HELD:
                    out.append(ReleaseHold(hold_id=run.hold_id(task)))
                    self._drop_hold(run, task)
                    self._fail_task(run, task)
                case TaskState.PENDING:
                    self._fail_task(run, task)
                case TaskState.RECORDING | TaskState.STARTED:
                    out.append(StopTask(hold_id=run.hold_id(task), worker=task.worker))
        return out + self._end_if_over(run)

    def phase_recorded(self, name, phase):
        """Process that the job's phase is durable: remove a job that has ended."""
        if phase in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED):
            self._jobs.pop(name, None)

    # Inputs: holds

    def hold_granted(self, hold_id, worker, now):
        """Process a granted hold; release one that is no longer needed."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _COLLECTING:
            return [] if self._is_past_collecting(task) else [ReleaseHold(hold_id=hold_id)]
        if task.state is TaskState.ASKED:
            self._n_asked -= 1
        task.state = TaskState.HELD
        task.worker = worker
        task.asked_at = now
        if run.gang:
            return self._record_gang_if_complete(run)
        return [self._record_intent(run, [task])]

    def hold_refused(self, hold_id, reason, now):
        """Process a refused, revoked or expired hold.

        The hold is requested again after a back-off, or at the next tick if it expired.
        """
        run, task = self._find(hold_id)
        if task is None or task.state not in _COLLECTING:
            return []
        run.last_refusal = str(reason)
        self._drop_hold(run, task)
        task.n_refused += 1
        wait = (
            0.0 if reason == RefuseReason.EXPIRED else _BACKOFF_BASE_S * 2 ** min(task.n_refused, 8)
        )
        task.not_before = now + min(_MAX_BACKOFF_S, wait)
        run.pending.append(task)
        return []

    # Inputs: records and runs

    def intent_recorded(self, name, hold_ids):
        """Process that the intents of the job's attempts are durable: start the attempts."""
        out = []
        for hold_id in hold_ids:
            run, task = self._find(hold_id)
            if task is None or task.state is not TaskState.RECORDING:
                continue
            if run.phase is JobPhase.CANCELLING:
                out += self._end_lost_attempt(run, task)
                out.append(ReleaseHold(hold_id=hold_id))
                continue
            task.state = TaskState.STARTED
            out.append(
                StartTask(
                    hold_id=hold_id,
                    workload=run.job.workload,
                    payload=run.job.tasks[task.index],
                )
            )
        run = self._jobs.get(name)
        if run is not None and run.phase is JobPhase.WAITING:
            run.phase = JobPhase.RUNNING
            out.append(self._make_phase_change(run, JobPhase.RUNNING))
        return out

    def task_ended(self, hold_id, ok, result):
        """Process a worker's report that the attempt ended: retry the task or record its end."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _BOUND:
            return []
        if not ok and task.attempt < run.max_attempts and run.phase is not JobPhase.CANCELLING:
            return [AckTask(hold_id=hold_id), *self._retry_task(run, task)]
        task.state = TaskState.ENDING
        return [
            RecordEnd(
                customer=self.customer,
                job=run.job.name,
                index=task.index,
                attempt=task.attempt,
                hold_id=hold_id,
                ok=ok,
                result=result,
            )
        ]

    def task_lost(self, hold_id):
        """Process the loss of an attempt: it does not run, cannot start later and has no result."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _BOUND:
            return []
        return self._end_lost_attempt(run, task)

    def end_recorded(self, hold_id, ok):
        """Process that the task's end is durable."""
        run, task = self._find(hold_id)
        if task is None or task.state is not TaskState.ENDING:
            return []
        self._by_hold.pop(hold_id)
        self._release_quota(run)
        task.state = TaskState.ENDED
        if ok:
            run.n_done += 1
        else:
            run.n_failed += 1
        return self._end_if_over(run)

    def tick(self, now):
        """Request holds, renew those of gangs, and give up requests that take too long.

        Gangs collect their holds one at a time, the oldest job first.
        """
        out = []
        gang_asking = False
        for run in sorted(self._jobs.values(), key=lambda run: run.age):
            if run.ending or run.phase is JobPhase.CANCELLING:
                continue
            if run.gang:
                if not gang_asking:
                    out += self._tick_gang(run, now)
                    gang_asking = bool(run.pending) or run.collect_since is not None
            else:
                out += self._tick_batch(run, now)
        return out

    # Outputs

    def bound_tasks(self):
        """Return the worker of each attempt that may run, by identifier of its hold."""
        return {
            hold_id: task.worker
            for hold_id, (_, task) in self._by_hold.items()
            if task.state is TaskState.STARTED
        }

    def why_waiting(self, name):
        """Return the reason why the job's tasks wait, for operators; empty if none waits."""
        run = self._jobs.get(name)
        if run is None:
            return ""
        if not any(
            task.state in _COLLECTING or task.state is TaskState.PENDING for task in run.tasks
        ):
            return ""
        if not self._quota_allows(run, len(run.tasks) if run.gang else 1):
            return self._quota_reason(run)
        if run.last_refusal == RefuseReason.FITS_NOWHERE:
            return "no worker is large enough for one task; needs " + repr(run.needs)
        if run.gang:
            held = sum(task.state is TaskState.HELD for task in run.tasks)
            return f"gang holds {held} of {len(run.tasks)} places; the cell has no room for more"
        if self._n_asked >= self.window:
            return (
                f"{self.window} places are being asked for at once; the cell has no room for more"
            )
        return "the cell has no room for the next task now"

    def status(self, name):
        """Return the job's phase, number of tasks by state and reason for waiting."""
        run = self._jobs.get(name)
        if run is None:
            return None
        states = {}
        for task in run.tasks:
            states[task.state.value] = states.get(task.state.value, 0) + 1
        return {"phase": run.phase.value, "tasks": states, "why": self.why_waiting(name)}

    def is_gang(self, name):
        """Whether the job is a gang: its tasks run all at once or not at all."""
        run = self._jobs.get(name)
        return run is not None and run.gang

    def is_ending(self, hold_id):
        """Whether the attempt's end is being recorded."""
        _, task = self._find(hold_id)
        return task is not None and task.state is TaskState.ENDING

    def names(self):
        """Return the names of the jobs."""
        return list(self._jobs)

    # Internals

    def _restore(self, run, task, attempt, state, worker):
        task.attempt = attempt
        match state:
            case "done":
                task.state = TaskState.ENDED
                run.n_done += 1
            case "failed":
                task.state = TaskState.ENDED
                run.n_failed += 1
            case _:
                task.state = TaskState.STARTED
                task.worker = worker
                self._by_hold[run.hold_id(task)] = (run, task)
                self._used = self._used.plus(run.needs)
                run.phase = run.phase if run.phase is JobPhase.CANCELLING else JobPhase.RUNNING

    def _find(self, hold_id):
        return self._by_hold.get(hold_id, (None, None))

    def _is_past_collecting(self, task):
        return task is not None and task.state not in _COLLECTING

    def _quota_allows(self, run, n_tasks):
        if self.quota is None:
            return True
        return self._used.plus(run.needs.times(n_tasks)).fits(self.quota)

    def _quota_reason(self, run):
        lacking = self._used.plus(run.needs).lacking(self.quota)
        names = ", ".join(
            f"{name} {getattr(self._used, name)} of {getattr(self.quota, name)}" for name in lacking
        )
        return (
            f"the quota of customer {self.customer} is used up: {names or 'too small for the job'}"
        )

    def _tick_batch(self, run, now):
        out = []
        for _ in range(len(run.pending)):
            if self._n_asked >= self.window or not self._quota_allows(run, 1):
                break
            task = run.pending.popleft()
            if task.not_before > now:
                run.pending.append(task)
                continue
            out.append(self._ask_hold(run, task, now))
        for task in run.tasks if self._n_asked else ():
            if (
                task.state is TaskState.ASKED
                and now - task.asked_at > _ASK_TIMEOUT_FACTOR * self.hold_s
            ):
                out.append(ReleaseHold(hold_id=run.hold_id(task)))
                self.hold_refused(run.hold_id(task), RefuseReason.EXPIRED, now)
        return out

    def _tick_gang(self, run, now):
        collecting = [task for task in run.tasks if task.state in _COLLECTING]
        if run.collect_since is not None and collecting:
            if now - run.collect_since > self.hold_s * run.collect_factor:
                return self._give_up_collecting(run, collecting, now)
            out = self._renew_holds(run, collecting, now)
        else:
            out = []
        ready = [task for task in run.pending if task.not_before <= now]
        if not ready:
            return out
        if not self._quota_allows(run, len(ready)):
            return out
        if run.collect_since is None:
            run.collect_since = now
        for task in ready:
            run.pending.remove(task)
            out.append(self._ask_hold(run, task, now))
        return out

    def _renew_holds(self, run, collecting, now):
        """Renew a gang's holds while the other ones are collected.

        Requests without an answer are not renewed: they expire and go to another owner. If they
        were renewed, they would wait forever at an owner whose only worker leaves.
        """
        out = []
        for task in collecting:
            if task.state is TaskState.HELD and now - task.asked_at >= self.hold_s / 3:
                task.asked_at = now
                hold = self._make_hold(run, task)
                out.append(AskHold(hold=hold, workload=run.job.workload, again=True))
        ask_timeout_s = _ASK_TIMEOUT_FACTOR * self.hold_s
        for task in collecting:
            if task.state is TaskState.ASKED and now - task.asked_at > ask_timeout_s:
                out.append(ReleaseHold(hold_id=run.hold_id(task)))
                self.hold_refused(run.hold_id(task), RefuseReason.EXPIRED, now)
        return out

    def _give_up_collecting(self, run, collecting, now):
        """Release a gang's holds for other jobs; after a wait, try again for a longer time."""
        out = []
        wait = self.hold_s * run.collect_factor / 2
        run.collect_factor = min(_MAX_COLLECT_FACTOR, run.collect_factor * 2)
        run.collect_since = None
        for task in collecting:
            out.append(ReleaseHold(hold_id=run.hold_id(task)))
            self._drop_hold(run, task)
            run.pending.append(task)
        for task in run.pending:
            task.not_before = now + wait
        return out

    def _make_hold(self, run, task):
        return Hold(
            hold_id=run.hold_id(task),
            customer=self.customer,
            needs=run.needs,
            age=run.age,
            gang=run.gang,
            weight=run.weight,
        )

    def _ask_hold(self, run, task, now):
        task.state = TaskState.ASKED
        task.asked_at = now
        self._n_asked += 1
        self._by_hold[run.hold_id(task)] = (run, task)
        self._used = self._used.plus(run.needs)
        return AskHold(hold=self._make_hold(run, task), workload=run.job.workload)

    def _record_gang_if_complete(self, run):
        held = [task for task in run.tasks if task.state is TaskState.HELD]
        missing = [task for task in run.tasks if task.state in _NOT_COLLECTED]
        if missing or not held:
            return []
        run.collect_since = None
        return [self._record_intent(run, held)]

    def _record_intent(self, run, tasks):
        for task in tasks:
            task.state = TaskState.RECORDING
        return RecordIntent(customer=self.customer, job=run.job.name, tasks=list(tasks))

    def _drop_hold(self, run, task):
        if task.state is TaskState.ASKED:
            self._n_asked -= 1
        self._by_hold.pop(run.hold_id(task), None)
        self._release_quota(run)
        task.state = TaskState.PENDING
        task.worker = ""

    def _release_quota(self, run):
        self._used = Amounts(
            cpu_milli=self._used.cpu_milli - run.needs.cpu_milli,
            memory_mb=self._used.memory_mb - run.needs.memory_mb,
            accelerators=self._used.accelerators - run.needs.accelerators,
            slots=self._used.slots - run.needs.slots,
        )

    def _retry_task(self, run, task):
        """Queue the next attempt of a task whose last one certainly does not run any more."""
        self._drop_hold(run, task)
        task.attempt += 1
        run.pending.append(task)
        if not run.gang:
            return []
        return self._stop_rest_of_gang(run)

    def _stop_rest_of_gang(self, run):
        """Stop the other tasks of a gang: a part of a gang does no useful work."""
        return [
            StopTask(hold_id=run.hold_id(task), worker=task.worker)
            for task in run.tasks
            if task.state in _BOUND
        ]

    def _end_lost_attempt(self, run, task):
        if run.phase is JobPhase.CANCELLING:
            self._drop_hold(run, task)
            self._fail_task(run, task)
            return self._end_if_over(run)
        return self._retry_task(run, task)

    def _fail_task(self, run, task):
        task.state = TaskState.ENDED
        run.n_failed += 1

    def _end_if_over(self, run):
        if not run.is_over or run.ending:
            return []
        run.ending = True
        if run.phase is JobPhase.CANCELLING:
            return [self._make_phase_change(run, JobPhase.CANCELLED)]
        return [
            self._make_phase_change(run, JobPhase.FAILED if run.n_failed else JobPhase.COMPLETED)
        ]

    def _make_phase_change(self, run, phase):
        reason = f"{run.n_failed} of {len(run.tasks)} tasks failed" if run.n_failed else ""
        return RecordPhase(
            customer=self.customer,
            job=run.job.name,
            phase=phase,
            n_done=run.n_done,
            n_failed=run.n_failed,
            reason=reason,
        )
