"""Completion of jobs whose tasks unanswered starts may run again."""

from ._crash_tracker import CrashTracker
from ._job import JobState
from ._unanswered_starts import UnansweredStarts


class CompletionTracker(CrashTracker):
    """Delays the completion of a job while one of its tasks may run again.

    Base of :class:`FailureTracker`.

    Parameters
    ----------
    max_command_delay_s : float, default=12.0
        Longest time after which a worker may execute a command that it has not answered. Unit:
        seconds.
    unanswered_starts : UnansweredStarts, default=None
        Starts of earlier leaders that may still be executed; None: there are none.
    **values
        As for :class:`WorkerTracker`.

    Notes
    -----
    A start that has no answer may be executed seconds later. It does no harm to the incarnation of
    the worker that it was sent to, but would begin a second run on the next one. While such a start
    is left, the end of its task is recorded, and steps that depend on it start; but the job is not
    completed for its client, and the end is not acknowledged to the worker. If the worker is lost,
    its tasks do not start elsewhere.

    `unanswered_starts` are the starts that may still be executed, also those of other leaders.
    `uncompleted_jobs` are the ids of the jobs of which all tasks are done.
    """

    def __init__(self, *, max_command_delay_s=12.0, unanswered_starts=None, **values):
        super().__init__(**values)
        self.max_command_delay_s = max_command_delay_s
        self.unanswered_starts = UnansweredStarts()
        if unanswered_starts is not None:
            self.unanswered_starts = unanswered_starts
        self.uncompleted_jobs = set()

    def start_unanswered(self, worker_id, task, sent_at):
        """Note that a start sent at `sent_at` has no answer and that its run is not listed."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self.unanswered_starts.add(task, worker.info, sent_at + self.max_command_delay_s)

    def _confirm_worker(self, worker, now):
        if not worker.confirmed:
            self.unanswered_starts.remove_fenced(worker.info)
        super()._confirm_worker(worker, now)

    def startable(self, step, waiting, now):
        """Return the waiting tasks of a step that may start now, see :class:`TrialTracker`.

        A task whose worker is lost waits for its unanswered starts: the next incarnation may begin
        it. Long-running tasks do not wait, as their users would have no service.
        """
        if self.unanswered_starts and not (step.spec.speculative or step.spec.long_running):
            waiting = [task for task in waiting if not self._may_begin_elsewhere(task)]
        return super().startable(step, waiting, now)

    def _may_begin_elsewhere(self, task):
        """Whether a later incarnation of a lost worker may begin a run of a task."""
        workers = map(self.workers.get, self.unanswered_starts.worker_ids(task.name))
        return any(
            worker is None or worker.unreachable or worker.is_superseded for worker in workers
        )

    def stop_answered(self, worker_id, task, run_id, now):
        """Note that a worker accepted a stop, and so refuses all starts of the run."""
        run = self._find_run(worker_id, task, run_id)
        if run is not None and not run.has_begun:
            self.unanswered_starts.remove(task, run.worker.info)

    def may_acknowledge(self, end):
        """Whether a recorded end may be acknowledged to its worker."""
        if end.how != "done" or not self.unanswered_starts:
            return True
        # One end stands for all members of a gang.
        step_key = end.task.rpartition(".")[0]
        return not self.unanswered_starts.includes_any(step_key)

    def complete_job(self, job, now):
        """Complete a job whose tasks are all done, now or later; return the resulting actions."""
        if self.unanswered_starts.includes_any(job.job_id):
            self.uncompleted_jobs.add(job.job_id)
            job.state = JobState.RUNNING
            return []
        self.uncompleted_jobs.discard(job.job_id)
        return self._finish(job, JobState.COMPLETED, now)

    def complete_jobs(self, now):
        """Complete the jobs none of whose tasks can run again any more; return the actions."""
        self.unanswered_starts.remove_expired(now)
        actions = []
        for job_id in list(self.uncompleted_jobs):
            job = self.jobs.get(job_id)
            if job is None or job.is_ended:
                self.uncompleted_jobs.discard(job_id)
            else:
                actions += self.complete_job(job, now)
        return actions
