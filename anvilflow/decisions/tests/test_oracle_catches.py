"""The oracle is worth something: each safeguard that is taken out is caught."""

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
    """The index alone decides, in steps of 250 thousandths and 256 MiB."""
    monkeypatch.setattr("anvilflow.decisions._allocations._holds", lambda have, need: True)


def no_reserve(monkeypatch):
    """Tasks take whole workers."""
    monkeypatch.setattr(
        AllocationIndex, "_bounds", lambda self, allocation, task: list(_capacity(allocation))
    )


def no_account(monkeypatch):
    """Requests are placed without being accounted."""
    take = AllocationIndex.take

    def forgetful(self, worker, item_id, needs, *, task):
        if task:
            take(self, worker, item_id, needs, task=task)

    monkeypatch.setattr(AllocationIndex, "take", forgetful)


def hold_can_start_twice(monkeypatch):
    """A start does not use up the hold."""

    def start(self, hold_id):
        held = self._held.get(hold_id)
        return held.worker if held else None

    monkeypatch.setattr(OwnerScheduler, "start", start)


def place_kept_for_ever(monkeypatch):
    """What a request took is not given back."""
    monkeypatch.setattr(OwnerScheduler, "finished", lambda self, item, now, run_time=None: [])


def expired_item_forgotten(monkeypatch):
    """Nobody is told of a request that waited too long."""
    tick = OwnerScheduler.tick

    def silent(self, now):
        return [item for item in tick(self, now) if type(item).__name__ != "Refuse"]

    monkeypatch.setattr(OwnerScheduler, "tick", silent)


def _capacity(allocation):
    amounts = allocation.capacity
    return amounts.cpu_milli, amounts.memory_mb, amounts.accelerators, amounts.slots


@pytest.mark.parametrize(
    "take_out",
    [
        no_exact_check,
        no_reserve,
        no_account,
        hold_can_start_twice,
        place_kept_for_ever,
        expired_item_forgotten,
    ],
)
def test_oracle_catches(monkeypatch, take_out):
    take_out(monkeypatch)
    with pytest.raises((AssertionError, KeyError, ValueError)):
        run_state_machine_as_test(OwnerMachine, settings=SETTINGS)
