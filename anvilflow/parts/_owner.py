"""Owner of workers: places work on them, renews leases and reads their reports.

The owner of a worker is the one instance that may send it work. A worker runs requests, which
callers wait for, and tasks of jobs. For a task, the coordinator of the customer first asks for a
hold: a place that the owner reserves on a worker for one attempt of the task. The hold becomes a
running task when the coordinator starts it.
"""

from collections import deque

from twisted.internet.defer import inlineCallbacks

from ..decisions import (
    Dispatch,
    Hold,
    HoldGranted,
    HoldRefused,
    HoldRevoked,
    LeaseClock,
    Outcome,
    OwnerScheduler,
    Refuse,
    RefuseReason,
    Request,
    WorkerAllocation,
    choose_owner,
)
from ..exceptions import NotFoundError, WorkerRefusedError, WorkerUnreachableError
from ..peers.gen.ttypes import (
    CancelRequest,
    Digest,
    ForwardRequest,
    HoldAnswer,
    HoldAsk,
    HoldRelease,
    RequestEnded,
    Shape,
    TaskAcknowledge,
    TaskAnswer,
    TaskQuery,
    TaskStart,
    TaskStop,
)
from ..resources import ServicePolicy
from ..runtime import Part
from ..utils import jitter
from ._events import CatalogChanged, DigestReady, LeavingChanged, LiveChanged

#: Delay before a worker is claimed again after a failure. Unit: seconds.
_CLAIM_RETRY_DELAY_S = 0.5

#: Period of the check for requests and holds that have waited too long, with and without any
#: waiting. Unit: seconds.
_SWEEP_S = 0.05
_IDLE_SWEEP_S = 0.5

#: Number of consecutive failed syncs after which a worker gets no new work.
_FAILED_SYNCS_TO_CLOSE = 2

#: Renewals of a task within its lease, so that two may be lost. Renewals with each report, twice a
#: second, were most of the bytes sent to a worker with many tasks.
_RENEWALS_PER_LEASE = 3

#: Initial age of the last renewal, so that the first sync renews the leases. Unit: seconds.
_LONG_AGO_S = 1e9

#: Largest number of worker shapes (capacities) in a digest.
_MAX_SHAPES = 8

#: Time after a request's deadline at which its connection to the worker is closed. Unit: seconds.
_REQUEST_GRACE_S = 0.05


class _Owned:
    """State of one worker that this instance owns, for one epoch.

    Parameters
    ----------
    member : MemberInfo
        Entry of the worker on the membership list.
    client : WorkerClient
        Sends calls to the worker under this owner's epoch.

    Attributes
    ----------
    clock : LeaseClock
    allocation : WorkerAllocation
    ticker : Ticker
        Timer of the syncs: calls that renew leases and return a report.
    n_failed : int
        Consecutive failed syncs.
    renewed_at : float
        Time of the last renewal of leases. Unit: seconds.
    starting : set of str
        Holds whose start is not answered yet.
    to_stop : set of str
        Holds whose attempt the worker must stop, or never start.
    ended : dict
        Ended tasks that the coordinator has not acknowledged yet, by hold ID.
    to_forget : set of str
        Acknowledged holds whose results the worker may delete.
    untracked : set of str
        Requests of a former owner that still run on the worker.
    overdue : dict
        Requests without an answer, and the time on the worker's clock up to which it may begin
        each, by request ID.
    """

    __slots__ = (
        "allocation",
        "client",
        "clock",
        "ended",
        "member",
        "missing",
        "n_failed",
        "overdue",
        "renewed_at",
        "starting",
        "ticker",
        "to_forget",
        "to_stop",
        "untracked",
    )

    def __init__(self, *, member, client):
        self.member = member
        self.client = client
        self.clock = None
        self.allocation = None
        self.ticker = None
        self.n_failed = 0
        self.renewed_at = -_LONG_AGO_S
        self.starting = set()
        self.to_stop = set()
        self.missing = set()
        self.ended = {}
        self.to_forget = set()
        self.untracked = set()
        self.overdue = {}


