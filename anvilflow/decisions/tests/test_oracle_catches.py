"""Check that the oracle of ``test_oracle`` detects each safeguard that is disabled."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from anvilflow.decisions import AllocationIndex, OwnerScheduler

from .test_oracle import OwnerMachine

SETTINGS = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    print_blob=False,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


def no_exact_check(monkeypatch):
    """Place by the index alone, in steps of 250 thousandths of a processor and 256 MiB."""
    monkeypatch.setattr("anvilflow.decisions._allocations._covers", lambda have, need: True)


def no_reserve(monkeypatch):
    """Let tasks take whole workers, without a reserve for service requests."""
    monkeypatch.setattr(
        AllocationIndex,
        "_usable_capacity",
        lambda self, allocation, task: list(_capacity(allocation)),
    )


def requests_not_accounted(monkeypatch):
    """Place requests without accounting for them."""
    take = AllocationIndex.take

    def take_tasks_only(self, worker, item_id, needs, *, task):
        if task:
            take(self, worker, item_id, needs, task=task)

    monkeypatch.setattr(AllocationIndex, "take", take_tasks_only)


def hold_can_start_twice(monkeypatch):
    """Let a start keep the hold (the reserved place of a task), so that it can start again."""

    def start(self, hold_id):
        granted = self._granted.get(hold_id)
        return granted.worker if granted else None

    monkeypatch.setattr(OwnerScheduler, "start", start)


def request_place_not_freed(monkeypatch):
    """Keep the capacity of a request taken after the request has finished."""
    monkeypatch.setattr(OwnerScheduler, "finished", lambda self, item, now, run_time=None: [])


def expired_request_not_refused(monkeypatch):
    """Drop expired requests from the queue without refusing them."""
    tick = OwnerScheduler.tick

    def tick_without_refusals(self, now):
        return [item for item in tick(self, now) if type(item).__name__ != "Refuse"]

    monkeypatch.setattr(OwnerScheduler, "tick", tick_without_refusals)


def _capacity(allocation):
    amounts = allocation.capacity
    return amounts.cpu_milli, amounts.memory_mb, amounts.accelerators, amounts.slots


@pytest.mark.parametrize(
    "disable_safeguard",
    [
        no_exact_check,
        no_reserve,
        requests_not_accounted,
        hold_can_start_twice,
        request_place_not_freed,
        expired_request_not_refused,
    ],
)
def test_oracle_detects_disabled_safeguard(monkeypatch, disable_safeguard):
    disable_safeguard(monkeypatch)
    with pytest.raises((AssertionError, KeyError, ValueError)):
        run_state_machine_as_test(OwnerMachine, settings=SETTINGS)
