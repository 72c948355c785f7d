"""Stateful fuzzing of the owner's queues, accounting and holds against a simple oracle.

A hold is the reservation of a place on a worker for one attempt of a task.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from anvilflow.decisions import (
    Dispatch,
    Hold,
    HoldGranted,
    HoldRefused,
    HoldRevoked,
    OwnerScheduler,
    Refuse,
    Request,
    WorkerAllocation,
)
from anvilflow.resources import RESOURCE_NAMES, Amounts

#: Number of examples and of steps per example: few examples in CI, many with `make fuzz`.
N_EXAMPLES = int(os.environ.get("ANVILFLOW_FUZZ_EXAMPLES", "40"))
N_STEPS = 60

RESERVE = 0.25

amounts = st.builds(
    Amounts,
    cpu_milli=st.sampled_from([100, 300, 500, 1000, 4000, 9000]),
    memory_mb=st.sampled_from([10, 256, 700, 4096]),
    accelerators=st.sampled_from([0, 0, 0, 1, 2]),
    slots=st.sampled_from([1, 1, 2]),
)
capacities = st.builds(
    Amounts,
    cpu_milli=st.sampled_from([4000, 8000, 16_000]),
    memory_mb=st.sampled_from([8192, 32_768]),
    accelerators=st.sampled_from([0, 4]),
    slots=st.sampled_from([4, 8]),
)
customers = st.sampled_from(["small", "large", "other"])


# Calls an `OwnerScheduler` at random and follows its decisions in an oracle: a plain record of the
# worker on which each item is placed. The invariants compare the scheduler's accounting with it.
# Hypothesis derives the examples from the source of this class, doc comments included: a change of
# it changes the examples that CI runs.
class OwnerMachine(RuleBasedStateMachine):
    """Drives an owner's book and keeps a plain list of what is where."""

    def __init__(self):
        super().__init__()
        self.scheduler = OwnerScheduler(reserve=RESERVE, hold_s=5.0)
        self.now = 0.0
        self.n_made = 0
        self.capacity = {}
        self.placed = {}  # item -> (worker, needs, is a task)
        self.waiting = set()
        self.started = set()

    def take(self, messages):
        """Follow decisions in the oracle."""
        for message in messages:
            match message:
                case Dispatch(request=request, worker=worker):
                    self.waiting.remove(request.request_id)
                    self.placed[request.request_id] = (worker, request.needs, False)
                case Refuse(request_id=request_id):
                    self.waiting.discard(request_id)
                case HoldGranted(hold=hold, worker=worker):
                    known = self.placed.get(hold.hold_id)
                    assert known is None or known[0] == worker
                    self.waiting.discard(hold.hold_id)
                    self.placed[hold.hold_id] = (worker, hold.needs, True)
                case HoldRefused(hold=hold):
                    self.waiting.discard(hold.hold_id)
                case HoldRevoked(hold=hold):
                    assert hold.hold_id not in self.started, "a started task was revoked"
                    del self.placed[hold.hold_id]

    @rule(capacity=capacities)
    def add_worker(self, capacity):
        if len(self.capacity) < 4:
            self.n_made += 1
            name = f"w{self.n_made}"
            self.capacity[name] = capacity
            self.take(
                self.scheduler.add_worker(
                    WorkerAllocation(worker=name, capacity=capacity), self.now
                )
            )

    @precondition(lambda self: len(self.capacity) > 1)
    @rule(data=st.data())
    def remove_worker(self, data):
        name = data.draw(st.sampled_from(sorted(self.capacity)))
        self.take(self.scheduler.remove_worker(name))
        del self.capacity[name]
        for item in [item for item, at in self.placed.items() if at[0] == name]:
            if item.startswith("t"):
                del self.placed[item]
                self.started.discard(item)

    @rule(
        customer=customers,
        needs=amounts,
        patience=st.sampled_from([0.1, 1.0, 20.0]),
        n_requests=st.integers(1, 8),
    )
    def submit(self, customer, needs, patience, n_requests):
        for _ in range(n_requests):
            self.submit_one(customer, needs, patience)

    def submit_one(self, customer, needs, patience):
        self.n_made += 1
        request = Request(
            request_id=f"r{self.n_made}",
            customer=customer,
            workload="any",
            needs=needs,
            run_time=0.1,
            deadline=self.now + patience,
        )
        self.waiting.add(request.request_id)
        self.take(self.scheduler.submit(request, self.now))

    @rule(
        customer=customers,
        needs=amounts,
        gang=st.booleans(),
        age=st.integers(1, 9),
        n_holds=st.integers(1, 6),
    )
    def ask_holds(self, customer, needs, gang, age, n_holds):
        for _ in range(n_holds):
            self.ask_hold(customer, needs, gang, age)

    def ask_hold(self, customer, needs, gang, age):
        self.n_made += 1
        hold = Hold(hold_id=f"t{self.n_made}", customer=customer, needs=needs, age=age, gang=gang)
        self.waiting.add(hold.hold_id)
        self.take(self.scheduler.ask_hold(hold, self.now))

    @rule(data=st.data(), how=st.sampled_from(["start", "release"]))
    def use_hold(self, data, how):
        held = [i for i, at in self.placed.items() if at[2] and i not in self.started]
        if not held:
            return
        hold_id = data.draw(st.sampled_from(sorted(held)))
        if how == "start":
            assert self.scheduler.start(hold_id) == self.placed[hold_id][0]
            assert self.scheduler.start(hold_id) is None
            self.started.add(hold_id)
        else:
            del self.placed[hold_id]
            self.take(self.scheduler.release_hold(hold_id, self.now))

    @rule(data=st.data())
    def end_one(self, data):
        over = [i for i, at in self.placed.items() if not at[2] or i in self.started]
        if not over:
            return
        item = data.draw(st.sampled_from(sorted(over)))
        del self.placed[item]
        if item in self.started:
            self.started.discard(item)
            self.take(self.scheduler.task_ended(item, self.now))
        else:
            self.take(self.scheduler.finished(item, self.now, run_time=0.1))

    @rule(data=st.data())
    def cancel_one(self, data):
        waiting = sorted(item for item in self.waiting if item.startswith("r"))
        if waiting:
            item = data.draw(st.sampled_from(waiting))
            assert self.scheduler.cancel(item)
            self.waiting.remove(item)

    @rule(seconds=st.sampled_from([0.05, 1.0, 6.0]))
    def wait(self, seconds):
        self.now += seconds
        self.take(self.scheduler.tick(self.now))

    @invariant()
    def no_worker_is_over_its_capacity(self):
        used = {name: [0] * len(RESOURCE_NAMES) for name in self.capacity}
        tasks = {name: [0] * len(RESOURCE_NAMES) for name in self.capacity}
        for worker, needs, task in self.placed.values():
            if worker not in self.capacity:
                continue
            for number, name in enumerate(RESOURCE_NAMES):
                used[worker][number] += getattr(needs, name)
                tasks[worker][number] += getattr(needs, name) if task else 0
        for worker, capacity in self.capacity.items():
            allocation = self.scheduler.allocations.get(worker)
            for number, name in enumerate(RESOURCE_NAMES):
                have = getattr(capacity, name)
                assert used[worker][number] <= have
                assert allocation.free[number] == have - used[worker][number]
                if name != "accelerators":
                    assert tasks[worker][number] <= int(have * (1 - RESERVE))

    @invariant()
    def nothing_that_waits_is_forgotten(self):
        assert self.scheduler.n_queued + self.scheduler.n_holds_queued == len(self.waiting)

    @invariant()
    def index_agrees_with_a_scan(self):
        for needs in (Amounts(cpu_milli=300, memory_mb=256), Amounts(accelerators=1, slots=2)):
            for task in (False, True):
                found = self.scheduler.allocations.best_fit(needs, task=task)
                scan = any(
                    all(
                        getattr(needs, name)
                        <= (allocation.task_free if task else allocation.free)[number]
                        for number, name in enumerate(RESOURCE_NAMES)
                    )
                    for allocation in self.scheduler.allocations
                )
                assert (found is not None) == scan


TestOwner = OwnerMachine.TestCase
TestOwner.settings = settings(
    max_examples=N_EXAMPLES,
    stateful_step_count=N_STEPS,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
