"""Lost workers, and the jobs that are failed because a task crashes workers."""

from msgspec import structs

from ._actions import NoteCrashingTask, NoteLostWorker
from ._crash_history import LossOutcome
from ._dropped_runs import RunProof
from ._job import JobState, TaskState
from ._run import OrphanRun
from ._trial_tracker import TrialTracker
from ._worker_info import RunReport

#: Workers lost within this time of each other are assumed to have a common cause. Unit: seconds.
COMMON_CAUSE_S = 1.0

#: Time for which the loss of a worker is kept for comparison with later ones. Unit: seconds.
LOSS_RETENTION_S = 60.0


class CrashTracker(TrialTracker):
    """Counts the workers lost while running each task, and fails jobs whose tasks crash workers.

    Base of :class:`RunTracker`. A crash is confirmed only when a later incarnation has answered
    under the worker's id, or when the worker's lease is over and another worker answers at the
    address where this one did. Until then a crashed worker cannot be distinguished from one that is
    partitioned and still running. An address in a registry entry proves nothing: it may be wrong.
    """

    def __init__(self, **values):
        super().__init__(**values)
        # By worker: when it was lost, and whether a trial run was active there.
        self._lost_workers = {}

    # Lost workers

    def worker_ended(self, worker_id, now, *, is_replaced=False):
        """Remove a worker that has ended, with its runs, none of which is active any more.

        Parameters
        ----------
        worker_id : str
        now : float
            Unit: seconds.
        is_replaced : bool, default=False
            Whether a later incarnation has answered under the worker's id. Otherwise the worker
            may be partitioned, and its lease must be over.

        Returns
        -------
        actions : list
            Notes on the loss, and the stops of jobs that are failed because of it.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return []
        self.needs_full_plan = True
        self.pace_changed_at.pop(worker_id, None)
        self.speeds.remove_worker(worker_id)
        self._has_lost_unconfirmed_worker = (
            self._has_lost_unconfirmed_worker or not worker.confirmed
        )
        has_crashed = is_replaced or worker.answered_address in self._workers_by_address()
        outcome = LossOutcome.CRASHED if has_crashed else LossOutcome.GONE
        proof = RunProof.RESTARTED if is_replaced else RunProof.LEASE_OVER
        tasks = sorted(worker.runs)
        for run in list(worker.runs.values()):
            if worker.is_leaving:
                self._drop_run(run, proof, now)
            else:
                self._lose_run(run, outcome, proof, now)
        if worker.is_leaving:
            self._remove_from_histories(worker_id)
            return []
        self._note_lost_worker(worker, False, now)
        if worker.is_loss_noted:
            return []
        address = worker.answered_address or worker.info.address
        return self._set_loss_outcome(worker_id, outcome, address, tasks, now)

    def adopt_unconfirmed_runs(self, worker_id, runs, now):
        """Adopt the runs that an earlier leader listed on a worker that it could not reach.

        Their tasks stay assigned to the worker until it responds or its lease has certainly
        expired. All other tasks need not wait for the worker.
        """
        worker = self.workers[worker_id]
        worker.runs_known = worker.in_handover = True
        for name, run_id in runs:
            step, task = self.find_task(name)
            if task is None:
                job = self.jobs.get(name.split(".", 1)[0])
                if job is not None and job.is_of_future_occurrence(name):
                    self._note_unconfirmed_orphan(worker, name, run_id, now)
            elif step.job.is_ended or task.state is TaskState.DONE:
                continue
            elif name in worker.runs:
                self._note_unconfirmed_orphan(worker, name, run_id, now)
            else:
                self._adopt_unconfirmed_run(worker, name, run_id, now)

    def _adopt_unconfirmed_run(self, worker, name, run_id, now):
        step, task = self.find_task(name)
        run = self._make_run(worker, step, task, run_id, now)
        run.state = "running"
        run.is_adopted = True

    def _note_unconfirmed_orphan(self, worker, name, run_id, now):
        """Note a run of an occurrence that is not due yet, or a second run of a task."""
        item = RunReport(task=name, run_id=run_id, checkpoint="", percent=0.0, load=0.0)
        orphan = worker.orphan_runs[name, run_id] = OrphanRun(item=item, now=now)
        step, _ = self.find_task(name)
        if step is not None:
            orphan.note_step(step)

    def note_fresh_runs(self, worker_id, runs):
        """Note the runs that began shortly before the worker became unreachable.

        Those of suspects become trial runs.
        """
        for name, run_id in runs:
            run = self._find_run(worker_id, name, run_id)
            if run is not None:
                run.has_begun = True
                run.is_adopted = False
                _, task = self.find_task(name)
                self.begin_trial(task, run)

    def drop_lapsed_runs(self, now):
        """Drop the runs of unreachable workers whose leases have certainly expired.

        The workers themselves are kept until the leader calls `worker_ended`: when another
        incarnation answers, or when the registry entry remains absent. Until then, the reports of a
        worker that responds again must be processed: otherwise runs that it still begins would
        continue under renewed leases without being tracked.
        """
        if self.grace_period.leases_over_at is None:
            registered = [worker for worker in self.current_workers() if worker.listed]
            n_confirmed = sum(worker.confirmed for worker in registered)
            if self.grace_period.give_up_waiting(n_confirmed, len(registered), now):
                self._bound_unconfirmed_leases()
        for worker in list(self.workers.values()):
            if not worker.is_lapsed(now):
                continue
            for run in list(worker.runs.values()):
                if worker.is_leaving:
                    self._drop_run(run, RunProof.LEASE_OVER, now)
                else:
                    self._lose_run(run, LossOutcome.UNKNOWN, RunProof.LEASE_OVER, now)

    def _lose_run(self, run, outcome, proof, now):
        """Remove a run whose worker was lost, and add the loss to its task's history."""
        self._note_lost_worker(run.worker, run.is_trial, now)
        step, task = self.find_task(run.task)
        if task is not None and run.may_have_begun:
            suspect = self._add_suspect(step, task)
            if suspect is not None:
                suspect.history.add_loss(run, outcome, now)
                self.require_trials(step)
                step.job.touch(now)
        self._drop_run(run, proof, now)

    def _note_lost_worker(self, worker, had_trial, now):
        worker_id = worker.info.worker_id
        at, had_trial_before = self._lost_workers.get(
            worker_id, (worker.unreachable_since if worker.unreachable else now, False)
        )
        self._lost_workers[worker_id] = (at, had_trial or had_trial_before)
        for other, (lost_at, _) in list(self._lost_workers.items()):
            if now - lost_at > LOSS_RETENTION_S:
                del self._lost_workers[other]

    def _has_common_cause(self, worker_id, history):
        """Whether a worker was lost together with one without a trial run, as in a power loss."""
        if worker_id not in self._lost_workers or not history.has_other_early_loss(worker_id):
            return False
        lost_at, _ = self._lost_workers[worker_id]
        others = {
            other: (worker.unreachable_since, other in self.trials)
            for other, worker in self.workers.items()
            if worker.unreachable
        }
        others.update(self._lost_workers)
        others.pop(worker_id, None)
        return any(
            not had_trial and abs(at - lost_at) <= COMMON_CAUSE_S
            for other, (at, had_trial) in others.items()
            if other not in history.lost_runs
        )

    def _set_loss_outcome(self, worker_id, outcome, address, tasks, now):
        """Set the outcome of a worker's loss in the histories of all tasks that ran there."""
        runs_and_losses = {}
        for suspect in self.suspects.values():
            lost = suspect.history.lost_runs.get(worker_id)
            if lost is None:
                continue
            if self._has_common_cause(worker_id, suspect.history):
                lost = structs.replace(lost, is_soon=False)
                suspect.history.lost_runs[worker_id] = lost
            if lost.fate not in (outcome, LossOutcome.CRASHED):
                suspect.history.lost_runs[worker_id] = structs.replace(lost, fate=outcome)
                suspect.step.job.touch(now)
                suspect.step.job.wake()
            runs_and_losses[suspect.task.name] = [lost.run_id, len(suspect.history.losses)]
        note = NoteLostWorker(
            worker_id=worker_id,
            address=address,
            known_by="replaced" if outcome is LossOutcome.CRASHED else "unlisted",
            tasks=tasks or sorted(runs_and_losses),
            runs_and_losses=runs_and_losses,
        )
        return [note, *self._fail_crashing_jobs(now)]

    def _remove_from_histories(self, worker_id):
        for suspect in self.suspects.values():
            suspect.history.remove(worker_id)

    def _fail_crashing_jobs(self, now):
        """Fail the jobs of tasks that crash workers."""
        actions = []
        for name, suspect in list(self.suspects.items()):
            job = suspect.step.job
            if job.is_ended or not suspect.history.crashes_workers:
                continue
            crashed = [each for each in suspect.history.losses if each.fate is LossOutcome.CRASHED]
            actions.append(
                NoteCrashingTask(
                    job=job.job_id,
                    task=name,
                    workers=[each.worker_id for each in crashed],
                    runs=[each.run_id for each in crashed],
                )
            )
            actions += self._finish(job, JobState.FAILED, now)
        return actions

    def review_suspects(self, now):
        """Update the outcomes of losses and drop resolved suspects; return the actions."""
        actions = []
        if not self.suspects:
            return actions
        by_address = self._workers_by_address()
        for name, suspect in list(self.suspects.items()):
            for lost in list(suspect.history.lost_runs.values()):
                actions += self._review_loss(suspect, lost, by_address, now)
            is_job_known = self.jobs.get(suspect.step.job.job_id) is suspect.step.job
            if not is_job_known or (suspect.is_resolved and not suspect.awaits_record):
                suspect.task.crash_history = None
                del self.suspects[name]
        return actions + self._fail_crashing_jobs(now)

    def _workers_by_address(self):
        """Return the workers that answer, by the address at which they do."""
        return {
            worker.answered_address: worker
            for worker in self.workers.values()
            if worker.is_answering and not worker.is_superseded
        }

    def _review_loss(self, suspect, lost, by_address, now):
        """Update one entry of a suspect's history by what its worker has become.

        The entry is removed if the worker has responded and the run is not active there.
        """
        worker = self._find_lost_worker(lost)
        if worker is not None and suspect.task.name in worker.runs:
            return []
        has_crashed = lost.fate is LossOutcome.CRASHED
        if worker is not None and worker.is_answering:
            if not has_crashed or worker.info.worker_id == lost.worker_id:
                suspect.history.remove(lost.worker_id)
                suspect.step.job.touch(now)
                suspect.step.job.wake()
        elif not has_crashed and self._is_replaced(worker, lost, by_address, now):
            if worker is not None:
                worker.is_loss_noted = True
            return self._set_loss_outcome(
                lost.worker_id, LossOutcome.CRASHED, lost.address, [], now
            )
        elif lost.fate is LossOutcome.PLACED and (worker is None or worker.is_lapsed(now)):
            self._mark_unknown(suspect, lost, now)
        return []

    def _is_replaced(self, worker, lost, by_address, now):
        """Whether a lost worker's lease is over and another worker answers at its address.

        The worker itself may be at another address if its entry names one.
        """
        if lost.address not in by_address:
            return False
        if worker is None:
            return self.grace_period.is_over(now)
        return worker.is_lapsed(now) and worker.info.address == lost.address

    def _find_lost_worker(self, lost):
        """Return the worker that an entry names, or None if it is gone.

        An entry of an older release has no start time. It is taken to mean the present incarnation:
        otherwise every restart since then would count as a crash under the task.
        """
        worker = self.workers.get(lost.worker_id)
        if worker is None and lost.born_ms is None:
            worker = self.find_incarnation(lost.registry_id)
        return worker

    def _mark_unknown(self, suspect, lost, now):
        """Count a recorded start as lost: its worker is missing or its lease has expired."""
        suspect.history.lost_runs[lost.worker_id] = structs.replace(lost, fate=LossOutcome.UNKNOWN)
        suspect.history.last_lost_at = now
        suspect.step.job.touch(now)
        suspect.step.job.wake()

    def restore_suspects(self, job):
        """Restore the suspects of a job from the histories recorded by an earlier leader."""
        for step in job.steps.values():
            for task in step.tasks:
                if task.crash_history is not None:
                    self._add_suspect(step, task)
