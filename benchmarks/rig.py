"""Simulation of the decision code under seeded random arrivals, in virtual time.

The simulation is not a model of a cluster: run times are given, messages take no time and nothing
fails.
"""

import heapq
import itertools
from random import Random

from hdrh.histogram import HdrHistogram

from anvilflow.decisions import (
    Dispatch,
    Hold,
    HoldGranted,
    OwnerScheduler,
    Refuse,
    Request,
    WorkerAllocation,
)
from anvilflow.metrics import summarize
from anvilflow.resources import Amounts

LOOKUP = Amounts(cpu_milli=500, memory_mb=512)
REFRESH = Amounts(cpu_milli=1000, memory_mb=1024)

_MAX_WAIT_US = 3_600_000_000
_DIGEST_S = 0.25
_TICK_S = 0.05


class FirstComeFirstServed:
    """Baseline scheduler: one queue, first come, first served, on the first worker that fits."""

    def __init__(self, *, reserve=0.25, hold_s=3.0):
        self.queue = []
        self.allocations = []
        self.placements = {}

    def add_worker(self, allocation, now):
        """Add a worker."""
        self.allocations.append(allocation)
        return []

    def submit(self, request, now):
        """Append a request to the queue."""
        self.queue.append((request.request_id, request.needs, request))
        return self._place_waiting()

    def ask_hold(self, hold, now):
        """Append a task to the same queue."""
        self.queue.append((hold.hold_id, hold.needs, hold))
        return self._place_waiting()

    def start(self, hold_id):
        """Do nothing: the capacity is taken when the hold is granted."""

    def finished(self, item, now, *, run_time=None):
        """Free the capacity of an item that has ended."""
        allocation, needs = self.placements.pop(item)
        _add_to_free(allocation, needs, 1)
        return self._place_waiting()

    task_ended = finished

    def tick(self, now):
        """Return no messages, as nothing expires."""
        return []

    @property
    def free_service_slots(self):
        """Number of free slots."""
        return sum(allocation.free[3] for allocation in self.allocations)

    @property
    def n_queued(self):
        """Number of waiting items."""
        return len(self.queue)

    def _place_waiting(self):
        out = []
        while self.queue:
            item, needs, value = self.queue[0]
            allocation = next(
                (allocation for allocation in self.allocations if _fits(allocation, needs)), None
            )
            if allocation is None:
                break
            self.queue.pop(0)
            _add_to_free(allocation, needs, -1)
            self.placements[item] = (allocation, needs)
            dispatch = Dispatch(request=value, worker=allocation.worker)
            out.append(
                dispatch if isinstance(value, Request) else HoldGranted(hold=value, worker="")
            )
        return out


def _fits(allocation, needs):
    return needs.cpu_milli <= allocation.free[0] and needs.slots <= allocation.free[3]


def _add_to_free(allocation, needs, sign):
    allocation.free[0] += sign * needs.cpu_milli
    allocation.free[3] += sign * needs.slots


