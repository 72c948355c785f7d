"""What the owner of some workers decides: which request or task goes where, and when."""

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

#: Weight of the newest run time in the learned one.
_LEARNING_RATE = 0.2

#: Least time a refused caller is told to wait. Unit: seconds.
_MIN_RETRY_AFTER = 0.1

_FOREVER = float("inf")


class _Held(Struct, kw_only=True):
    """A granted hold that has not started."""

    hold: Hold
    worker: str
    expires: float


class OwnerScheduler:
    """Queues and accounts of one owner.

    Parameters
    ----------
    reserve : float, default=0.25
        Share of each worker that tasks leave free for service requests.
    hold_s : float, default=3.0
        How long a granted hold stays without a sign of its coordinator. Unit: seconds.

    Attributes
    ----------
    run_time_ : dict of str to float
        Learned run time per workload. Unit: seconds.

    Notes
    -----
    A small customer is kept from feeling a large one by three rules. The reserve keeps slots that
    no task takes. A customer's share keeps one customer's requests off the last of the other
    slots. The fair queue puts a customer's first request before the second of any other.
    """

    __slots__ = (
        "_held",
        "_hold_misfits",
        "_hold_queue",
        "_misfits",
        "_on_worker",
        "_queue",
        "_running",
        "_slots_of",
        "_started",
        "_task_slots",
        "_total_slots",
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
        self._held = {}
        self._started = {}
        self._on_worker = {}
        self._slots_of = Counter()
        self._task_slots = 0
        self._total_slots = 0
        self._misfits = set()
        self._hold_misfits = set()

    @property
    def n_queued(self):
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def n_holds_queued(self):
        """Number of holds that wait."""
        return len(self._hold_queue)

    @property
    def n_running(self):
        """Number of requests in progress."""
        return len(self._running)

    @property
    def n_tasks(self):
        """Number of tasks running or held."""
        return len(self._started) + len(self._held)

    @property
    def n_held(self):
        """Number of holds granted and not started."""
        return len(self._held)

    @property
    def free_service_slots(self):
        """Slots that a request could take now."""
        return max(0, self.allocations.total_free("slots", task=False))

    @property
    def free_task_slots(self):
        """Slots that a task could take now."""
        return max(0, self.allocations.total_free("slots", task=True))

    # Workers

    def add_worker(self, allocation, now, *, tasks=(), requests=(), leaving=False):
        """Place work on a worker from now on.

        Parameters
        ----------
        allocation : WorkerAllocation
        now : float
        tasks, requests : iterable of (str, Amounts)
            What already runs there, as the worker itself says.
        leaving : bool, default=False
            Account what runs there, and place nothing.
        """
        self.allocations.add(allocation)
        if leaving:
            self.allocations.close(allocation.worker)
        self._total_slots += allocation.capacity.slots
        for hold_id, needs in tasks:
            self._account_task(hold_id, needs, allocation.worker)
        for request_id, needs in requests:
            self.allocations.take(allocation.worker, request_id, needs, task=False)
        return self._freed(now)

    def remove_worker(self, worker):
        """Forget a worker; return the messages for the holds that it loses with it."""
        allocation = self.allocations.remove(worker)
        if allocation is None:
            return []
        self._total_slots -= allocation.capacity.slots
        lost = [held for held in self._held.values() if held.worker == worker]
        for held in lost:
            self._drop_held(held.hold.hold_id)
        for hold_id in self._on_worker.pop(worker, ()):
            self._task_slots -= self._started.pop(hold_id)[1].slots
        return [HoldRevoked(hold=held.hold, worker=worker) for held in lost]

    def release_foreign(self, worker, item_id, now):
        """Free what a former owner's request took on a worker."""
        if not self.allocations.release(worker, item_id):
            return []
        return self._freed(now)

    def close_worker(self, worker):
        """Place nothing new on a worker; what runs there goes on, what is only held is revoked."""
        if self.allocations.is_closed(worker):
            return []
        self.allocations.close(worker)
        lost = [held for held in self._held.values() if held.worker == worker]
        for held in lost:
            self._drop_held(held.hold.hold_id)
        out = [HoldRevoked(hold=held.hold, worker=worker) for held in lost]
        return out if self.allocations.open_allocations() else out + self._refuse_all()

    def reopen_worker(self, worker, now):
        """Place work on a closed worker again."""
        if not self.allocations.is_closed(worker):
            return []
        self.allocations.reopen(worker)
        return self._freed(now)

    def set_reserve(self, reserve, now):
        """Change the share that tasks leave free."""
        if reserve == self.allocations.reserve:
            return []
        self.allocations.set_reserve(reserve)
        return self._freed(now)

    # Requests

    def submit(self, request, now):
        """Queue a request, or refuse it at once when it cannot be served in time."""
        refusal = self._refusal(request, now)
        if refusal is not None:
            return [refusal]
        if not len(self._queue):
            # Nobody waits, so there is nobody to be fair to: the queue would only cost time.
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
        return self._pump_requests()

    def cancel(self, request_id):
        """Drop a request that still waits; return whether it did."""
        return self._queue.remove(request_id) is not None

    def finished(self, request_id, now, *, run_time=None):
        """Free what a request took."""
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        request, worker = running
        self._free_share(request)
        self.allocations.release(worker, request_id)
        if run_time is not None:
            self._learn(request, run_time)
        return self._freed(now)

    def overdue(self, request_id):
        """Keep the place of a request that gave no answer until ``release_foreign`` frees it."""
        request, _ = self._running.pop(request_id, (None, None))
        if request is not None:
            self._free_share(request)
        return []

    # Tasks

    def ask_hold(self, hold, now):
        """Queue a hold, or keep a known one alive; asking twice changes nothing else."""
        held = self._held.get(hold.hold_id)
        if held is not None:
            held.expires = now + self.hold_s
            return [HoldGranted(hold=hold, worker=held.worker)]
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
        out = self._pump_holds(now)
        if hold.gang and hold.hold_id in self._hold_queue:
            out += self._revoke_for(hold, now)
        return out

    def release_hold(self, hold_id, now):
        """Give up a hold, waiting or granted; a started task is left alone."""
        self._hold_queue.remove(hold_id)
        if hold_id not in self._held:
            return []
        self._drop_held(hold_id)
        return self._freed(now)

    def start(self, hold_id):
        """Turn a granted hold into a started task; return its worker, or None without a hold.

        A start that comes late, after the hold ran out or was revoked, thereby never runs: the
        coordinator may meanwhile have placed the task elsewhere.
        """
        held = self._held.pop(hold_id, None)
        if held is None:
            return None
        self._note_started(hold_id, held.worker, held.hold.needs)
        return held.worker

    def task_ended(self, hold_id, now):
        """Free what a task took."""
        started = self._started.pop(hold_id, None)
        if started is None:
            return []
        worker, needs = started
        self._on_worker[worker].discard(hold_id)
        self._task_slots -= needs.slots
        self.allocations.release(worker, hold_id)
        return self._freed(now)

    def worker_of(self, hold_id):
        """Return the worker of a started task or None."""
        started = self._started.get(hold_id)
        return started[0] if started else None

    def tasks_on(self, worker):
        """Return the started tasks of a worker."""
        return list(self._on_worker.get(worker, ()))

    def tick(self, now):
        """Drop what has waited too long."""
        out = [
            Refuse(
                request_id=item.item_id,
                reason=RefuseReason.EXPIRED,
                retry_after=self._wait(item.value),
            )
            for item in self._queue.expire(now)
        ]
        for item in self._hold_queue.expire(now):
            out.append(HoldRefused(hold=item.value, reason=RefuseReason.EXPIRED))
        lapsed = [held for held in self._held.values() if held.expires <= now]
        for held in lapsed:
            self._drop_held(held.hold.hold_id)
            out.append(HoldRevoked(hold=held.hold, worker=held.worker))
        if lapsed:
            out += self._freed(now)
        return out

    # Internals

    def _refusal(self, request, now):
        if not len(self.allocations):
            return self._refuse(request, RefuseReason.NO_WORKER)
        if not self.allocations.ever_fits(request.needs, task=False):
            return self._refuse(request, RefuseReason.FITS_NOWHERE)
        if self._queue.length_of(request.customer) >= request.queue_limit:
            return self._refuse(request, RefuseReason.QUEUE_FULL)
        if request.deadline <= now:
            return self._refuse(request, RefuseReason.DEADLINE)
        if now + self._wait(request) > request.deadline:
            return self._refuse(request, RefuseReason.DEADLINE)
        return None

    def _refuse_all(self):
        """Refuse what waits here for a worker that will not come; others have the workers now."""
        out = [self._refuse(item.value, RefuseReason.NO_WORKER) for item in self._queue.clear()]
        for item in self._hold_queue.clear():
            out.append(HoldRefused(hold=item.value, reason=RefuseReason.NO_WORKER))
        return out

    def _refuse(self, request, reason):
        return Refuse(
            request_id=request.request_id,
            reason=reason,
            retry_after=max(_MIN_RETRY_AFTER, self._wait(request)),
        )

    def _wait(self, request):
        """Estimate how long a new request of the customer would wait."""
        ahead = self._queue.length_of(request.customer)
        if not ahead:
            return 0.0
        run_time = self.run_time_.get(request.workload, request.run_time)
        return ahead * run_time / self._share_limit(request)

    def _share_limit(self, request):
        return max(1, int(request.customer_share * (self._total_slots - self._task_slots)))

    def _free_share(self, request):
        self._slots_of[request.customer] -= request.needs.slots
        if self._slots_of[request.customer] <= 0:
            del self._slots_of[request.customer]

    def _cost(self, needs):
        allocation = next(iter(self.allocations), None)
        return needs.dominant_share(allocation.capacity) if allocation else 1.0

    def _learn(self, request, run_time):
        known = self.run_time_.get(request.workload, request.run_time)
        self.run_time_[request.workload] = known + _LEARNING_RATE * (run_time - known)

    def _freed(self, now):
        self._misfits.clear()
        self._hold_misfits.clear()
        out = self._pump_requests()
        out += self._pump_holds(now)
        return out

    def _place(self, request):
        """Return a dispatch of the request if it has a place now."""
        worker = self._place_for(request)
        if worker is None:
            return None
        self.allocations.take(worker, request.request_id, request.needs, task=False)
        self._slots_of[request.customer] += request.needs.slots
        self._running[request.request_id] = (request, worker)
        return Dispatch(request=request, worker=worker)

    def _place_for(self, request):
        if request.needs in self._misfits:
            return None
        if self._slots_of.get(request.customer, 0) >= self._share_limit(request):
            return None
        worker = self.allocations.best_fit(request.needs, task=False)
        if worker is None:
            self._misfits.add(request.needs)
        return worker

    def _pump_requests(self):
        out = []
        placed = None

        def accepts(item):
            nonlocal placed
            placed = self._place(item.value)
            return placed is not None

        while len(self._queue) and self._queue.pop_first(accepts) is not None:
            out.append(placed)
        return out

    def _pump_holds(self, now):
        out = []
        found = None

        def accepts(item):
            nonlocal found
            needs = item.value.needs
            if needs in self._hold_misfits:
                return False
            found = self.allocations.best_fit(needs, task=True)
            if found is None:
                self._hold_misfits.add(needs)
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
        self._held[hold.hold_id] = _Held(hold=hold, worker=worker, expires=now + self.hold_s)
        return HoldGranted(hold=hold, worker=worker)

    def _account_task(self, hold_id, needs, worker):
        """Account a task that runs.

        Its own ask may still wait here, made before its start through another owner was heard of.
        Granted now, and then released by its coordinator, it would free the running task's place.
        """
        self._hold_queue.remove(hold_id)
        if hold_id in self._held:
            self._drop_held(hold_id)
        self.allocations.take(worker, hold_id, needs, task=True)
        self._task_slots += needs.slots
        self._note_started(hold_id, worker, needs)

    def _note_started(self, hold_id, worker, needs):
        self._started[hold_id] = (worker, needs)
        self._on_worker.setdefault(worker, set()).add(hold_id)

    def _drop_held(self, hold_id):
        held = self._held.pop(hold_id)
        self._task_slots -= held.hold.needs.slots
        self.allocations.release(held.worker, hold_id)

    def _revoke_for(self, hold, now):
        """Take places from younger gang jobs that only hold them.

        Two jobs that each hold half of what the other needs would wait for each other until both
        time out, again and again. The older one takes what it needs (wound-wait, Rosenkrantz,
        Stearns and Lewis, 1978): ages are totally ordered, so no cycle of waits can form, and the
        oldest job of the cell always gets ahead.
        """
        younger = [
            held for held in self._held.values() if held.hold.gang and held.hold.age > hold.age
        ]
        younger.sort(key=lambda held: -held.hold.age)
        out = []
        for held in younger:
            self._drop_held(held.hold.hold_id)
            out.append(HoldRevoked(hold=held.hold, worker=held.worker))
            self._hold_misfits.clear()
            found = self.allocations.best_fit(hold.needs, task=True)
            if found is not None:
                self._hold_queue.remove(hold.hold_id)
                out.append(self._grant(hold, found, now))
                break
        return out
