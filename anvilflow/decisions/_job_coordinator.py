"""What the coordinator of a customer's jobs decides: which tasks to place, start, repeat, end."""

from collections import deque
from enum import StrEnum

from msgspec import Struct

from ..resources import Amounts, JobPhase
from ._messages import Hold, RefuseReason

#: Wait before a place is asked again after a refusal, doubled each time. Unit: seconds.
_FIRST_BACKOFF = 0.1
_MAX_BACKOFF = 5.0

#: Silence of an owner after which its answer to an ask is no longer awaited, in hold times.
_SILENT_HOLDS = 2

#: Largest factor by which a gang's time to collect its places grows over its tries.
_MAX_COLLECT_FACTOR = 16


class TaskState(StrEnum):
    """Where one attempt of a task stands."""

    PENDING = "pending"
    ASKED = "asked"
    HELD = "held"
    RECORDING = "recording"
    STARTED = "started"
    ENDING = "ending"
    ENDED = "ended"


class AskHold(Struct, kw_only=True):
    """Ask an owner for a place; `again` keeps an ask alive at the same owner."""

    hold: Hold
    workload: str
    again: bool = False


class ReleaseHold(Struct, kw_only=True):
    """Give up a place."""

    hold_id: str


class RecordIntent(Struct, kw_only=True):
    """Write down, before anything starts, where each of the attempts will run."""

    customer: str
    job: str
    tasks: list  # of _Task


class StartTask(Struct, kw_only=True):
    """Start an attempt whose place is held and whose intent is recorded."""

    hold_id: str
    workload: str
    payload: str


class StopTask(Struct, kw_only=True):
    """Stop an attempt wherever it is; it must not start later either."""

    hold_id: str
    worker: str


class RecordEnd(Struct, kw_only=True):
    """Write down how a task ended."""

    customer: str
    job: str
    index: int
    attempt: int
    hold_id: str
    ok: bool
    result: str


class AckTask(Struct, kw_only=True):
    """Let the worker forget an attempt whose end needs no record."""

    hold_id: str


class EndJob(Struct, kw_only=True):
    """Write down the job's new phase."""

    customer: str
    job: str
    phase: JobPhase
    n_done: int
    n_failed: int
    reason: str


class _Task:
    """One task and its present attempt."""

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
    """A job at its coordinator."""

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
    def over(self):
        """Whether no task is left to run."""
        return self.n_done + self.n_failed >= len(self.tasks)

    def hold_id(self, task):
        """Return the identity of the task's present attempt."""
        return f"{self.job.customer}/{self.job.name}/{task.index}/{task.attempt}"


_COLLECTING = {TaskState.ASKED, TaskState.HELD}
_NOT_COLLECTED = {TaskState.PENDING, TaskState.ASKED, TaskState.RECORDING, TaskState.STARTED}
_BOUND = {TaskState.RECORDING, TaskState.STARTED}