class Simulation:
    """Simulation of the schedulers of several owners, with the waiting times of each customer.

    Parameters
    ----------
    make_scheduler : callable
        Returns the scheduler of one owner.
    n_owners, n_workers : int
    capacity : Amounts
        Capacity of each worker.
    random_state : int
    """

    def __init__(self, *, make_scheduler, n_owners, n_workers, capacity, random_state):
        self.random_state = Random(random_state)
        self.capacity = capacity
        self.now = 0.0
        self.waits = {}
        self.n_refused = {}
        self.busy_slot_s = 0.0
        self.n_placed = 0
        self._events = []
        self._numbers = itertools.count()
        self._arrived = {}
        self._run_times = {}
        self.schedulers = [make_scheduler() for _ in range(n_owners)]
        self._digests = [0] * n_owners
        for number in range(n_workers):
            allocation = WorkerAllocation(worker=f"w{number}", capacity=capacity)
            self.schedulers[number % n_owners].add_worker(allocation, 0.0)

    def call_at(self, time, call, *args):
        """Schedule a call at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), call, args))

    def arrivals(self, customer, rate, run_time, until, *, deadline=5.0):
        """Schedule requests at random times until a time; `run_time` is a callable."""
        time = self.random_state.expovariate(rate)
        while time < until:
            self.call_at(time, self._submit_request, customer, run_time(), deadline)
            time += self.random_state.expovariate(rate)

    def backlog(self, customer, n_waiting, run_time, until):
        """Keep `n_waiting` tasks waiting at each owner until a time."""
        for number, _ in enumerate(self.schedulers):
            for _ in range(n_waiting):
                self._submit_hold(number, customer, run_time, until)

    def run(self, until):
        """Process all events until a time."""
        for tick in range(int(until / _DIGEST_S) + 1):
            self.call_at(tick * _DIGEST_S, self._refresh_digests)
        for tick in range(int(until / _TICK_S) + 1):
            self.call_at(tick * _TICK_S, self._tick)
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def summary(self, customer):
        """Return count, p50, p99 and maximum of a customer's waiting times. Unit: seconds."""
        histogram = self.waits.get(customer)
        return summarize(histogram) if histogram else {"n": 0, "p50": 0, "p99": 0, "max": 0}

    def _refresh_digests(self):
        """Refresh the digest of each owner, which is its free slots less its waiting items."""
        self._digests = [
            scheduler.free_service_slots - scheduler.n_queued for scheduler in self.schedulers
        ]

    def _tick(self):
        for number, scheduler in enumerate(self.schedulers):
            self._handle(number, scheduler.tick(self.now))

    def _choose_owner(self):
        numbers = range(len(self.schedulers))
        candidates = self.random_state.sample(numbers, min(2, len(self.schedulers)))
        best = max(candidates, key=lambda number: self._digests[number])
        self._digests[best] -= 1
        return best

    def _submit_request(self, customer, run_time, deadline):
        number = self._choose_owner()
        item = f"r{next(self._numbers)}"
        self._arrived[item] = (customer, self.now)
        self._run_times[item] = run_time
        request = Request(
            request_id=item,
            customer=customer,
            workload="lookup",
            needs=LOOKUP,
            run_time=0.02,
            deadline=self.now + deadline,
        )
        self._handle(number, self.schedulers[number].submit(request, self.now))

    def _submit_hold(self, number, customer, run_time, until):
        if self.now >= until:
            return
        item = f"t{next(self._numbers)}"
        self._run_times[item] = run_time()
        self._arrived[item] = (customer, self.now)
        resubmission = (self._submit_hold, number, customer, run_time, until)
        self._run_times[item, "again"] = resubmission
        hold = Hold(hold_id=item, customer=customer, needs=REFRESH, age=1)
        self._handle(number, self.schedulers[number].ask_hold(hold, self.now))

    def _handle(self, number, messages):
        for message in messages:
            match message:
                case Dispatch(request=request):
                    self._note_placed(number, request.request_id, self.schedulers[number].finished)
                case HoldGranted(hold=hold):
                    self.schedulers[number].start(hold.hold_id)
                    self._note_placed(number, hold.hold_id, self.schedulers[number].task_ended)
                    resubmission = self._run_times.pop((hold.hold_id, "again"), None)
                    if resubmission:
                        self.call_at(self.now, *resubmission)
                case Refuse(request_id=item):
                    customer, _ = self._arrived.pop(item)
                    self.n_refused[customer] = self.n_refused.get(customer, 0) + 1
                case _:
                    resubmission = self._run_times.pop((message.hold.hold_id, "again"), None)
                    if resubmission:
                        self.call_at(self.now, *resubmission)

    def _note_placed(self, number, item, end):
        customer, arrived = self._arrived.pop(item)
        histogram = self.waits.setdefault(customer, HdrHistogram(1, _MAX_WAIT_US, 3))
        histogram.record_value(max(1, int((self.now - arrived) * 1e6)))
        run_time = self._run_times.pop(item)
        self.busy_slot_s += run_time
        self.n_placed += 1
        self.call_at(self.now + run_time, self._end, number, end, item)

    def _end(self, number, end, item):
        self._handle(number, end(item, self.now))


def make_owner_scheduler():
    """Return a scheduler of one owner, as anvilflow uses it."""
    return OwnerScheduler(reserve=0.25)