class OwnerPart(Part):
    """Claims the workers that are assigned to this instance and places work on them.

    Safety does not depend on the instances agreeing on which of them are live. After a claim the
    worker refuses every call with an earlier epoch. A former owner that was paused while sending,
    or that has another list of live instances, can therefore place nothing.
    """

    prefix = "owner"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._scheduler = OwnerScheduler(hold_s=context.settings.timing.hold_s)
        self._owned = {}
        self._claiming = set()
        self._origins = {}
        self._arrived = {}
        self._hold_coordinators = {}
        self._stopped = False
        self._actions = deque()
        self._acting = False

    @property
    def n_in_progress(self):
        """Number of requests that wait at this owner or run on its workers."""
        return len(self._origins)

    @property
    def scheduler(self):
        """The :class:`OwnerScheduler` with the queues and the allocations of workers."""
        return self._scheduler

    def start(self):
        """Subscribe to messages and claim the workers that are assigned to this instance."""
        self.on(LiveChanged, lambda *_: self._review())
        self.on(LeavingChanged, lambda *_: self._review())
        self.on(CatalogChanged, self._catalog_changed)
        self.on(ForwardRequest, self._forward)
        self.on(CancelRequest, self._cancel)
        self.on(HoldAsk, self._hold_ask)
        self.on(HoldRelease, self._hold_release)
        self.on(TaskStart, self._task_start)
        self.on(TaskStop, self._task_stop)
        self.on(TaskQuery, self._task_query)
        self.on(TaskAcknowledge, self._task_acknowledge)
        timing = self.context.settings.timing
        self.every(self._sweep_period, self._sweep, delay=_SWEEP_S)
        self.every(timing.heartbeat_s, self._publish_digest, delay=timing.heartbeat_s / 2)
        self._catalog_changed(None, None)
        self._review()

    def stop(self):
        """Stop owning all workers."""
        self._stopped = True
        for name in list(self._owned):
            self._drop(name)
        super().stop()

    def dump(self):
        """Return the lengths of the queues and the state of each owned worker."""
        scheduler = self._scheduler
        return {
            "queued": scheduler.n_queued,
            "running": scheduler.n_running,
            "holds_queued": scheduler.n_holds_queued,
            "tasks": scheduler.n_tasks,
            "workers": {
                name: {
                    "epoch": owned.client.epoch,
                    "failed_syncs": owned.n_failed,
                    "free": list(owned.allocation.free) if owned.allocation else None,
                }
                for name, owned in self._owned.items()
            },
        }

    # Ownership

    def _review(self):
        """Claim the workers assigned to this instance, and drop those that are not any more."""
        context = self.context
        for name, member in context.workers.items():
            is_assigned = choose_owner(context.live, name) == context.name
            if is_assigned and name not in self._owned and name not in self._claiming:
                self._claim(member).addErrback(self.fail_with)
            elif not is_assigned and name in self._owned:
                self._drop(name)
        for name in [name for name in self._owned if name not in context.workers]:
            self._drop(name)
        self._close_leaving()

    def _is_still_assigned(self, name):
        context = self.context
        return (
            not self._stopped
            and name in context.workers
            and choose_owner(context.live, name) == context.name
        )

    @inlineCallbacks
    def _claim(self, member):
        name = member.name
        self._claiming.add(name)
        client = self.context.make_worker(member)
        sent = self.now
        try:
            report = yield client.claim(self.context.name)
        except (WorkerRefusedError, WorkerUnreachableError) as exc:
            self.log.debug("Claim of worker {} failed and will be retried: {}.", name, exc)
            delay = jitter(self.context.random_state, _CLAIM_RETRY_DELAY_S)
            self.later(delay, self._retry_claim, name)
            return
        self._claiming.discard(name)
        if not self._is_still_assigned(name):
            return
        self._take_over(member, client, report, sent)

    def _retry_claim(self, name):
        self._claiming.discard(name)
        if self._is_still_assigned(name):
            self._review()

    def _take_over(self, member, client, report, sent):
        """Own a claimed worker, with the tasks and requests that its report lists as running."""
        owned = _Owned(member=member, client=client)
        owned.clock = LeaseClock(worker_time=report.clock, sent=sent, received=self.now)
        owned.allocation = WorkerAllocation(
            worker=member.name,
            capacity=report.capacity,
            rack=member.rack,
            failure_domain=member.failure_domain,
        )
        owned.untracked = {request_id for request_id, _ in report.requests}
        self._owned[member.name] = owned
        out = self._scheduler.add_worker(
            owned.allocation,
            self.now,
            tasks=report.tasks,
            requests=report.requests,
            leaving=self._is_leaving(member.name),
        )
        owned.ticker = self.every(lambda: self._sync_period(owned), lambda: self._sync(owned))
        self._act(out)
        self.log.info("Worker {} claimed with {} running tasks.", member.name, len(report.tasks))

    def _drop(self, name):
        owned = self._owned.pop(name, None)
        if owned is None:
            return
        owned.ticker.stop()
        self._act(self._scheduler.remove_worker(name))
        self.log.info("Worker {} is no longer owned by this instance.", name)

    def _close_leaving(self):
        """Close the workers that are leaving, so that they get no new work."""
        for name in self._owned:
            if self._is_leaving(name):
                self._act(self._scheduler.close_worker(name))

    def _is_leaving(self, name):
        member = self.context.workers.get(name)
        return member is not None and member.state == "leaving"

    # Reports and leases

    def _sync_period(self, owned):
        """Return the time to the next sync. Unit: seconds.

        A reachable worker with no tasks, pending stops, unacknowledged results, requests of a
        former owner or unanswered requests is synced less often. Syncs of idle workers were the
        largest part of the processor time of an idle instance.
        """
        timing = self.context.settings.timing
        followed = (
            owned.to_stop or owned.overdue or owned.untracked or owned.to_forget or owned.ended
        )
        if followed or owned.n_failed or self._scheduler.tasks_on(owned.member.name):
            return timing.worker_sync_s
        return timing.idle_sync_s

    @inlineCallbacks
    def _sync(self, owned):
        name = owned.member.name
        if self._owned.get(name) is not owned:
            return
        settings = self.context.settings
        sent = self.now
        until = owned.clock.until(sent, settings.lease.task_s)
        renews = sent - owned.renewed_at >= settings.lease.task_s / _RENEWALS_PER_LEASE
        started = self._scheduler.tasks_on(name)
        settled = {hold_id for hold_id in started if hold_id not in owned.starting}
        to_stop = set(owned.to_stop)
        to_forget = set(owned.to_forget)
        untracked = set(owned.untracked)
        try:
            report = yield owned.client.sync(
                renew=[(key, until) for key in started if key not in to_stop] if renews else [],
                stop=sorted(to_stop),
                forget=sorted(to_forget),
            )
        except WorkerUnreachableError as exc:
            self._sync_failed(owned, exc)
            return
        except WorkerRefusedError as exc:
            self._sync_refused(owned, exc)
            return
        if self._owned.get(name) is not owned:
            return
        owned.clock = LeaseClock(worker_time=report.clock, sent=sent, received=self.now)
        if owned.n_failed >= _FAILED_SYNCS_TO_CLOSE and not self._is_leaving(name):
            self._act(self._scheduler.reopen_worker(name, self.now))
        if renews:
            owned.renewed_at = sent
        owned.n_failed = 0
        owned.to_forget -= to_forget
        expired = {key for key, until in owned.overdue.items() if until < report.clock}
        self._take_report(owned, report, settled, to_stop, expired | untracked)

    def _sync_failed(self, owned, exc):
        owned.n_failed += 1
        if owned.n_failed == _FAILED_SYNCS_TO_CLOSE:
            self.log.warning(
                "Worker {} is unreachable and gets no new work: {}.", owned.member.name, exc
            )
            self._act(self._scheduler.close_worker(owned.member.name))

    def _sync_refused(self, owned, exc):
        """Drop a worker that refused a sync, and claim it again after a delay.

        The worker has another owner, has restarted without its state, or no longer exists.
        """
        name = owned.member.name
        if self._owned.get(name) is not owned:
            return
        self.log.info("Worker {} refused a sync: {}.", name, exc)
        self._drop(name)
        self._claiming.add(name)
        delay = jitter(self.context.random_state, _CLAIM_RETRY_DELAY_S)
        self.later(delay, self._retry_claim, name)

    def _take_report(self, owned, report, settled, to_stop, release_candidates):
        now = self.now
        name = owned.member.name
        running = set(report.tasks)
        ended = {task.hold_id: task for task in report.finished}
        for hold_id, task in ended.items():
            if hold_id in owned.to_forget:
                continue
            owned.missing.discard(hold_id)
            owned.ended[hold_id] = task
            self._act(self._scheduler.task_ended(hold_id, now))
            self._notify_coordinator(hold_id, "ended", ok=task.ok, result=task.result)
        for hold_id in settled - running - set(ended):
            if hold_id in to_stop:
                # The worker has confirmed that the attempt does not run and will never be started.
                self._end_lost_task(owned, hold_id)
            else:
                owned.to_stop.add(hold_id)
        for hold_id in to_stop - settled:
            if hold_id not in running:
                owned.to_stop.discard(hold_id)
                self._notify_coordinator(hold_id, "lost")
        for request_id in release_candidates - set(report.requests):
            owned.untracked.discard(request_id)
            owned.overdue.pop(request_id, None)
            self._act(self._scheduler.release_untracked_request(name, request_id, now))

    def _end_lost_task(self, owned, hold_id):
        owned.to_stop.discard(hold_id)
        self._act(self._scheduler.task_ended(hold_id, self.now))
        self._notify_coordinator(hold_id, "lost")

    # Requests

    def _forward(self, source, body):
        if body.request_id in self._origins:
            return
        context = self.context
        now = self.now
        try:
            customer = context.catalog.customer(body.customer)
            workload = context.catalog.workload(body.workload)
            rules = context.catalog.policy_of(workload)
        except NotFoundError as exc:
            self._answer(
                source, body.request_id, Outcome.NOT_RUN, code=exc.code, reason=exc.message
            )
            return
        request = Request(
            request_id=body.request_id,
            customer=customer.name,
            workload=workload.name,
            needs=workload.needs,
            run_time=workload.run_time_s,
            deadline=now + body.remaining_ms / 1000,
            weight=customer.priority,
            queue_limit=rules.queue_limit,
            customer_share=rules.customer_share,
        )
        self._origins[body.request_id] = (source, body.payload)
        self._arrived[body.request_id] = now
        self._act(self._scheduler.submit(request, now))

    def _cancel(self, source, body):
        if self._scheduler.cancel(body.request_id):
            self._end_request(
                body.request_id, Outcome.NOT_RUN, code="AF302", reason=RefuseReason.CANCELLED
            )

    @inlineCallbacks
    def _run_request(self, request, worker):
        owned = self._owned[worker]
        began = self.now
        waited = began - self._arrived[request.request_id]
        _, payload = self._origins[request.request_id]
        self.context.metrics.waited(request.customer, "service", waited)
        self.context.metrics.placements.labels("service").inc()
        remaining = max(0.0, request.deadline - began)
        until = owned.clock.until(began, remaining)
        run_time = None
        try:
            ok, result = yield owned.client.request(
                request_id=request.request_id,
                workload=request.workload,
                needs=request.needs,
                payload=payload,
                until=until,
                timeout=remaining + _REQUEST_GRACE_S,
            )
        except WorkerRefusedError as exc:
            end = (Outcome.NOT_RUN, b"", exc.code, exc.message)
        except WorkerUnreachableError as exc:
            # The request may still run, or may not have reached the worker yet. Its place stays
            # taken until a report no longer lists it. The report must be made after `until`, when
            # the worker would refuse the request as late.
            owned.overdue[request.request_id] = until
            owned.ticker.call_within(self.context.settings.timing.worker_sync_s)
            end = (Outcome.UNKNOWN, b"", exc.code, exc.message)
        else:
            run_time = self.now - began
            end = (Outcome.COMPLETED if ok else Outcome.FAILED, result, "", "")
        outcome, result, code, reason = end
        self._end_request(
            request.request_id,
            outcome,
            result=result,
            code=code,
            reason=reason,
            waited=waited,
            run_time=run_time or 0.0,
        )
        if outcome is Outcome.UNKNOWN:
            self._act(self._scheduler.overdue(request.request_id))
        else:
            self._act(self._scheduler.finished(request.request_id, self.now, run_time=run_time))

    def _end_request(self, request_id, outcome, **values):
        source, _ = self._origins.pop(request_id)
        self._arrived.pop(request_id, None)
        self._answer(source, request_id, outcome, **values)

    def _answer(
        self,
        source,
        request_id,
        outcome,
        *,
        result=b"",
        code="",
        reason="",
        retry_after=0.0,
        waited=0.0,
        run_time=0.0,
    ):
        self.context.send(
            source,
            RequestEnded(
                request_id=request_id,
                outcome=outcome.value,
                result=result,
                code=code,
                reason=str(reason),
                retry_after=retry_after,
                waited=waited,
                run_time=run_time,
            ),
        )

    # Holds and tasks

    def _hold_ask(self, source, body):
        try:
            customer = self.context.catalog.customer(body.customer)
            workload = self.context.catalog.workload(body.workload)
        except NotFoundError:
            self._answer_hold(source, body.hold_id, "refused", reason=RefuseReason.EXPIRED)
            return
        hold = Hold(
            hold_id=body.hold_id,
            customer=customer.name,
            needs=workload.needs,
            age=body.age,
            gang=body.gang,
            weight=customer.priority,
        )
        self._hold_coordinators[body.hold_id] = source
        self._act(self._scheduler.ask_hold(hold, self.now))

    def _hold_release(self, _, body):
        self._hold_coordinators.pop(body.hold_id, None)
        self._act(self._scheduler.release_hold(body.hold_id, self.now))

    def _task_start(self, source, body):
        worker = self._scheduler.start(body.hold_id)
        if worker is None:
            self.context.send(source, _task_answer(body.hold_id, "lost"))
            return
        self._hold_coordinators[body.hold_id] = source
        self.context.metrics.placements.labels("task").inc()
        self._start_on(self._owned[worker], body).addErrback(self.fail_with)

    @inlineCallbacks
    def _start_on(self, owned, body):
        hold_id = body.hold_id
        workload = self.context.catalog.workload(body.workload)
        until = owned.clock.until(self.now, self.context.settings.lease.task_s)
        owned.starting.add(hold_id)
        owned.ticker.call_within(self.context.settings.timing.worker_sync_s)
        try:
            yield owned.client.start(
                hold_id=hold_id,
                needs=workload.needs,
                until=until,
                workload=workload.name,
                payload=body.payload,
            )
        except WorkerRefusedError:
            self._act(self._scheduler.task_ended(hold_id, self.now))
            self._notify_coordinator(hold_id, "lost")
        except WorkerUnreachableError as exc:
            # The task may have started. Its place stays taken until the next reports show whether
            # it has.
            self.log.info("Worker did not answer the start of {}: {}.", hold_id, exc)
        finally:
            owned.starting.discard(hold_id)

    def _task_stop(self, source, body):
        owned = self._owned.get(body.worker)
        if owned is None:
            return
        self._hold_coordinators[body.hold_id] = source
        self._act(self._scheduler.release_hold(body.hold_id, self.now))
        if body.hold_id in owned.ended:
            return
        owned.to_stop.add(body.hold_id)
        owned.ticker.trigger()

    def _task_query(self, source, body):
        """Report the outcome of attempts to the coordinator, if this instance owns the worker.

        An attempt that this owner does not have is reported as lost only after the worker has
        confirmed that it does not run. An owner that was paused may have outdated state while the
        attempt runs under the next owner. Such a former owner gets no confirmation, because the
        worker refuses its call.
        """
        owned = self._owned.get(body.worker)
        if owned is None:
            return
        for hold_id in body.hold_ids:
            self._hold_coordinators[hold_id] = source
            if hold_id in owned.ended:
                task = owned.ended[hold_id]
                self._notify_coordinator(hold_id, "ended", ok=task.ok, result=task.result)
            elif self._scheduler.worker_of(hold_id) is None:
                self._act(self._scheduler.release_hold(hold_id, self.now))
                owned.to_stop.add(hold_id)
                owned.ticker.trigger()

    def _task_acknowledge(self, _, body):
        self._hold_coordinators.pop(body.hold_id, None)
        for owned in self._owned.values():
            if owned.ended.pop(body.hold_id, None) is not None:
                owned.to_forget.add(body.hold_id)

    def _notify_coordinator(self, hold_id, verdict, *, ok=False, result=""):
        coordinator = self._hold_coordinators.get(hold_id)
        customer = hold_id.split("/", 1)[0]
        coordinator = choose_owner(self.context.live, f"home/{customer}") or coordinator
        if coordinator is not None:
            self.context.send(coordinator, _task_answer(hold_id, verdict, ok=ok, result=result))

    def _answer_hold(self, coordinator, hold_id, verdict, *, worker="", reason=""):
        if coordinator is not None:
            self.context.send(
                coordinator,
                HoldAnswer(hold_id=hold_id, verdict=verdict, worker=worker, reason=str(reason)),
            )

    # Carrying out decisions

    def _act(self, messages):
        """Carry out decisions in the order in which they were made.

        Carrying out a decision may cause further decisions at once, when it sends a message to a
        part of the same process. These are queued behind the earlier decisions. Carried out
        immediately, they could for example answer a request that has not been dispatched yet.
        """
        self._actions.extend(messages)
        if self._acting:
            return
        self._acting = True
        try:
            while self._actions:
                self._carry_out(self._actions.popleft())
        finally:
            self._acting = False

    def _carry_out(self, message):
        match message:
            case Dispatch(request=request, worker=worker):
                self._run_request(request, worker).addErrback(self.fail_with)
            case Refuse():
                self._end_request(
                    message.request_id,
                    Outcome.NOT_RUN,
                    code="AF302",
                    reason=message.reason,
                    retry_after=message.retry_after,
                )
            case HoldGranted(hold=hold, worker=worker):
                coordinator = self._hold_coordinators.get(hold.hold_id)
                self._answer_hold(coordinator, hold.hold_id, "granted", worker=worker)
            case HoldRefused(hold=hold, reason=reason):
                coordinator = self._hold_coordinators.pop(hold.hold_id, None)
                self._answer_hold(coordinator, hold.hold_id, "refused", reason=reason)
            case HoldRevoked(hold=hold):
                coordinator = self._hold_coordinators.pop(hold.hold_id, None)
                self._answer_hold(coordinator, hold.hold_id, "refused", reason=RefuseReason.EXPIRED)

    def _sweep_period(self):
        scheduler = self._scheduler
        waits = scheduler.n_queued or scheduler.n_holds_queued or scheduler.n_held
        return _SWEEP_S if waits else _IDLE_SWEEP_S

    def _sweep(self):
        self._act(self._scheduler.tick(self.now))

    def _catalog_changed(self, _, __):
        catalog = self.context.catalog
        reserves = [
            policy.rules.reserve
            for policy in map(catalog.get, catalog.keys("Policy/"))
            if isinstance(policy.rules, ServicePolicy)
        ]
        if reserves:
            self._act(self._scheduler.set_reserve(max(reserves), self.now))

    def _publish_digest(self):
        scheduler = self._scheduler
        allocations = scheduler.allocations.open_allocations()
        shapes = {allocation.capacity for allocation in allocations}
        digest = Digest(
            n_workers=len(allocations),
            free_service_slots=scheduler.free_service_slots,
            free_task_slots=scheduler.free_task_slots,
            n_queued=scheduler.n_queued,
            n_holds_queued=scheduler.n_holds_queued,
            shapes=[
                Shape(
                    cpu_milli=shape.cpu_milli,
                    memory_mb=shape.memory_mb,
                    accelerators=shape.accelerators,
                    slots=shape.slots,
                )
                for shape in list(shapes)[:_MAX_SHAPES]
            ],
        )
        self.post(DigestReady(digest=digest))


def _task_answer(hold_id, verdict, *, ok=False, result=""):
    return TaskAnswer(hold_id=hold_id, verdict=verdict, ok=ok, result=result)