class JobCoordinator:
    """The jobs of one customer.

    Parameters
    ----------
    customer : str
    window : int, default=64
        Tasks for which places are asked at once.
    hold_s : float, default=3.0
        How long an owner keeps an ask or a hold. Unit: seconds.

    Notes
    -----
    One coordinator per customer makes the quota exact without a message: every task of the customer
    is counted here, from the moment its place is asked until its end is known.
    """

    __slots__ = (
        "_by_hold",
        "_jobs",
        "_n_waiting",
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
        self._n_waiting = 0

    @property
    def used(self):
        """What the customer's tasks take of its quota."""
        return self._used

    @property
    def n_jobs(self):
        """Number of jobs that are not over."""
        return len(self._jobs)

    def __contains__(self, job):
        return job in self._jobs

    # Inputs: jobs

    def add_job(self, job, *, age, needs, gang, max_attempts, weight, now, records=()):
        """Take on a job.

        Parameters
        ----------
        job : Job
        age : int
            Revision at which it was submitted.
        needs : Amounts
            What one task takes.
        gang : bool
        max_attempts, weight : int
        now : float
        records : iterable of (int, int, str, str)
            Index, attempt, state and worker of each task that was recorded before.
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
        """Stop a job: release what is held, stop what runs, start nothing more."""
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
                    self._unplace(run, task)
                    self._fail_task(run, task)
                case TaskState.PENDING:
                    self._fail_task(run, task)
                case TaskState.RECORDING | TaskState.STARTED:
                    out.append(StopTask(hold_id=run.hold_id(task), worker=task.worker))
        return out + self._end_if_over(run)

    def phase_recorded(self, name, phase):
        """Note that the job's phase is durable."""
        if phase in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED):
            self._jobs.pop(name, None)

    # Inputs: places

    def hold_granted(self, hold_id, worker, now):
        """A place is held."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _COLLECTING:
            return [] if self._is_bound(task) else [ReleaseHold(hold_id=hold_id)]
        if task.state is TaskState.ASKED:
            self._n_waiting -= 1
        task.state = TaskState.HELD
        task.worker = worker
        task.asked_at = now
        if run.gang:
            return self._collected(run)
        return [self._record(run, [task])]

    def hold_refused(self, hold_id, reason, now):
        """No place is held, or a held one was taken away."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _COLLECTING:
            return []
        run.last_refusal = str(reason)
        self._unplace(run, task)
        task.n_refused += 1
        wait = (
            0.0 if reason == RefuseReason.EXPIRED else _FIRST_BACKOFF * 2 ** min(task.n_refused, 8)
        )
        task.not_before = now + min(_MAX_BACKOFF, wait)
        run.pending.append(task)
        return []

    # Inputs: records and runs

    def intent_recorded(self, customer_job, hold_ids):
        """The intents are durable: start."""
        out = []
        for hold_id in hold_ids:
            run, task = self._find(hold_id)
            if task is None or task.state is not TaskState.RECORDING:
                continue
            if run.phase is JobPhase.CANCELLING:
                out += self._lose(run, task)
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
        run = self._jobs.get(customer_job)
        if run is not None and run.phase is JobPhase.WAITING:
            run.phase = JobPhase.RUNNING
            out.append(self._phase(run, JobPhase.RUNNING))
        return out

    def task_ended(self, hold_id, ok, result):
        """The worker says that the attempt ended."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _BOUND:
            return []
        if not ok and task.attempt < run.max_attempts and run.phase is not JobPhase.CANCELLING:
            return [AckTask(hold_id=hold_id), *self._again(run, task)]
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
        """The attempt certainly does not run and never will; it left no result."""
        run, task = self._find(hold_id)
        if task is None or task.state not in _BOUND:
            return []
        return self._lose(run, task)

    def end_recorded(self, hold_id, ok):
        """The task's end is durable."""
        run, task = self._find(hold_id)
        if task is None or task.state is not TaskState.ENDING:
            return []
        self._by_hold.pop(hold_id)
        self._give_back(run)
        task.state = TaskState.ENDED
        if ok:
            run.n_done += 1
        else:
            run.n_failed += 1
        return self._end_if_over(run)

    def tick(self, now):
        """Ask for places, keep asks alive, give up what takes too long."""
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
        """Return the worker of each attempt that may run, by hold."""
        return {
            hold_id: task.worker
            for hold_id, (_, task) in self._by_hold.items()
            if task.state is TaskState.STARTED
        }

    def why_waiting(self, name):
        """Return why the job's tasks wait, in words that an operator can act on."""
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
        if self._n_waiting >= self.window:
            return (
                f"{self.window} places are being asked for at once; the cell has no room for more"
            )
        return "the cell has no room for the next task now"

    def status(self, name):
        """Return the job's counts by task state."""
        run = self._jobs.get(name)
        if run is None:
            return None
        states = {}
        for task in run.tasks:
            states[task.state.value] = states.get(task.state.value, 0) + 1
        return {"phase": run.phase.value, "tasks": states, "why": self.why_waiting(name)}

    def is_gang(self, name):
        """Whether the job's tasks run all at once."""
        run = self._jobs.get(name)
        return run is not None and run.gang

    def is_ending(self, hold_id):
        """Whether the attempt's end is being written down."""
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

    def _is_bound(self, task):
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
            if self._n_waiting >= self.window or not self._quota_allows(run, 1):
                break
            task = run.pending.popleft()
            if task.not_before > now:
                run.pending.append(task)
                continue
            out.append(self._ask(run, task, now))
        for task in run.tasks if self._n_waiting else ():
            if task.state is TaskState.ASKED and now - task.asked_at > _SILENT_HOLDS * self.hold_s:
                out.append(ReleaseHold(hold_id=run.hold_id(task)))
                self.hold_refused(run.hold_id(task), RefuseReason.EXPIRED, now)
        return out

    def _tick_gang(self, run, now):
        collecting = [task for task in run.tasks if task.state in _COLLECTING]
        if run.collect_since is not None and collecting:
            if now - run.collect_since > self.hold_s * run.collect_factor:
                return self._give_up_collecting(run, collecting, now)
            out = self._keep_alive(run, collecting, now)
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
            out.append(self._ask(run, task, now))
        return out

    def _keep_alive(self, run, collecting, now):
        """Keep held places while the rest is collected.

        What is only asked is left to expire and asked elsewhere: kept alive, it would wait for
        ever at an owner whose only worker leaves.
        """
        out = []
        for task in collecting:
            if task.state is TaskState.HELD and now - task.asked_at >= self.hold_s / 3:
                task.asked_at = now
                hold = self._hold(run, task)
                out.append(AskHold(hold=hold, workload=run.job.workload, again=True))
        silent = _SILENT_HOLDS * self.hold_s
        for task in collecting:
            if task.state is TaskState.ASKED and now - task.asked_at > silent:
                out.append(ReleaseHold(hold_id=run.hold_id(task)))
                self.hold_refused(run.hold_id(task), RefuseReason.EXPIRED, now)
        return out

    def _give_up_collecting(self, run, collecting, now):
        """Let go of all places, so that others can use them, and try again for longer."""
        out = []
        wait = self.hold_s * run.collect_factor / 2
        run.collect_factor = min(_MAX_COLLECT_FACTOR, run.collect_factor * 2)
        run.collect_since = None
        for task in collecting:
            out.append(ReleaseHold(hold_id=run.hold_id(task)))
            self._unplace(run, task)
            run.pending.append(task)
        for task in run.pending:
            task.not_before = now + wait
        return out

    def _hold(self, run, task):
        return Hold(
            hold_id=run.hold_id(task),
            customer=self.customer,
            needs=run.needs,
            age=run.age,
            gang=run.gang,
            weight=run.weight,
        )

    def _ask(self, run, task, now):
        task.state = TaskState.ASKED
        task.asked_at = now
        self._n_waiting += 1
        self._by_hold[run.hold_id(task)] = (run, task)
        self._used = self._used.plus(run.needs)
        return AskHold(hold=self._hold(run, task), workload=run.job.workload)

    def _collected(self, run):
        waiting = [task for task in run.tasks if task.state is TaskState.HELD]
        missing = [task for task in run.tasks if task.state in _NOT_COLLECTED]
        if missing or not waiting:
            return []
        run.collect_since = None
        return [self._record(run, waiting)]

    def _record(self, run, tasks):
        for task in tasks:
            task.state = TaskState.RECORDING
        return RecordIntent(customer=self.customer, job=run.job.name, tasks=list(tasks))

    def _unplace(self, run, task):
        if task.state is TaskState.ASKED:
            self._n_waiting -= 1
        self._by_hold.pop(run.hold_id(task), None)
        self._give_back(run)
        task.state = TaskState.PENDING
        task.worker = ""

    def _give_back(self, run):
        self._used = Amounts(
            cpu_milli=self._used.cpu_milli - run.needs.cpu_milli,
            memory_mb=self._used.memory_mb - run.needs.memory_mb,
            accelerators=self._used.accelerators - run.needs.accelerators,
            slots=self._used.slots - run.needs.slots,
        )

    def _again(self, run, task):
        """Make the next attempt of a task whose last one is certainly over."""
        self._unplace(run, task)
        task.attempt += 1
        run.pending.append(task)
        if not run.gang:
            return []
        return self._stop_rest_of_gang(run)

    def _stop_rest_of_gang(self, run):
        """Stop the other tasks of a gang: part of it alone would do no useful work."""
        return [
            StopTask(hold_id=run.hold_id(task), worker=task.worker)
            for task in run.tasks
            if task.state in _BOUND
        ]

    def _lose(self, run, task):
        if run.phase is JobPhase.CANCELLING:
            self._unplace(run, task)
            self._fail_task(run, task)
            return self._end_if_over(run)
        return self._again(run, task)

    def _fail_task(self, run, task):
        task.state = TaskState.ENDED
        run.n_failed += 1

    def _end_if_over(self, run):
        if not run.over or run.ending:
            return []
        run.ending = True
        if run.phase is JobPhase.CANCELLING:
            return [self._phase(run, JobPhase.CANCELLED)]
        return [self._phase(run, JobPhase.FAILED if run.n_failed else JobPhase.COMPLETED)]

    def _phase(self, run, phase):
        reason = f"{run.n_failed} of {len(run.tasks)} tasks failed" if run.n_failed else ""
        return EndJob(
            customer=self.customer,
            job=run.job.name,
            phase=phase,
            n_done=run.n_done,
            n_failed=run.n_failed,
            reason=reason,
        )
