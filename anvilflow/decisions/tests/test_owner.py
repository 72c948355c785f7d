"""Regression tests of the owner's scheduler for faults found by chaos runs.

A hold is the reservation of a place on a worker for one attempt of a task.
"""

from anvilflow.decisions import Hold, HoldGranted, OwnerScheduler, WorkerAllocation
from anvilflow.resources import Amounts

NEEDS = Amounts(cpu_milli=1000, memory_mb=1024)
CAPACITY = Amounts(cpu_milli=16_000, memory_mb=32_768, slots=4)


def make_hold(hold_id):
    """Return a hold of one task."""
    return Hold(hold_id=hold_id, customer="large", needs=NEEDS, age=1)


def test_queued_hold_of_a_running_task_does_not_free_its_place():
    """A hold is still queued at an owner that takes over the worker on which its task runs.

    If the hold were granted on the task's own place, its release by the coordinator would free
    that place, and the worker would get more work than it has capacity for. (Chaos seed 863.)
    """
    scheduler = OwnerScheduler(reserve=0.0)
    scheduler.add_worker(WorkerAllocation(worker="w1", capacity=CAPACITY), 0.0)
    for number in range(4):
        scheduler.ask_hold(make_hold(f"c/other/{number}/1"), 0.0)
    assert scheduler.ask_hold(make_hold("c/j/0/1"), 0.0) == []
    allocation = WorkerAllocation(worker="w2", capacity=CAPACITY)
    running = [(f"c/j/{number}/1", NEEDS) for number in range(4)]
    scheduler.add_worker(allocation, 1.0, tasks=running)
    scheduler.release_hold("c/j/0/1", 1.1)
    assert allocation.free[3] == 0
    granted = scheduler.ask_hold(make_hold("c/more/0/1"), 1.2)
    assert not any(isinstance(message, HoldGranted) for message in granted)
