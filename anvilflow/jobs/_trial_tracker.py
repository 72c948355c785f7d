"""Isolated trial runs of tasks that may crash workers, and starts recorded before sending."""

from msgspec import Struct

from ._actions import StartRun
from ._crash_history import EARLY_CRASH_S, CrashHistory
from ._dropped_runs import RunProof
from ._job import TaskState
from ._worker_tracker import WorkerTracker

#: Time after which a start that is still not durable is cancelled. Unit: seconds.
MAX_RECORD_WAIT_S = 1.0


class Suspect(Struct, kw_only=True, frozen=True):
    """A task that ran, or may have run, on lost workers, or whose start is recorded.

    The task is a possible cause of the losses only if :attr:`CrashHistory.is_suspect` is set.
    """

    step: object
    task: object

    @property
    def history(self):
        """The task's :class:`CrashHistory`."""
        return self.task.crash_history

    @property
    def is_resolved(self):
        """Whether the task needs no more starts, or its history is empty."""
        is_done = self.task.state is TaskState.DONE or self.step.job.is_ended
        return is_done or not self.history.lost_runs

    @property
    def awaits_record(self):
        """Whether the task's next start waits for a change to be durable."""
        return self.history.unrecorded_change > self.step.job.recorded_change

    def matches(self, step):
        """Whether a step is this task's step or uses the same image."""
        image = self.step.spec.image
        return self.step is step or (image != "" and image == step.spec.image)


class _HeldStarts(Struct, kw_only=True):
    """Starts of one job that are held until the job's `change` is durable."""

    job: object
    change: int
    starts: list[StartRun]
    since: float


