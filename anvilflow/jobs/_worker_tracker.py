"""Tracking of the cell's workers: registration, reachability and expiry of their leases."""

from collections import Counter

from ..places import PlaceReserve
from ..speeds import SpeedTracker
from ..tickets import TicketPlanner
from ._account_usage import AccountUsage
from ._actions import StopRun
from ._advice import AllowedShares
from ._dropped_runs import DroppedRuns, RunProof
from ._grace_period import GracePeriod
from ._job import TaskState
from ._run import Run
from ._worker import Worker, lease_end

_NEVER = float("inf")


class WorkerTracker:
    """Tracks the workers and the runs that occupy their capacity.

    Base of :class:`TrialTracker`, which isolates tasks that may crash workers.

    Parameters
    ----------
    term : int
        Number of leaders so far, including this one.
    lease_s, stop_s, now : float
        Duration of the leases, maximum time that a stop takes, and when this leader took over.
        Unit: seconds.
    grace_period : GracePeriod, default=None
        Tracks when the commands and leases of earlier leaders have expired. None: derived from the
        term alone.

    Notes
    -----
    `jobs` holds each :class:`JobRun` by job id, `ended` the states of ended jobs whose end is
    durable, `ended_owners` the names of the accounts of those that have one, `workers` each
    :class:`Worker` by the identity of its incarnation. `places` are reserved for urgent tasks, see
    :class:`PlaceReserve`. `usage` accounts for what the runs of each
    account occupy, `limited_jobs` are by account the jobs that wait for its maximum.
    `registry_version` is the version up to which the leader has read the registry. `nameless` are
    the keys of the registry entries that name no worker; if an entry becomes a worker's, its key is
    the worker's id in the registry. `speeds` is what is learnt of the speeds of workers,
    `explained_runs` counts the slow runs that are left alone since it explains them.

    `freed` are the workers whose free capacity has grown since the last plan. `needs_full_plan`
    means that a change may affect any step, `last_full_plan_at` is the time of the last plan of all
    steps. `advice_in_flight` holds the advice requests in flight, by step, `deferred_advice_steps`
    the steps that wait to request advice, `short_advice_needed_at` the last time at which a step
    needed a short request, `last_worker_in_request` the worker after which the next
    request begins. `pace_changed_at` is, by worker, the last time at which the pace of its
    background tasks changed or could not be raised, see `_pacing`. `dropped_runs` are the runs
    taken for over without their end. `workers_with_more_ends` are the ids of the workers whose
    reports have not held all pending ends yet.
    """

    def __init__(self, *, term, lease_s, stop_s, now, grace_period=None):
        self.term = term
        self.lease_s = lease_s
        self.stop_s = stop_s
        self.jobs = {}
        self.ended = {}
        self.ended_owners = {}
        self.workers = {}
        self.speeds = SpeedTracker()
        self.explained_runs = Counter()
        self.usage = AccountUsage()
        self.limited_jobs = {}
        self.advice_in_flight = {}
        self.deferred_advice_steps = {}
        self.short_advice_needed_at = now
        self.last_worker_in_request = None
        self.allowed_shares = AllowedShares()
        self.ticket_planner = TicketPlanner(now=now)
        self.places = PlaceReserve()
        self.freed = set()
        self.needs_full_plan = True
        self.last_full_plan_at = float("-inf")
        self.nameless = set()
        self._ids_in_row = frozenset()
        self._row_registry_version = 0
        self.pace_changed_at = {}
        self.dropped_runs = DroppedRuns()
        self.workers_with_more_ends = set()
        self._first_start_delays = []
        self.began_at = now
        self.grace_period = grace_period or GracePeriod(term=term, lease_s=lease_s, now=now)
        self.registry_version = 0

    def worker_listed(self, info, now, *, version=0):
        """Add or update a worker listed in the registry; return whether it is new.

        `version` is that of its entry. A worker that registers during a change of leader may be
        found by the former leader alone. Therefore, a new worker gets no tasks until a row that was
        written after the leader had found it is durable: the next leader, whose claim is later
        still, finds the entry or its removal.
        """
        worker = self.workers.get(info.worker_id)
        is_new = worker is None
        if is_new:
            worker = Worker(info=info, lease_over_at=self._unconfirmed_lease_over_at())
            self.workers[info.worker_id] = worker
            self.grace_period.worker_found(info.registry_id)
            # The leader's row may still list the entry as nameless. If the entry were removed, the
            # next leader would not count this worker as missing. Therefore, the worker gets no new
            # tasks until a row without the entry is durable.
            in_row = info.registry_id in self._ids_in_row
            worker.in_handover = in_row or info.registry_id in self.nameless
            worker.found_version = version
            worker.is_recorded = version <= self._row_registry_version
            self.nameless.discard(info.registry_id)
        worker.update_info(info)
        self.speeds.add_worker(info.worker_id, info.service, info.kind)
        worker.listed = True
        self.needs_full_plan = True
        worker.note_leaving(now)
        return is_new

    def _unconfirmed_lease_over_at(self):
        over_at = self.grace_period.leases_over_at
        return _NEVER if over_at is None else over_at

    def _bound_unconfirmed_leases(self):
        """Set when the leases of unconfirmed workers, granted by earlier leaders, end."""
        for worker in self.workers.values():
            if not worker.confirmed:
                worker.lease_over_at = self.grace_period.leases_over_at

    def _confirm_worker(self, worker, now):
        """Note that a worker has responded to this leader, and so refuses earlier leaders."""
        if worker.confirmed:
            return
        worker.confirmed = True
        if worker.answered_address is None:
            worker.answered_address = worker.info.address
        self.needs_full_plan = True
        worker.runs_known = False
        worker.lease_over_at = lease_end(now, self.lease_s)
        current = self.current_workers()
        n_confirmed = sum(each.confirmed for each in current)
        if self.grace_period.workers_confirmed(n_confirmed, len(current), now):
            self._bound_unconfirmed_leases()

    def current_workers(self):
        """Return the workers without those that have started again as another incarnation."""
        return [worker for worker in self.workers.values() if not worker.is_superseded]

    def find_incarnation(self, registry_id):
        """Return the present incarnation of the worker with an id in the registry, or None."""
        return next(
            (
                worker
                for worker in self.workers.values()
                if worker.info.registry_id == registry_id and not worker.is_superseded
            ),
            None,
        )

    def worker_superseded(self, worker_id, now):
        """Note that a worker has started again: this incarnation gets no tasks and is over.

        Its runs keep their tasks until the next incarnation has listed its own, see
        :meth:`worker_ended`: a start that was on its way may have reached that one.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.is_superseded = True
        self.worker_unlisted(worker_id)
        self.worker_unreachable(worker_id, now)

    def worker_reinstated(self, worker_id):
        """Note that an incarnation that counted as over is the present one after all.

        Its runs keep their tasks until it lists its own. Its ends are read again from the first one
        on: without a stated start time, it may be another incarnation, whose numbers begin anew.
        """
        worker = self.workers[worker_id]
        worker.is_superseded = False
        worker.has_listed_all_ends = False
        worker.last_ended = 0
        worker.ack_queue.clear()
        # The outcomes of commands in progress are not reported: their session is closed.
        for run in worker.runs.values():
            if run.state in ("starting", "stopping"):
                run.state = "unknown"
        for orphan in worker.orphan_runs.values():
            orphan.stopped = False

    def worker_unlisted(self, worker_id):
        """Note that a worker left the registry: it gets no new tasks, and its runs continue."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False

    def worker_unreachable(self, worker_id, now):
        """Note that calls to a worker fail: it gets no new tasks until it responds."""
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.unreachable:
            worker.unreachable = True
            worker.unreachable_since = now

    def note_leader_row(self, worker_ids, registry_version):
        """Note which workers the leader's row names, now that the row is durable.

        `worker_ids` includes the keys of the `nameless` entries. The row of a claim names those of
        the former leader. `registry_version` is the version up to which the leader had read the
        registry when it wrote the row; for a claim it is that of the claim itself.
        """
        self._ids_in_row = frozenset(worker_ids)
        self._row_registry_version = registry_version
        for worker_id, worker in self.workers.items():
            is_named = worker_id in worker_ids or worker.info.registry_id in worker_ids
            is_recorded = worker.found_version <= registry_version
            if (worker.in_handover and not is_named) or (is_recorded and not worker.is_recorded):
                self.needs_full_plan = True
            worker.in_handover = is_named
            worker.is_recorded = is_recorded

    # Runs

    def has_job(self, job_id):
        """Whether a job is known, including ended jobs."""
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
        self.usage.add(step.job, step.spec)
        task.runs[worker.info.worker_id] = run
        task.run_id = max(task.run_id, run_id)
        step.job.note_run_id(run_id, now)
        task.state = TaskState.RUNNING
        return run

    def _stop(self, run, now, why):
        if run.state == "stopping":
            return []
        if run.state == "unknown":
            # The stop is sent with the next report.
            run.stopped_at = now if run.stopped_at is None else run.stopped_at
            return []
        if run.state == "recording":
            self._drop_run(run, RunProof.NEVER_SENT, now)
            return []
        run.state = "stopping"
        run.sent_at = now
        if run.stopped_at is None:
            run.stopped_at = now
        return [
            StopRun(worker_id=run.worker.info.worker_id, task=run.task, run_id=run.run_id, why=why)
        ]

    def _free(self, run):
        """Release a run's capacity; the next plan considers the worker again.

        It also considers the jobs that waited for their account's maximum.
        """
        self.places.note_end(run)
        run.worker.remove_run(run)
        self.usage.remove(run.job, run.step)
        self.freed.add(run.worker.info.worker_id)
        self.wake_limited_jobs(run.job.owner)

    def wake_limited_jobs(self, account):
        """Include the jobs in the next plan that wait for their account's maximum."""
        for job_id in self.limited_jobs.pop(account, ()):
            if job_id in self.jobs:
                self.jobs[job_id].wake()

    def _take_orphan_run(self, step, task, now):
        """Assign an orphan run to its task, which has no other run left.

        The orphan run is active or being stopped: a second run must not begin before it has ended.
        Returns whether there is such a run.
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

    def _drop_run(self, run, proof, now):
        """Remove a run that is over by a :class:`RunProof`, although no end was listed."""
        self.dropped_runs.add(run, proof)
        self._free(run)
        step, task = self.find_task(run.task)
        if task is None:
            return
        if task.runs.get(run.worker.info.worker_id) is run:
            del task.runs[run.worker.info.worker_id]
        self._return_to_waiting(step, task, now)

    def _return_to_waiting(self, step, task, now):
        if task.state is not TaskState.DONE and not task.runs:
            if self._take_orphan_run(step, task, now):
                return
            if task.state is TaskState.RUNNING:
                task.waiting_since = now
            task.state = TaskState.WAITING
            step.job.wake()
