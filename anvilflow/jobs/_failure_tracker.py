"""Counts of failed runs and refused run numbers, and what follows from them."""

from ._actions import NoteRefusedNumber
from ._completion import CompletionTracker
from ._job import SOUND_RUN_S, JobState, TaskState

#: First back-off of a worker that refused or failed tasks without a reason; doubles with each
#: consecutive failure, up to the maximum. Unit: seconds.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

#: Doublings after which the back-off is at its maximum. Without this limit the power of two
#: exceeded the range of a float after 1,025 consecutive failures, and the leader ended with an
#: OverflowError.
MAX_DOUBLINGS = 4

#: Number of consecutive failures at which a worker's back-off begins. Two failures may still be the
#: fault of a single job; this does little harm, because the first back-off is short.
FAILURES_BEFORE_BACKOFF = 2


class FailureTracker(CompletionTracker):
    """Counts failures against tasks, steps and workers.

    Base of :class:`RunTracker`.
    """

    def _task_failed(self, worker, step, task, run_id, run, now):
        job = step.job
        task.avoid.add(worker.info.worker_id)
        if step.spec.long_running:
            self._note_long_running_failure(worker, step, run, now)
            return []
        self._note_worker_failure(worker, now)
        counted = step.tasks[0] if step.spec.gang else task
        if run_id in counted.failed_runs:
            return []
        counted.failed_runs.add(run_id)
        job.touch(now)
        if len(counted.failed_runs) >= job.queue.max_attempts and task.state is not TaskState.DONE:
            return self._finish(job, JobState.FAILED, now)
        return []

    def _note_long_running_failure(self, worker, step, run, now):
        """Count a failure of a long-running task, which may be its own fault or the worker's.

        Against the worker it counts once, and not if the step has failed on other workers as well:
        a worker that fails tasks of several steps is at fault, a step that fails on several workers
        is itself. `run` is None if this leader did not track it.
        """
        if run is not None and now - run.began_at >= SOUND_RUN_S:
            step.failed_on.clear()
        step.failed_on.add(worker.info.worker_id)
        is_first = worker.step_backoffs.note_failure(step.key, now)
        if is_first and len(step.failed_on) == 1:
            self._note_worker_failure(worker, now)

    def _note_worker_success(self, worker):
        worker.step_backoffs.clear()
        worker.n_consecutive_failures = 0
        worker.retry_at = 0.0

    def _note_worker_failure(self, worker, now):
        """Count a failure of a worker; pause its starts for longer after each consecutive one."""
        worker.n_consecutive_failures += 1
        if worker.n_consecutive_failures >= FAILURES_BEFORE_BACKOFF:
            n_doublings = min(
                MAX_DOUBLINGS, worker.n_consecutive_failures - FAILURES_BEFORE_BACKOFF
            )
            backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**n_doublings)
            worker.retry_at = now + backoff_s

    def _note_refused_number(self, run, now):
        """Count a refusal by a worker that has no run of the task: it has had a higher number.

        The task's next run skips numbers, the more the more refusals in a row there were. Returns
        the notes on the refusal.
        """
        step, task = self.find_task(run.task)
        if task is None or step.job.is_ended:
            return []
        task.n_number_refusals += 1
        next_run_id = step.job.run_numbers.next_of(task)
        step.job.note_run_id(next_run_id - 1, now)
        return [
            NoteRefusedNumber(
                worker_id=run.worker.info.worker_id,
                task=run.task,
                run_id=run.run_id,
                n_refusals=task.n_number_refusals,
                next_run_id=next_run_id,
            )
        ]
