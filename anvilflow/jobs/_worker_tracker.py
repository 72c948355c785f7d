"""Workers of the cell: which there are, which answer, until when their leases last."""

from ._actions import StopRun
from ._advice import AllowedShares
from ._grace_period import GracePeriod
from ._job import TaskState
from ._worker import Run, Worker, lease_end

_NEVER = float("inf")


class WorkerTracker:
    """The workers and the runs that take their room.

    Base of :class:`TrialTracker`, which isolates tasks that may crash workers.

    Parameters
    ----------
    term : int
    lease_s, stop_s, now : float
        Length of the leases, longest time that a stop takes, and when this leader took over. Unit:
        seconds.
    grace_period : GracePeriod, default=None
        What is left of earlier leaders; None: what only the term tells.

    Notes
    -----
    `freed` are the workers whose room has grown since the last plan, `needs_full_plan` says that
    something concerns more steps than can be told, `last_full_plan_at` when such a plan was made.
    `asking` holds the asks for advice under way, by step, `held_asks` the steps that wait to ask,
    `asked_last` the worker after which the next ask begins.
    """

    def __init__(self, *, term, lease_s, stop_s, now, grace_period=None):
        self.term = term
        self.lease_s = lease_s
        self.stop_s = stop_s
        self.jobs = {}
        self.ended = {}
        self.workers = {}
        self.asking = {}
        self.held_asks = {}
        self.asked_last = None
        self.allowed_shares = AllowedShares()
        self.freed = set()
        self.needs_full_plan = True
        self.last_full_plan_at = float("-inf")
        self.nameless = set()
        self.pace_changed_at = {}
        self._first_starts = []
        self.began_at = now
        self.grace_period = grace_period or GracePeriod(term=term, lease_s=lease_s, now=now)
        self.registry_version = 0

    def worker_listed(self, info, now):
        """A worker is on the list, perhaps with news of itself; return True when it is new."""
        worker = self.workers.get(info.worker_id)
        is_new = worker is None
        if is_new:
            worker = Worker(info=info, lease_over_at=self._unconfirmed_lease_over_at())
            self.workers[info.worker_id] = worker
            self.grace_period.worker_found(info.worker_id)
            worker.in_handover = info.worker_id in self.nameless
            self.nameless.discard(info.worker_id)
        worker.update_info(info)
        worker.listed = True
        self.needs_full_plan = True
        worker.note_leaving(now)
        return is_new

    def _unconfirmed_lease_over_at(self):
        over_at = self.grace_period.leases_over_at
        return _NEVER if over_at is None else over_at

    def _bound_unconfirmed_leases(self):
        """All leases of earlier leaders have an end now: those of unheard workers, too."""
        for worker in self.workers.values():
            if not worker.confirmed:
                worker.lease_over_at = self.grace_period.leases_over_at

    def _confirm_worker(self, worker, now):
        """Note that a worker has answered this leader: it refuses every earlier one from now on."""
        if worker.confirmed:
            return
        worker.confirmed = True
        self.needs_full_plan = True
        worker.runs_known = False
        worker.lease_over_at = lease_end(now, self.lease_s)
        n_heard = sum(each.confirmed for each in self.workers.values())
        if self.grace_period.heard(n_heard, len(self.workers), now):
            self._bound_unconfirmed_leases()

    def worker_unlisted(self, worker_id):
        """A worker is no longer on the list: it gets no new work, what runs there runs on."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False

    def worker_unreachable(self, worker_id, now, *, connection_refused=False):
        """Calls to a worker fail: it gets no new work until it answers."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.connection_refused = connection_refused
        if not worker.unreachable:
            worker.unreachable = True
            worker.unreachable_since = now

    def note_handover(self, worker_ids):
        """Note which workers the leader's row names, now that it is durable."""
        for worker_id, worker in self.workers.items():
            if worker.in_handover and worker_id not in worker_ids:
                self.needs_full_plan = True
            worker.in_handover = worker_id in worker_ids

    # Runs

    def has_job(self, job_id):
        """Whether a job has been heard of, also when it has ended."""
        return job_id in self.jobs or job_id in self.ended

    def find_task(self, name):
        """Return the step and the task called `name`, or (None, None)."""
        job = self.jobs.get(name.split(".", 1)[0])
        return job.task_named(name) if job is not None else (None, None)

    def _make_run(self, worker, step, task, run_id, now):
        run = Run(
            task=task.name, run_id=run_id, worker=worker, job=step.job, step=step.spec, now=now
        )
        worker.add_run(run)
        task.runs[worker.info.worker_id] = run
        task.run_id = max(task.run_id, run_id)
        task.state = TaskState.RUNNING
        return run

    def _stop(self, run, now, why):
        if run.state == "stopping":
            return []
        if run.state == "recording":
            self._drop_run(run, now)
            return []
        run.state = "stopping"
        run.sent_at = now
        return [
            StopRun(worker_id=run.worker.info.worker_id, task=run.task, run_id=run.run_id, why=why)
        ]

    def _free(self, run):
        """Give a run's room back; the next plan tries the worker again."""
        run.worker.remove_run(run)
        self.freed.add(run.worker.info.worker_id)

    def _take_orphan_run(self, step, task, now):
        """Count a run that had no place here as the task's own, now that no other is left.

        It works, or is being stopped: a second one must not begin before it is over. Returns
        whether there is such a run.
        """
        for worker in self.workers.values():
            for name, run_id in list(worker.orphan_runs):
                if name != task.name:
                    continue
                orphan = worker.orphan_runs.pop((name, run_id))
                run = self._make_run(worker, step, task, run_id, now)
                run.is_adopted = True
                run.state = "barred" if orphan.stopped else "running"
                return True
        return False

    def _drop_run(self, run, now):
        """Forget a run that has certainly ended without a listed end."""
        self._free(run)
        step, task = self.find_task(run.task)
        if task is None:
            return
        if task.runs.get(run.worker.info.worker_id) is run:
            del task.runs[run.worker.info.worker_id]
        self._wait_again(step, task, now)

    def _wait_again(self, step, task, now):
        if task.state is not TaskState.DONE and not task.runs:
            if self._take_orphan_run(step, task, now):
                return
            if task.state is TaskState.RUNNING:
                task.waiting_since = now
            task.state = TaskState.WAITING
            step.job.wake()