class TrialTracker(WorkerTracker):
    """Runs suspect tasks in isolation, so that the next loss can be attributed to one task.

    Base of :class:`CrashTracker`, which decides which tasks are failed.

    Notes
    -----
    `suspects` holds each :class:`Suspect` by task name. `trials` holds the task names of the trial
    runs by worker; no task of another job is started on these workers. Once a loss counts against a
    task, its next start is made durable before it is sent, so that a new leader can count a crash
    that coincides with the failure of the previous leader.

    `is_store_unavailable` means that nothing can be recorded; `wall_offset_s` is the time of day
    minus the steady time. `_has_lost_unconfirmed_worker` means that a worker was lost that never
    responded to this leader, so that its runs are unknown.
    """

    def __init__(self, **values):
        super().__init__(**values)
        self.suspects = {}
        self.trials = {}
        self.is_store_unavailable = False
        self.wall_offset_s = 0.0
        self._held_starts = []
        self._has_lost_unconfirmed_worker = False

    def _add_suspect(self, step, task):
        """Return the task's entry in `suspects`, adding it if needed; None for an ended task."""
        if step.job.is_ended or task.state is TaskState.DONE:
            return None
        if task.crash_history is None:
            task.crash_history = CrashHistory()
        return self.suspects.setdefault(task.name, Suspect(step=step, task=task))

    # Trials

    def startable(self, step, waiting, now):
        """Return the waiting tasks of a step that their crash histories allow to start.

        Only one trial run is active at a time among suspects of the same step or image.
        """
        if not self.suspects:
            return waiting
        trial_running = any(
            each.matches(step) and any(run.is_trial for run in each.task.runs.values())
            for each in self.suspects.values()
        )
        if step.spec.gang:
            ready = all(self._may_start_task(task, False, now) for task in waiting)
            return waiting if ready else []
        startable = []
        for task in waiting:
            if trial_running and step.spec.image:
                continue
            if not self._may_start_task(task, trial_running, now):
                continue
            startable.append(task)
            trial_running = trial_running or _needs_trial(task)
        return startable

    def _may_start_task(self, task, trial_running, now):
        history = task.crash_history
        if history is None:
            return True
        if not history.may_start(now) or (history.is_suspect and self.is_store_unavailable):
            return False
        job = self.jobs[task.name.split(".", 1)[0]]
        if history.unrecorded_change > job.recorded_change:
            return False
        return not (trial_running and _needs_trial(task))

    def has_other_trial(self, worker, job):
        """Whether a worker has a trial run of another job."""
        names = self.trials.get(worker.info.worker_id, ())
        return any(not name.startswith(f"{job.job_id}.") for name in names)

    def has_other_suspect(self, worker, task):
        """Whether `task` is a suspect and a worker runs a suspect of another job.

        A crash of that worker would count against both, although only one of them caused it.
        """
        if not _is_suspect(task):
            return False
        job_id, _, _ = task.name.partition(".")
        others = [run.task for run in worker.runs.values() if run.job.job_id != job_id]
        return any(
            name in self.suspects and _is_suspect(self.suspects[name].task) for name in others
        )

    def note_survivals(self, worker, now):
        """Pass trial runs and clear histories of runs that a worker has listed for long enough."""
        if not self.suspects:
            return
        for run in worker.runs.values():
            suspect = self.suspects.get(run.task)
            if suspect is None or not run.has_begun:
                continue
            history = suspect.history
            if run.is_trial and run.survived_s >= history.trial_s:
                self._pass_trial(suspect, run)
            cleared_s = history.cleared_s if history.losses else EARLY_CRASH_S
            if run.survived_s >= cleared_s:
                history.lost_runs.clear()
                suspect.step.job.touch(now)

    def begin_trial(self, task, run):
        """Make a suspect's run a trial run: no other job's tasks are started on its worker."""
        if _is_suspect(task):
            run.is_trial = True
            self.trials.setdefault(run.worker.info.worker_id, set()).add(run.task)

    def require_trials(self, step):
        """Revoke the trial exemption of all suspects of the same step or image."""
        for suspect in self.suspects.values():
            if suspect.matches(step):
                suspect.history.is_trial_exempt = False

    def _pass_trial(self, suspect, run):
        self._end_trial(run)
        for each in self.suspects.values():
            if each.matches(suspect.step):
                each.history.is_trial_exempt = True
                each.step.job.wake()
        self.needs_full_plan = True

    def _end_trial(self, run):
        run.is_trial = False
        worker_id = run.worker.info.worker_id
        names = self.trials.get(worker_id, set())
        names.discard(run.task)
        if not names:
            self.trials.pop(worker_id, None)

    def remove_placed(self, run, now):
        """Remove a recorded start whose run ended without the loss of its worker."""
        suspect = self.suspects.get(run.task)
        if suspect is not None and suspect.history.remove_placed(run.worker.info.worker_id):
            suspect.step.job.touch(now)

    def _drop_run(self, run, proof, now):
        self.remove_placed(run, now)
        super()._drop_run(run, proof, now)

    def _free(self, run):
        if run.is_trial:
            self._end_trial(run)
        super()._free(run)

    # Recorded starts

    def must_be_recorded(self, step, task):
        """Whether a start must be durable before it is sent.

        This includes tasks that an earlier leader may have started on a worker that has never
        responded to this leader. If such a task crashed that worker, this leader cannot count the
        loss. Without the record, the next leader could not count a second one either.
        """
        history = task.crash_history
        if history is not None and (history.must_be_recorded or history.unrecorded_change):
            return True
        job = step.job
        may_have_begun = job.inherited and task.run_id == 0 and step.ready_at <= job.accepted_at
        return may_have_begun and self._may_miss_runs()

    def _may_miss_runs(self):
        """Whether an earlier leader may have started runs on a worker that never responded."""
        return (
            self._has_lost_unconfirmed_worker
            or not self.grace_period.all_workers_known
            or not all(worker.confirmed for worker in self.workers.values())
        )

    def add_recorded_start(self, step, task, run, now):
        """Add a start that is recorded before it is sent."""
        run.state = "recording"
        suspect = self._add_suspect(step, task)
        suspect.history.add_start(
            run.worker, run_id=run.run_id, started_at=now + self.wall_offset_s
        )
        step.job.touch(now)

    def hold_unrecorded_starts(self, actions, now):
        """Hold the starts that are not durable yet; return the other actions."""
        kept = []
        held = {}
        for action in actions:
            run = self._started_run(action)
            if run is None or run.state != "recording":
                kept.append(action)
            else:
                held.setdefault(run.job.job_id, (run.job, []))[1].append(action)
        for job, starts in held.values():
            self._held_starts.append(
                _HeldStarts(job=job, change=job.change, starts=starts, since=now)
            )
        return kept

    @property
    def holds_starts(self):
        """Whether any starts are held until they are durable."""
        return bool(self._held_starts)

    def _started_run(self, action):
        if not isinstance(action, StartRun):
            return None
        return self._find_run(action.worker_id, action.task, action.run_id)

    def take_recorded_starts(self, now):
        """Return the starts that are durable now; cancel those not recorded in time."""
        actions = []
        waiting = []
        for held in self._held_starts:
            if held.job.recorded_change >= held.change:
                actions += self._release_starts(held, now)
            elif now - held.since > MAX_RECORD_WAIT_S:
                self._cancel_starts(held, now)
            else:
                waiting.append(held)
        self._held_starts = waiting
        return actions

    def _cancel_starts(self, held, now):
        """Cancel starts that were not recorded in time, and release their capacity."""
        for run in self._held_runs(held):
            _, task = self.find_task(run.task)
            task.crash_history.unrecorded_change = held.change
            self._drop_run(run, RunProof.NEVER_SENT, now)

    def _held_runs(self, held):
        runs = [self._started_run(start) for start in held.starts]
        return [run for run in runs if run is not None and run.state == "recording"]

    def _release_starts(self, held, now):
        """Return the recorded starts that may be sent; a gang starts completely or not at all."""
        runs = self._held_runs(held)
        gang_may_start = len(runs) == len(held.starts) and all(
            run.worker.accepts(now) and not run.worker.is_over_capacity(run.step) for run in runs
        )
        actions = []
        for start, run in zip(held.starts, runs, strict=False):
            may_start = run.worker.accepts(now) and not run.worker.is_over_capacity(run.step)
            if gang_may_start if run.step.gang else may_start:
                run.state = "starting"
                run.sent_at = run.began_at = now
                actions.append(start)
            else:
                self._drop_run(run, RunProof.NEVER_SENT, now)
        return actions

    def start_sent(self, worker_id, task, run_id):
        """Note that a start was sent, so that the run may begin from now on."""
        run = self._find_run(worker_id, task, run_id)
        if run is not None:
            run.is_sent = True

    def _find_run(self, worker_id, task, run_id):
        worker = self.workers.get(worker_id)
        run = worker.runs.get(task) if worker is not None else None
        return run if run is not None and run.run_id == run_id else None


def _is_suspect(task):
    return task.crash_history is not None and task.crash_history.is_suspect


def _needs_trial(task):
    """Whether a task is a suspect and no trial run of its step or image has passed."""
    return _is_suspect(task) and not task.crash_history.is_trial_exempt
