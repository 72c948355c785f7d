"""Coordinator of customers' jobs: reserves places for tasks and records their progress.

The coordinator of a customer is the instance that runs the customer's jobs. It asks the owners of
workers for holds. A hold is a place that an owner reserves on a worker for one attempt of a task.
Once a hold is granted, the coordinator records in the table where the attempt will run, and only
then asks the owner to start it.
"""

from collections import deque

from twisted.internet.defer import inlineCallbacks

from ..clients import Condition, Write
from ..decisions import (
    AckTask,
    AskHold,
    JobCoordinator,
    RecordEnd,
    RecordIntent,
    RecordPhase,
    RefuseReason,
    ReleaseHold,
    StartTask,
    StopTask,
    choose_owner,
)
from ..exceptions import AnvilflowError, PlatformError, PreconditionError
from ..peers.gen.ttypes import (
    HoldAnswer,
    HoldAsk,
    HoldRelease,
    StatusAnswer,
    StatusAsk,
    TaskAcknowledge,
    TaskAnswer,
    TaskQuery,
    TaskStart,
    TaskStop,
)
from ..resources import JobPhase, WorkKind
from ..runtime import Part
from ..utils import encode, jitter
from ._events import CatalogChanged, CommitRequest, LeavingChanged, LiveChanged, PeerDown

#: Period of the requests for holds, with and without customers to coordinate. Unit: seconds.
_TICK_S = 0.05
_IDLE_TICK_S = 0.5

#: Period of the queries to owners for the states of tasks. Unit: seconds.
_QUERY_S = 1.0

#: Delay before a failed take-over, object upload or write of a phase is retried. Unit: seconds.
_RETRY_DELAY_S = 0.5

#: Largest result that is stored in the task's row; others go to the object store. Unit: bytes.
INLINE_RESULT_BYTES = 4096

_ENDED = {JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED}


def coordinator_key(customer):
    """Return the key of a customer's coordinator.

    It is the key of the coordinator's row, and the instance is chosen by it.
    """
    return f"home/{customer}"


class _Coordinator:
    """State of one customer whose jobs this instance coordinates.

    Parameters
    ----------
    scheduler : JobCoordinator
    epoch : int
        Version of the coordinator's row as this instance wrote it.

    Attributes
    ----------
    records : dict
        Task records, read at the take-over, of jobs that the scheduler does not have yet, by job.
    owners : dict
        Instance that was asked for a hold, by hold ID.
    stopping : dict
        Worker of each attempt whose stop is not confirmed yet, by hold ID.
    """

    __slots__ = ("epoch", "owners", "records", "scheduler", "stopping")

    def __init__(self, *, scheduler, epoch):
        self.scheduler = scheduler
        self.epoch = epoch
        self.records = {}
        self.owners = {}
        self.stopping = {}


