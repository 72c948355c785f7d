"""Tests that a single odd entry in the workers' registry affects no other worker."""

import pytest
from logbook import TestHandler as LogRecorder

from anvilflow.utils import encode

from ._helpers import JOB, STEP, make_cell

OTHER_JOB = "00000000000000a2"

#: Numbers of a worker's entry that no worker has, as another program may write them.
IMPLAUSIBLE_NUMBERS = {
    "processor of 400 digits": {"capacity": {"cpu": 10**400, "mem-mb": 32768}},
    "processor of 25 digits": {"capacity": {"cpu": 10**25, "mem-mb": 32768}},
    "memory of 400 digits": {"capacity": {"cpu": 16000, "mem-mb": 10**400}},
    "accelerators of 400 digits": {"capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 10**400}},
    "slots of 400 digits": {"slots": 10**400},
    "sequence of 400 digits": {"sequence": 10**400},
    "departure in 1e308 ms": {"state": "draining", "remaining-ms": 1e308},
    "warm-up of 1e308 ms": {"cold-remaining-ms": 1e308},
}


def write_entry(cell, key, value):
    """Write the bytes of a registry entry as another program would."""
    cell.store._write([("servers", "", key, value)])


def run_two_jobs(cell):
    """Run a job, kill the leader and run a job of the less urgent queue; return their states."""
    cell.submit(cell.other(), JOB, STEP, spec="0.5 done 1000")
    cell.advance(5.0)
    states = [cell.state(cell.other(), JOB)]
    cell.kill(cell.leader())
    cell.advance(4.0)
    cell.submit(cell.other(), OTHER_JOB, {**STEP, "count": 30}, spec="0.5 done 1000", queue="bulk")
    cell.advance(6.0)
    return [*states, cell.state(cell.other(), OTHER_JOB, queue="bulk")]


@pytest.mark.parametrize("change", IMPLAUSIBLE_NUMBERS.values(), ids=IMPLAUSIBLE_NUMBERS)
def test_implausible_number_in_the_entry_of_a_worker_stops_no_leader(change):
    """Guards against an overflow in each plan: another program overwrites one worker's entry."""
    cell = make_cell(n_instances=3)
    cell.advance(1.0)
    write_entry(cell, "i-0", encode({**cell.workers["i-0"].entry(), **change}))
    assert run_two_jobs(cell) == ["completed", "completed"]
    assert cell.store.value("home", "home", part="cell")["term"] == 2
    assert cell.check() == []


@pytest.mark.parametrize(
    "key", ["", "k" * 100_000, "odd\r\nx-y: z", "odd 1", "\u00f6dd", "odd\x00", "a.b..", "I-0"]
)
def test_odd_key_of_an_entry_stops_no_leader(key):
    """Guards against a key that breaks requests, logs or the leader's row."""
    cell = make_cell(n_instances=3)
    cell.advance(1.0)
    write_entry(cell, key, encode({**cell.workers["i-0"].entry(), "address": "10.9.9.9:80"}))
    assert run_two_jobs(cell) == ["completed", "completed"]
    assert cell.store.value("home", "home", part="cell")["term"] == 2
    assert cell.check() == []


def test_key_like_the_identity_of_an_incarnation_does_not_replace_its_worker():
    """Guards against an entry whose key equals the id of a worker with its start time.

    The leader would send the worker's commands to the address in that entry.
    """
    cell = make_cell(n_instances=3, n_workers=1)
    cell.advance(1.0)
    entry = cell.workers["i-0"].entry()
    del entry["born"]
    key = f"i-0@{cell.workers['i-0'].entry()['born']}"
    write_entry(cell, key, encode({**entry, "address": "10.9.9.9:80"}))
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, STEP, spec="0.5 done 1000")
    cell.advance(6.0)
    assert cell.state(cell.other(), JOB) == "completed"


@pytest.mark.parametrize(
    "change",
    [
        {"service": "s" * 60_000},
        {"zone": "z" * 60_000},
        {"version": "v" * 60_000},
        {"state": "s" * 60_000},
        {"labels": ["k" * 30_000, "r" * 30_000]},
        {"address": "h" * 60_000 + ":80"},
        {"born": "b" * 60_000},
    ],
    ids=lambda change: next(iter(change)),
)
def test_long_text_of_an_entry_makes_no_long_line_in_the_log(change):
    """Guards against logs that another program fills."""
    cell = make_cell(n_instances=3)
    cell.advance(1.0)
    entry = {**cell.workers["i-0"].entry(), "address": "10.9.9.9:80", **change}
    with LogRecorder().applicationbound() as log:
        write_entry(cell, "odd-1", encode(entry))
        assert run_two_jobs(cell) == ["completed", "completed"]
    lines = [str({**line.kwargs, "message": line.message}) for line in log.records]
    assert max(map(len, lines)) < 2_000
    assert cell.check() == []


@pytest.mark.parametrize("value", ["a", "h\u00f4te", "====", "", "\r\n"])
def test_value_that_is_not_base64_makes_only_its_entry_unreadable(monkeypatch, value):
    """Guards against a store that passes on what another program wrote as it is."""
    cell = make_cell(n_instances=3)
    cell.advance(1.0)
    wire = cell.store._wire

    def wire_with_odd_value(table, part, key):
        row = wire(table, part, key)
        return {**row, "value": value} if row is not None and key == "odd-1" else row

    monkeypatch.setattr(cell.store, "_wire", wire_with_odd_value)
    write_entry(cell, "odd-1", b"{}")
    assert run_two_jobs(cell) == ["completed", "completed"]
    assert cell.store.value("home", "home", part="cell")["term"] == 2
    assert cell.check() == []
