"""A measuring rig for decisions: seeded arrivals through the decision code in virtual time.

It models no cluster: run times are given, messages take no time, nothing fails.
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

_LONGEST_US = 3_600_000_000
_DIGEST_S = 0.25
_TICK_S = 0.05


class FirstComeFirstServed:
    """The baseline: one queue, first come first served, first worker that fits."""

    def __init__(self, *, reserve=0.25, hold_s=3.0):
        self.queue = []
        self.allocations = []
        self.at = {}

    def add_worker(self, allocation, now):
        """Use a worker."""
        self.allocations.append(allocation)
        return []

    def submit(self, request, now):
        """Queue a request at the end."""
        self.queue.append((request.request_id, request.needs, request))
        return self._pump()

    def ask_hold(self, hold, now):
        """Queue a task at the end of the same queue."""
        self.queue.append((hold.hold_id, hold.needs, hold))
        return self._pump()

    def start(self, hold_id):
        """Start at once."""

    def finished(self, item, now, *, run_time=None):
        """Free a place."""
        allocation, needs = self.at.pop(item)
        _add(allocation, needs, 1)
        return self._pump()

    task_ended = finished

    def tick(self, now):
        """Nothing expires."""
        return []

    @property
    def free_service_slots(self):
        """Free slots."""
        return sum(allocation.free[3] for allocation in self.allocations)

    @property
    def n_queued(self):
        """Items that wait."""
        return len(self.queue)

    def _pump(self):
        out = []
        while self.queue:
            item, needs, value = self.queue[0]
            allocation = next(
                (allocation for allocation in self.allocations if _fits(allocation, needs)), None
            )
            if allocation is None:
                break
            self.queue.pop(0)
            _add(allocation, needs, -1)
            self.at[item] = (allocation, needs)
            kind = Dispatch(request=value, worker=allocation.worker)
            out.append(kind if isinstance(value, Request) else HoldGranted(hold=value, worker=""))
        return out


def _fits(allocation, needs):
    return needs.cpu_milli <= allocation.free[0] and needs.slots <= allocation.free[3]


def _add(allocation, needs, sign):
    allocation.free[0] += sign * needs.cpu_milli
    allocation.free[3] += sign * needs.slots


class Rig:
    """Several owners' books, one clock, and the waiting times of each customer.

    Parameters
    ----------
    make_scheduler : callable
        Builds the book of one owner.
    n_owners, n_workers : int
    capacity : Amounts
        Of each worker.
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
        self._order = itertools.count()
        self._arrived = {}
        self._run_times = {}
        self.schedulers = [make_scheduler() for _ in range(n_owners)]
        self._seen = [0] * n_owners
        for number in range(n_workers):
            allocation = WorkerAllocation(worker=f"w{number}", capacity=capacity)
            self.schedulers[number % n_owners].add_worker(allocation, 0.0)

    def at(self, time, call, *args):
        """Call at a time."""
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def arrivals(self, customer, rate, run_time, until, *, deadline=5.0):
        """Let requests arrive at random until a time; `run_time` is a callable."""
        time = self.random_state.expovariate(rate)
        while time < until:
            self.at(time, self._request, customer, run_time(), deadline)
            time += self.random_state.expovariate(rate)

    def backlog(self, customer, n_waiting, run_time, until):
        """Keep `n_waiting` tasks waiting at each owner until a time."""
        for number, _ in enumerate(self.schedulers):
            for _ in range(n_waiting):
                self._hold(number, customer, run_time, until)

    def run(self, until):
        """Let time pass."""
        for tick in range(int(until / _DIGEST_S) + 1):
            self.at(tick * _DIGEST_S, self._see)
        for tick in range(int(until / _TICK_S) + 1):
            self.at(tick * _TICK_S, self._tick)
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def summary(self, customer):
        """Return count, p50, p99 and maximum of a customer's waits. Unit: seconds."""
        histogram = self.waits.get(customer)
        return summarize(histogram) if histogram else {"n": 0, "p50": 0, "p99": 0, "max": 0}

    def _see(self):
        """Take new digests."""
        self._seen = [
            scheduler.free_service_slots - scheduler.n_queued for scheduler in self.schedulers
        ]

    def _tick(self):
        for number, scheduler in enumerate(self.schedulers):
            self._take(number, scheduler.tick(self.now))

    def _choose(self):
        numbers = range(len(self.schedulers))
        some = self.random_state.sample(numbers, min(2, len(self.schedulers)))
        best = max(some, key=lambda number: self._seen[number])
        self._seen[best] -= 1
        return best

    def _request(self, customer, run_time, deadline):
        number = self._choose()
        item = f"r{next(self._order)}"
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
        self._take(number, self.schedulers[number].submit(request, self.now))

    def _hold(self, number, customer, run_time, until):
        if self.now >= until:
            return
        item = f"t{next(self._order)}"
        self._run_times[item] = run_time()
        self._arrived[item] = (customer, self.now)
        again = (self._hold, number, customer, run_time, until)
        self._run_times[item, "again"] = again
        hold = Hold(hold_id=item, customer=customer, needs=REFRESH, age=1)
        self._take(number, self.schedulers[number].ask_hold(hold, self.now))

    def _take(self, number, messages):
        for message in messages:
            match message:
                case Dispatch(request=request):
                    self._placed(number, request.request_id, self.schedulers[number].finished)
                case HoldGranted(hold=hold):
                    self.schedulers[number].start(hold.hold_id)
                    self._placed(number, hold.hold_id, self.schedulers[number].task_ended)
                    again = self._run_times.pop((hold.hold_id, "again"), None)
                    if again:
                        self.at(self.now, *again)
                case Refuse(request_id=item):
                    customer, _ = self._arrived.pop(item)
                    self.n_refused[customer] = self.n_refused.get(customer, 0) + 1
                case _:
                    again = self._run_times.pop((message.hold.hold_id, "again"), None)
                    if again:
                        self.at(self.now, *again)

    def _placed(self, number, item, end):
        customer, arrived = self._arrived.pop(item)
        histogram = self.waits.setdefault(customer, HdrHistogram(1, _LONGEST_US, 3))
        histogram.record_value(max(1, int((self.now - arrived) * 1e6)))
        run_time = self._run_times.pop(item)
        self.busy_slot_s += run_time
        self.n_placed += 1
        self.at(self.now + run_time, self._ended, number, end, item)

    def _ended(self, number, end, item):
        self._take(number, end(item, self.now))


def make_owner_scheduler():
    """Return the product's book."""
    return OwnerScheduler(reserve=0.25)
