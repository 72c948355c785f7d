"""Scheduling decisions of the instance that owns some workers.

The owner places two kinds of work. A service request is dispatched to a worker as soon as it fits.
A task is placed through a hold: the reservation of a place (capacity on one worker) for one
attempt of the task. The coordinator of the customer's jobs requests the hold; once the owner has
granted it, the coordinator starts the attempt in it or releases it.
"""

from collections import Counter

from msgspec import Struct

from ._allocations import AllocationIndex
from ._fair_queue import FairQueue, QueuedItem
from ._messages import (
    Dispatch,
    Hold,
    HoldGranted,
    HoldRefused,
    HoldRevoked,
    Refuse,
    RefuseReason,
)

#: Weight of the latest run time in the moving average per workload.
_LEARNING_RATE = 0.2

#: Minimum `retry_after` of a refusal. Unit: seconds.
_MIN_RETRY_AFTER_S = 0.1

_FOREVER = float("inf")


class _GrantedHold(Struct, kw_only=True):
    """A granted hold whose task has not been started."""

    hold: Hold
    worker: str
    expires: float


class OwnerScheduler:
    """Scheduler of one owner: its queues, and the capacity in use on its workers.

    Unless stated otherwise, methods that change state return a list of messages, defined in
    ``_messages``, for the caller to carry out.

    Parameters
    ----------
    reserve : float, default=0.25
        Share of each worker that is reserved for service requests: tasks leave it free.
    hold_s : float, default=3.0
        Time after which a hold expires, queued or granted, unless its coordinator requests it
        again. Unit: seconds.

    Attributes
    ----------
    run_time_ : dict of str to float
        Moving average of the measured run times per workload. Unit: seconds.

    Notes
    -----
    Three rules isolate a small customer from the load of a large one. The reserve keeps slots free
    of tasks. The customer share limits how many of the slots that tasks leave one customer's
    requests may take. The fair queue places the first request of a customer before the second
    request of any other customer.
    """

    __slots__ = (
        "_granted",
        "_hold_queue",
        "_queue",
        "_running",
        "_slots_by_customer",
        "_started",
        "_task_slots",
        "_tasks_by_worker",
        "_total_slots",
        "_unplaceable_hold_needs",
        "_unplaceable_needs",
        "allocations",
        "hold_s",
        "run_time_",
    )

    def __init__(self, *, reserve=0.25, hold_s=3.0):
        self.hold_s = hold_s
        self.allocations = AllocationIndex(reserve=reserve)
        self.run_time_ = {}
        self._queue = FairQueue()
        self._hold_queue = FairQueue()
        self._running = {}
        self._granted = {}
        self._started = {}
        self._tasks_by_worker = {}
        self._slots_by_customer = Counter()
        self._task_slots = 0
        self._total_slots = 0
        self._unplaceable_needs = set()
        self._unplaceable_hold_needs = set()

    @property
    def n_queued(self):
        """Number of queued requests."""
        return len(self._queue)

    @property
    def n_holds_queued(self):
        """Number of queued holds."""
        return len(self._hold_queue)

    @property
    def n_running(self):
        """Number of requests in progress."""
        return len(self._running)

    @property
    def n_tasks(self):
        """Number of started tasks and granted holds."""
        return len(self._started) + len(self._granted)

    @property
    def n_held(self):
        """Number of granted holds whose task has not been started."""
        return len(self._granted)

    @property
    def free_service_slots(self):
        """Number of slots free for requests."""
        return max(0, self.allocations.total_free("slots", task=False))

    @property
    def free_task_slots(self):
        """Number of slots free for tasks."""
        return max(0, self.allocations.total_free("slots", task=True))

    # Workers

    def add_worker(self, allocation, now, *, tasks=(), requests=(), leaving=False):
        """Add a worker and place queued work on it.

        Parameters
        ----------
        allocation : WorkerAllocation
        now : float
        tasks, requests : iterable of (str, Amounts)
            Identifiers and needs of the work that already runs on the worker, as the worker
            reports it.
        leaving : bool, default=False
            If True, account for the running work but place nothing new.
        """
        self.allocations.add(allocation)
        if leaving:
            self.allocations.close(allocation.worker)
        self._total_slots += allocation.capacity.slots
        for hold_id, needs in tasks:
            self._account_task(hold_id, needs, allocation.worker)
        for request_id, needs in requests:
            self.allocations.take(allocation.worker, request_id, needs, task=False)
        return self._use_freed_capacity(now)

    def remove_worker(self, worker):
        """Remove a worker; return the revocations of the holds granted on it."""
        allocation = self.allocations.remove(worker)
        if allocation is None:
            return []
        self._total_slots -= allocation.capacity.slots
        revoked = [granted for granted in self._granted.values() if granted.worker == worker]
        for granted in revoked:
            self._drop_granted(granted.hold.hold_id)
        for hold_id in self._tasks_by_worker.pop(worker, ()):
            self._task_slots -= self._started.pop(hold_id)[1].slots
        return [HoldRevoked(hold=granted.hold, worker=worker) for granted in revoked]

    def release_untracked_request(self, worker, item_id, now):
        """Free the capacity of a request that runs on a worker but is no longer tracked here.

        Such a request was dispatched by a former owner, or was passed to :meth:`overdue`.
        """
        if not self.allocations.release(worker, item_id):
            return []
        return self._use_freed_capacity(now)

    def close_worker(self, worker):
        """Stop placing work on a worker; running work continues, granted holds are revoked."""
        if self.allocations.is_closed(worker):
            return []
        self.allocations.close(worker)
        revoked = [granted for granted in self._granted.values() if granted.worker == worker]
        for granted in revoked:
            self._drop_granted(granted.hold.hold_id)
        out = [HoldRevoked(hold=granted.hold, worker=worker) for granted in revoked]
        return out if self.allocations.open_allocations() else out + self._refuse_all_queued()

    def reopen_worker(self, worker, now):
        """Resume placing work on a closed worker."""
        if not self.allocations.is_closed(worker):
            return []
        self.allocations.reopen(worker)
        return self._use_freed_capacity(now)

    def set_reserve(self, reserve, now):
        """Set the share of each worker that is reserved for service requests."""
        if reserve == self.allocations.reserve:
            return []
        self.allocations.set_reserve(reserve)
        return self._use_freed_capacity(now)

    # Requests

    def submit(self, request, now):
        """Dispatch or queue a request; refuse it at once if it cannot be served in time."""
        refusal = self._find_refusal(request, now)
        if refusal is not None:
            return [refusal]
        if not len(self._queue):
            # No other request is queued, so fairness needs no queue; going through it only costs
            # time.
            placed = self._place(request)
            if placed is not None:
                return [placed]
        self._queue.push(
            QueuedItem(
                item_id=request.request_id,
                customer=request.customer,
                cost=self._cost(request.needs),
                weight=request.weight,
                deadline=request.deadline,
                value=request,
            )
        )
        return self._place_queued_requests()

    def cancel(self, request_id):
        """Remove a request from the queue; return whether it was queued."""
        return self._queue.remove(request_id) is not None

    def finished(self, request_id, now, *, run_time=None):
        """Free the capacity of a request that has finished."""
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        request, worker = running
        self._free_customer_slots(request)
        self.allocations.release(worker, request_id)
        if run_time is not None:
            self._update_run_time(request, run_time)
        return self._use_freed_capacity(now)

    def overdue(self, request_id):
        """Stop tracking a request that was not answered in time.

        The request may still run, so its capacity on the worker stays taken until
        ``release_untracked_request`` frees it.
        """
        request, _ = self._running.pop(request_id, (None, None))
        if request is not None:
            self._free_customer_slots(request)
        return []

    # Tasks

    def ask_hold(self, hold, now):
        """Grant, queue or refuse a hold; extend a hold that is already granted.

        Requesting a hold again changes only its expiry time, and a hold that is still queued moves
        to the end of its customer's queue.
        """
        granted = self._granted.get(hold.hold_id)
        if granted is not None:
            granted.expires = now + self.hold_s
            return [HoldGranted(hold=hold, worker=granted.worker)]
        if hold.hold_id in self._started:
            return [HoldGranted(hold=hold, worker=self._started[hold.hold_id][0])]
        if not self.allocations.ever_fits(hold.needs, task=True):
            reason = RefuseReason.FITS_NOWHERE if len(self.allocations) else RefuseReason.NO_WORKER
            return [HoldRefused(hold=hold, reason=reason)]
        self._hold_queue.remove(hold.hold_id)
        self._hold_queue.push(
            QueuedItem(
                item_id=hold.hold_id,
                customer=hold.customer,
                cost=self._cost(hold.needs),
                weight=hold.weight,
                deadline=now + self.hold_s,
                value=hold,
            )
        )
        out = self._grant_queued_holds(now)
        if hold.gang and hold.hold_id in self._hold_queue:
            out += self._revoke_younger_holds(hold, now)
        return out

    def release_hold(self, hold_id, now):
        """Release a queued or granted hold; a started task is not affected."""
        self._hold_queue.remove(hold_id)
        if hold_id not in self._granted:
            return []
        self._drop_granted(hold_id)
        return self._use_freed_capacity(now)

    def start(self, hold_id):
        """Turn a granted hold into a started task; return its worker, or None if there is no hold.

        A start that arrives after the hold has expired or been revoked must not run: the
        coordinator may have placed the task elsewhere in the meantime.
        """
        granted = self._granted.pop(hold_id, None)
        if granted is None:
            return None
        self._record_started(hold_id, granted.worker, granted.hold.needs)
        return granted.worker

    def task_ended(self, hold_id, now):
        """Free the capacity of a task that has ended."""
        started = self._started.pop(hold_id, None)
        if started is None:
            return []
        worker, needs = started
        self._tasks_by_worker[worker].discard(hold_id)
        self._task_slots -= needs.slots
        self.allocations.release(worker, hold_id)
        return self._use_freed_capacity(now)

    def worker_of(self, hold_id):
        """Return the worker of a started task, or None."""
        started = self._started.get(hold_id)
        return started[0] if started else None

    def tasks_on(self, worker):
        """Return the hold identifiers of the started tasks on a worker."""
        return list(self._tasks_by_worker.get(worker, ()))

    def tick(self, now):
        """Refuse queued requests and holds past their deadline; revoke expired granted holds."""
        out = [
            Refuse(
                request_id=item.item_id,
                reason=RefuseReason.EXPIRED,
                retry_after=self._estimate_wait(item.value),
            )
            for item in self._queue.expire(now)
        ]
        for item in self._hold_queue.expire(now):
            out.append(HoldRefused(hold=item.value, reason=RefuseReason.EXPIRED))
        expired = [granted for granted in self._granted.values() if granted.expires <= now]
        for granted in expired:
            self._drop_granted(granted.hold.hold_id)
            out.append(HoldRevoked(hold=granted.hold, worker=granted.worker))
        if expired:
            out += self._use_freed_capacity(now)
        return out

    # Internals

    def _find_refusal(self, request, now):
        if not len(self.allocations):
            return self._make_refusal(request, RefuseReason.NO_WORKER)
        if not self.allocations.ever_fits(request.needs, task=False):
            return self._make_refusal(request, RefuseReason.FITS_NOWHERE)
        if self._queue.length_of(request.customer) >= request.queue_limit:
            return self._make_refusal(request, RefuseReason.QUEUE_FULL)
        if request.deadline <= now:
            return self._make_refusal(request, RefuseReason.DEADLINE)
        if now + self._estimate_wait(request) > request.deadline:
            return self._make_refusal(request, RefuseReason.DEADLINE)
        return None

    def _refuse_all_queued(self):
        """Refuse all queued requests and holds.

        Called when this owner has no open worker left. Other owners now have the open workers.
        """
        out = [
            self._make_refusal(item.value, RefuseReason.NO_WORKER) for item in self._queue.clear()
        ]
        for item in self._hold_queue.clear():
            out.append(HoldRefused(hold=item.value, reason=RefuseReason.NO_WORKER))
        return out

    def _make_refusal(self, request, reason):
        return Refuse(
            request_id=request.request_id,
            reason=reason,
            retry_after=max(_MIN_RETRY_AFTER_S, self._estimate_wait(request)),
        )

    def _estimate_wait(self, request):
        """Estimate the time for which a new request of the customer would be queued, in seconds."""
        ahead = self._queue.length_of(request.customer)
        if not ahead:
            return 0.0
        run_time = self.run_time_.get(request.workload, request.run_time)
        return ahead * run_time / self._customer_slot_limit(request)

    def _customer_slot_limit(self, request):
        return max(1, int(request.customer_share * (self._total_slots - self._task_slots)))

    def _free_customer_slots(self, request):
        self._slots_by_customer[request.customer] -= request.needs.slots
        if self._slots_by_customer[request.customer] <= 0:
            del self._slots_by_customer[request.customer]

    def _cost(self, needs):
        allocation = next(iter(self.allocations), None)
        return needs.dominant_share(allocation.capacity) if allocation else 1.0

    def _update_run_time(self, request, run_time):
        average = self.run_time_.get(request.workload, request.run_time)
        self.run_time_[request.workload] = average + _LEARNING_RATE * (run_time - average)

    def _use_freed_capacity(self, now):
        self._unplaceable_needs.clear()
        self._unplaceable_hold_needs.clear()
        out = self._place_queued_requests()
        out += self._grant_queued_holds(now)
        return out

    def _place(self, request):
        """Return a dispatch of the request if it fits now, else None."""
        worker = self._place_for(request)
        if worker is None:
            return None
        self.allocations.take(worker, request.request_id, request.needs, task=False)
        self._slots_by_customer[request.customer] += request.needs.slots
        self._running[request.request_id] = (request, worker)
        return Dispatch(request=request, worker=worker)

    def _place_for(self, request):
        if request.needs in self._unplaceable_needs:
            return None
        if self._slots_by_customer.get(request.customer, 0) >= self._customer_slot_limit(request):
            return None
        worker = self.allocations.best_fit(request.needs, task=False)
        if worker is None:
            self._unplaceable_needs.add(request.needs)
        return worker

    def _place_queued_requests(self):
        out = []
        placed = None

        def accepts(item):
            nonlocal placed
            placed = self._place(item.value)
            return placed is not None

        while len(self._queue) and self._queue.pop_first(accepts) is not None:
            out.append(placed)
        return out

    def _grant_queued_holds(self, now):
        out = []
        found = None

        def accepts(item):
            nonlocal found
            needs = item.value.needs
            if needs in self._unplaceable_hold_needs:
                return False
            found = self.allocations.best_fit(needs, task=True)
            if found is None:
                self._unplaceable_hold_needs.add(needs)
            return found is not None

        while len(self._hold_queue):
            item = self._hold_queue.pop_first(accepts)
            if item is None:
                break
            out.append(self._grant(item.value, found, now))
        return out

    def _grant(self, hold, worker, now):
        self.allocations.take(worker, hold.hold_id, hold.needs, task=True)
        self._task_slots += hold.needs.slots
        self._granted[hold.hold_id] = _GrantedHold(
            hold=hold, worker=worker, expires=now + self.hold_s
        )
        return HoldGranted(hold=hold, worker=worker)

    def _account_task(self, hold_id, needs, worker):
        """Account for a task that already runs on the worker.

        The same hold may still be queued or granted here, if the coordinator requested it before
        it received the result of the start through another owner. If that hold were granted on
        the running task's place, the coordinator's release of it would free the place.
        """
        self._hold_queue.remove(hold_id)
        if hold_id in self._granted:
            self._drop_granted(hold_id)
        self.allocations.take(worker, hold_id, needs, task=True)
        self._task_slots += needs.slots
        self._record_started(hold_id, worker, needs)

    def _record_started(self, hold_id, worker, needs):
        self._started[hold_id] = (worker, needs)
        self._tasks_by_worker.setdefault(worker, set()).add(hold_id)

    def _drop_granted(self, hold_id):
        granted = self._granted.pop(hold_id)
        self._task_slots -= granted.hold.needs.slots
        self.allocations.release(granted.worker, hold_id)

    def _revoke_younger_holds(self, hold, now):
        """Revoke granted holds of younger gang jobs until `hold` fits, youngest first.

        Two gang jobs that each hold half of what the other needs would wait for each other until
        both time out, repeatedly. The older job therefore takes what it needs (wound-wait,
        Rosenkrantz, Stearns and Lewis, 1978): ages are totally ordered, so no cycle of waits can
        form, and the oldest job of the cell always makes progress.
        """
        younger = [
            granted
            for granted in self._granted.values()
            if granted.hold.gang and granted.hold.age > hold.age
        ]
        younger.sort(key=lambda granted: -granted.hold.age)
        out = []
        for granted in younger:
            self._drop_granted(granted.hold.hold_id)
            out.append(HoldRevoked(hold=granted.hold, worker=granted.worker))
            self._unplaceable_hold_needs.clear()
            found = self.allocations.best_fit(hold.needs, task=True)
            if found is not None:
                self._hold_queue.remove(hold.hold_id)
                out.append(self._grant(hold, found, now))
                break
        return out