class CoordinatorPart(Part):
    """Runs the jobs of the customers that are assigned to this instance.

    The coordinator's row in the table is its fence. An intent (which attempt will run on which
    worker) and an end of a task are recorded on the condition that the row still has the version
    that this coordinator wrote. A coordinator that was paused while another instance took over can
    therefore record nothing, and an attempt whose intent is not recorded is not started.
    """

    prefix = "home"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._coordinators = {}
        self._loading = set()
        self._submitted = {}
        self._stopped = False
        self._actions = deque()
        self._acting = False

    def start(self):
        """Subscribe to messages and take over the customers that are assigned to this instance."""
        self.on(LiveChanged, lambda *_: self._review())
        self.on(LeavingChanged, lambda *_: self._review())
        self.on(CatalogChanged, self._catalog_changed)
        self.on(PeerDown, self._peer_down)
        self.on(HoldAnswer, self._hold_answer)
        self.on(TaskAnswer, self._task_answer)
        self.on(StatusAsk, self._status_ask)
        self.every(
            lambda: _TICK_S if self._coordinators else _IDLE_TICK_S, self._tick, delay=_TICK_S
        )
        self.every(_QUERY_S, self._query, delay=_QUERY_S)
        self._review()

    def stop(self):
        """Stop coordinating all customers."""
        self._stopped = True
        self._coordinators.clear()
        super().stop()

    def dump(self):
        """Return the epoch and the statuses of jobs, by customer."""
        return {
            customer: {
                "epoch": coordinator.epoch,
                "jobs": {
                    name: coordinator.scheduler.status(name)
                    for name in coordinator.scheduler.names()
                },
            }
            for customer, coordinator in self._coordinators.items()
        }

    # Assignment of customers

    def _active_jobs(self):
        jobs = {}
        for job in self.context.catalog.jobs():
            if job.phase not in _ENDED:
                jobs.setdefault(job.customer, []).append(job)
        return jobs

    def _is_assigned(self, customer):
        context = self.context
        return (
            not self._stopped
            and choose_owner(context.live, coordinator_key(customer)) == context.name
        )

    def _review(self):
        for customer in [name for name in self._coordinators if not self._is_assigned(name)]:
            del self._coordinators[customer]
            self.log.info("Jobs of {} are no longer coordinated by this instance.", customer)
        for customer in self._active_jobs():
            if self._is_assigned(customer) and customer not in self._coordinators:
                self._load(customer)

    def _load(self, customer):
        if customer in self._loading:
            return
        self._loading.add(customer)
        done = self._take_over(customer)
        done.addErrback(self._load_failed, customer)
        done.addErrback(self.fail_with)

    def _load_failed(self, failure, customer):
        failure.trap(PlatformError)
        self.log.debug(
            "Take-over of the jobs of {} failed and will be retried: {}.", customer, failure.value
        )
        self.later(jitter(self.context.random_state, _RETRY_DELAY_S), self._retry_load, customer)

    def _retry_load(self, customer):
        self._loading.discard(customer)
        if self._is_assigned(customer):
            self._review()

    @inlineCallbacks
    def _take_over(self, customer):
        """Become the customer's coordinator: claim the row, then read the records of tasks.

        The records are read after the row is claimed. From the claim on, the former coordinator
        can write no record, so none can be missing from those that were read.
        """
        table = self.context.table
        key = coordinator_key(customer)
        [row] = yield table.read([key])
        epoch = yield table.commit(
            [Condition(key=key, version=row.version)],
            [Write(key=key, value={"holder": self.context.name})],
        )
        rows = yield table.scan_all(f"task/{customer}/")
        self._loading.discard(customer)
        if not self._is_assigned(customer):
            return
        limits = self.context.settings.limits
        scheduler = JobCoordinator(
            customer=customer,
            window=limits.holds_per_customer,
            hold_s=self.context.settings.timing.hold_s,
        )
        coordinator = _Coordinator(scheduler=scheduler, epoch=epoch)
        self._coordinators[customer] = coordinator
        for row in rows:
            _, _, job, index = row.key.split("/")
            value = row.value
            record = (int(index), value["attempt"], value["state"], value["worker"])
            coordinator.records.setdefault(job, []).append(record)
        self.log.info("Jobs of {} are now coordinated by this instance.", customer)
        self._add_jobs(customer)

    def _catalog_changed(self, _, event):
        for customer in list(self._coordinators):
            self._add_jobs(customer, event.keys)
        self._review()

    def _add_jobs(self, customer, keys=None):
        coordinator = self._coordinators[customer]
        declared = self.context.catalog.get(f"Customer/{customer}")
        coordinator.scheduler.quota = declared.quota if declared else None
        names = keys if keys is not None else self.context.catalog.keys(f"Job/{customer}/")
        for key in names:
            if not key.startswith(f"Job/{customer}/"):
                continue
            job = self.context.catalog.get(key)
            if job is None or job.phase in _ENDED:
                continue
            if job.name in coordinator.scheduler:
                if job.phase is JobPhase.CANCELLING:
                    self._act(coordinator, coordinator.scheduler.cancel_job(job.name))
                continue
            self._add_job(coordinator, job)

    def _add_job(self, coordinator, job):
        # The configuration of this instance may be older than the records. A job that it shows only
        # now may have been run by a former coordinator, so the job gets the records that were read
        # at the take-over.
        catalog = self.context.catalog
        try:
            workload = catalog.workload(job.workload)
            rules = catalog.policy_of(workload)
        except AnvilflowError as exc:
            self.log.warning("Job {}/{} cannot run: {}.", job.customer, job.name, exc)
            return
        declared = catalog.get(f"Customer/{job.customer}")
        self._submitted.setdefault((job.customer, job.name), self.now)
        out = coordinator.scheduler.add_job(
            job,
            age=catalog.revision_of(f"Job/{job.customer}/{job.name}"),
            needs=workload.needs,
            gang=workload.work is WorkKind.GANG,
            max_attempts=rules.max_attempts,
            weight=declared.priority if declared else 100,
            now=self.now,
            records=coordinator.records.pop(job.name, ()),
        )
        self._act(coordinator, out)

    # Messages from owners

    def _find(self, hold_id):
        return self._coordinators.get(hold_id.split("/", 1)[0])

    def _hold_answer(self, source, body):
        coordinator = self._find(body.hold_id)
        if coordinator is None:
            if body.verdict == "granted":
                self.context.send(source, HoldRelease(hold_id=body.hold_id))
            return
        if coordinator.owners.get(body.hold_id) != source:
            # The request that this answers was abandoned, and the hold requested of another owner.
            if body.verdict == "granted":
                self.context.send(source, HoldRelease(hold_id=body.hold_id))
            return
        if body.verdict == "granted":
            out = coordinator.scheduler.hold_granted(body.hold_id, body.worker, self.now)
        else:
            coordinator.owners.pop(body.hold_id, None)
            out = coordinator.scheduler.hold_refused(body.hold_id, body.reason, self.now)
        self._act(coordinator, out)

    def _task_answer(self, source, body):
        coordinator = self._find(body.hold_id)
        if coordinator is None:
            return
        coordinator.stopping.pop(body.hold_id, None)
        if body.verdict == "ended":
            coordinator.owners[body.hold_id] = source
            out = coordinator.scheduler.task_ended(body.hold_id, body.ok, body.result)
            if not out and not coordinator.scheduler.is_ending(body.hold_id):
                out = [AckTask(hold_id=body.hold_id)]
        else:
            coordinator.owners.pop(body.hold_id, None)
            out = coordinator.scheduler.task_lost(body.hold_id)
        self._act(coordinator, out)

    def _peer_down(self, _, event):
        """Request the holds of a disconnected owner from other owners."""
        for coordinator in self._coordinators.values():
            lost = [key for key, owner in coordinator.owners.items() if owner == event.instance]
            for hold_id in lost:
                del coordinator.owners[hold_id]
                self._act(
                    coordinator,
                    coordinator.scheduler.hold_refused(hold_id, RefuseReason.EXPIRED, self.now),
                )

    def _query(self):
        """Query the owners for the tasks that should run; repeat the unconfirmed stops."""
        context = self.context
        for coordinator in self._coordinators.values():
            by_worker = {}
            for hold_id, worker in coordinator.scheduler.bound_tasks().items():
                by_worker.setdefault(worker, []).append(hold_id)
            for worker, hold_ids in by_worker.items():
                owner = choose_owner(context.live, worker)
                if owner is not None:
                    context.send(owner, TaskQuery(worker=worker, hold_ids=hold_ids))
            for hold_id, worker in coordinator.stopping.items():
                self._send_stop(hold_id, worker)

    def _send_stop(self, hold_id, worker):
        owner = choose_owner(self.context.live, worker)
        if owner is not None:
            self.context.send(owner, TaskStop(hold_id=hold_id, worker=worker))

    # Carrying out decisions

    def _tick(self):
        for coordinator in list(self._coordinators.values()):
            self._act(coordinator, coordinator.scheduler.tick(self.now))

    def _act(self, coordinator, messages):
        """Carry out decisions in the order in which they were made, see ``OwnerPart._act``."""
        self._actions.extend((coordinator, message) for message in messages)
        if self._acting:
            return
        self._acting = True
        try:
            while self._actions:
                self._carry_out(*self._actions.popleft())
        finally:
            self._acting = False

    def _carry_out(self, coordinator, message):
        match message:
            case AskHold():
                self._ask_hold(coordinator, message)
            case ReleaseHold(hold_id=hold_id):
                owner = coordinator.owners.pop(hold_id, None)
                if owner is not None:
                    self.context.send(owner, HoldRelease(hold_id=hold_id))
            case RecordIntent():
                self._record_intent(coordinator, message)
            case StartTask():
                self._start_task(coordinator, message)
            case StopTask(hold_id=hold_id, worker=worker):
                coordinator.stopping[hold_id] = worker
                self._send_stop(hold_id, worker)
            case RecordEnd():
                self._record_end(coordinator, message)
            case AckTask(hold_id=hold_id):
                self._acknowledge(coordinator, hold_id)
            case RecordPhase():
                self._write_phase(coordinator, message)

    def _ask_hold(self, coordinator, message):
        hold = message.hold
        owner = coordinator.owners.get(hold.hold_id) if message.again else self._choose_owner(hold)
        if owner is None:
            self._act(
                coordinator,
                coordinator.scheduler.hold_refused(hold.hold_id, RefuseReason.NO_WORKER, self.now),
            )
            return
        coordinator.owners[hold.hold_id] = owner
        request = HoldAsk(
            hold_id=hold.hold_id,
            customer=hold.customer,
            workload=message.workload,
            age=hold.age,
            gang=hold.gang,
        )
        if not self.context.send(owner, request):
            coordinator.owners.pop(hold.hold_id, None)
            self._act(
                coordinator,
                coordinator.scheduler.hold_refused(hold.hold_id, RefuseReason.NO_WORKER, self.now),
            )

    def _choose_owner(self, hold):
        """Return the owner with more free places of two random ones, by their last digests.

        This is Mitzenmacher's "power of two choices". Return None when no owner has a worker that
        is large enough.
        """
        digests = self.context.digests
        candidates = [
            name
            for name in self.context.live
            if name in digests and any(_fits(hold.needs, shape) for shape in digests[name].shapes)
        ]
        if not candidates:
            return None
        sampled = self.context.random_state.sample(candidates, min(2, len(candidates)))
        best = max(sampled, key=lambda name: _free_task_places(digests[name]))
        # The place counts as taken until the next digest. Otherwise all tasks of a burst would go
        # to the owner that had the most free places in the last digests.
        digests[best].free_task_slots -= hold.needs.slots
        return best

    def _record_intent(self, coordinator, message):
        customer = message.customer
        hold_ids = []
        writes = []
        for task in message.tasks:
            hold_ids.append(f"{customer}/{message.job}/{task.index}/{task.attempt}")
            value = {"attempt": task.attempt, "state": "placed", "worker": task.worker}
            writes.append(Write(key=f"task/{customer}/{message.job}/{task.index}", value=value))

        def done(error):
            if self._check_written(customer, coordinator, error):
                self._act(coordinator, coordinator.scheduler.intent_recorded(message.job, hold_ids))

        self._commit(coordinator, customer, writes, done)

    def _record_end(self, coordinator, message):
        """Record the end of a task; a large result goes to the object store first.

        The row is written only after the object is stored. Until then the worker keeps the result,
        and the upload is retried under the same key until it succeeds.
        """
        if len(message.result) <= INLINE_RESULT_BYTES:
            self._write_end(coordinator, message, {"result": message.result})
            return
        key = f"result/{message.hold_id}"
        done = self.context.objects.put(key, message.result.encode())
        done.addCallbacks(
            lambda _: self._write_end(coordinator, message, {"object": key}),
            lambda failure: self._put_failed(failure, coordinator, message),
        )
        done.addErrback(self.fail_with)

    def _put_failed(self, failure, coordinator, message):
        failure.trap(PlatformError)
        if self._coordinators.get(message.customer) is coordinator:
            delay = jitter(self.context.random_state, _RETRY_DELAY_S)
            self.later(delay, self._record_end, coordinator, message)

    def _write_end(self, coordinator, message, result):
        value = {
            "attempt": message.attempt,
            "state": "done" if message.ok else "failed",
            "worker": "",
            **result,
        }
        key = f"task/{message.customer}/{message.job}/{message.index}"

        def done(error):
            if self._check_written(message.customer, coordinator, error):
                self._acknowledge(coordinator, message.hold_id)
                self._act(
                    coordinator, coordinator.scheduler.end_recorded(message.hold_id, message.ok)
                )

        self._commit(coordinator, message.customer, [Write(key=key, value=value)], done)

    def _commit(self, coordinator, customer, writes, done):
        condition = Condition(key=coordinator_key(customer), version=coordinator.epoch)
        self.post(CommitRequest(conditions=[condition], writes=writes, done=done))

    def _check_written(self, customer, coordinator, error):
        """Return whether a commit succeeded and this instance still coordinates the customer.

        When the commit failed because another instance has claimed the coordinator's row, stop
        coordinating the customer.
        """
        if self._coordinators.get(customer) is not coordinator:
            return False
        if error is None:
            return True
        if not isinstance(error, PreconditionError):
            return False
        self.log.warning(
            "Jobs of {} were taken over by another instance; a record was refused.",
            customer,
        )
        del self._coordinators[customer]
        self.later(jitter(self.context.random_state, _RETRY_DELAY_S), self._retry_load, customer)
        return False

    def _start_task(self, coordinator, message):
        customer, job, _, _ = message.hold_id.split("/")
        submitted = self._submitted.get((customer, job), self.now)
        kind = "gang" if coordinator.scheduler.is_gang(job) else "batch"
        self.context.metrics.waited(customer, kind, self.now - submitted)
        owner = coordinator.owners.get(message.hold_id)
        start = TaskStart(
            hold_id=message.hold_id, workload=message.workload, payload=message.payload
        )
        if owner is not None:
            # When this message is lost, the answer to the next query reports the attempt as lost.
            self.context.send(owner, start)

    def _acknowledge(self, coordinator, hold_id):
        owner = coordinator.owners.pop(hold_id, None)
        if owner is not None:
            self.context.send(owner, TaskAcknowledge(hold_id=hold_id))

    def _write_phase(self, coordinator, message):
        key = f"Job/{message.customer}/{message.job}"

        def changed(job):
            if job is None or job.phase in _ENDED:
                return job
            if job.phase is JobPhase.CANCELLING and message.phase is JobPhase.RUNNING:
                return job
            job.phase = message.phase
            job.n_done = message.n_done
            job.n_failed = message.n_failed
            job.reason = message.reason
            return job

        done = self.context.resources.write(key, None, check=changed)
        done.addCallbacks(
            lambda _: self._phase_written(coordinator, message),
            lambda failure: self._phase_failed(failure, coordinator, message),
        )
        done.addErrback(self.fail_with)

    def _phase_written(self, coordinator, message):
        coordinator.scheduler.phase_recorded(message.job, message.phase)
        self.context.changes.trigger()

    def _phase_failed(self, failure, coordinator, message):
        if self._coordinators.get(message.customer) is not coordinator:
            return
        if not failure.check(PlatformError):
            coordinator.scheduler.phase_recorded(message.job, JobPhase.CANCELLED)
            return
        delay = jitter(self.context.random_state, _RETRY_DELAY_S)
        self.later(delay, self._write_phase, coordinator, message)

    # Status

    def _status_ask(self, source, body):
        if body.topic != "job":
            return
        customer, job = body.key.split("/", 1)
        coordinator = self._coordinators.get(customer)
        status = coordinator.scheduler.status(job) if coordinator else None
        self.context.send(source, StatusAnswer(call=body.call, body=encode(status)))


def _fits(needs, shape):
    return (
        needs.cpu_milli <= shape.cpu_milli
        and needs.memory_mb <= shape.memory_mb
        and needs.accelerators <= shape.accelerators
        and needs.slots <= shape.slots
    )


def _free_task_places(digest):
    return digest.free_task_slots - digest.n_holds_queued
