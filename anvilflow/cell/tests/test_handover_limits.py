"""Runs and workers that the leader's row names beyond the runs that it knows as active."""

import pytest

from anvilflow.cell import _leader_row, _recorder
from anvilflow.cell._tables import MAX_ROW_BYTES
from anvilflow.jobs import _handover
from anvilflow.jobs._grace_period import MAX_CONFIRMATION_WAIT_S

from ._helpers import JOB, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_end_that_is_not_recorded_yet_keeps_its_task_from_the_next_leader(monkeypatch, safeguard):
    """Guards against running a task again whose end was left out of a full transaction."""
    monkeypatch.setattr(_recorder, "JOBS_PER_COMMIT", 0)
    if not safeguard:
        monkeypatch.setattr(_handover, "_unrecorded_done_runs", lambda scheduler, worker: [])
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(0.8)
    [span] = cell.spans
    assert span.how == "done"
    cell.worker_faults[span.worker].silent = True
    cell.advance(1.5)
    cell.kill(cell.leader())
    monkeypatch.undo()
    cell.advance(0.5)
    cell.worker_faults[span.worker].clear()
    cell.advance(5.0)
    assert (len(cell.spans) == 1) is safeguard
    assert cell.state(cell.other(), JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_unlisted_worker_beyond_the_limit_of_the_row_is_waited_for(monkeypatch, safeguard):
    """Guards against a next leader that does not know of some workers without an entry.

    The entries of all workers expire together when the store is down.
    """
    monkeypatch.setattr(_handover, "MAX_HANDOVER_WORKERS", 0)
    if not safeguard:
        monkeypatch.setattr(_leader_row, "_unlisted_ids", lambda scheduler, handover: set())
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    worker_id = cell.spans[0].worker
    cell.store.remove("servers", worker_id)
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.advance(2.0)
    cell.store.put("servers", worker_id, cell.workers[worker_id].entry())
    cell.advance(3.0)
    assert (cell.check() == []) is safeguard
    assert (len(cell.spans) == 2) is safeguard


def largest_leader_row(cell):
    """Return the size of the largest leader's row so far. Unit: bytes."""
    return max(
        len(value)
        for _, _, table, _, key, value in cell.store.log
        if (table, key) == ("home", "home")
    )


@pytest.mark.parametrize(("n_entries", "length"), [(100, 199), (5000, 20), (5000, 199)])
def test_many_entries_that_name_no_worker_fit_into_the_leaders_row(n_entries, length):
    """Guards against a leader that records nothing: the store refuses a row over 64 kB.

    Another program rewrites its entries, also just before a leader fails. The next leader cannot
    know whether they were workers'.
    """
    cell = make_cell(n_instances=3, n_workers=3)
    for round_number in range(3):
        rows = [
            ("servers", "", f"{number:04}".ljust(length, "x"), b'{"round": %d}' % round_number)
            for number in range(n_entries)
        ]
        cell.store._write(rows)
        cell.advance(0.7)
    cell.store._write(rows)
    cell.kill(cell.leader())
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, {"count": 4, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(MAX_CONFIRMATION_WAIT_S + 6.0)
    assert largest_leader_row(cell) <= MAX_ROW_BYTES
    assert cell.state(cell.other(), JOB) == "completed"
    assert cell.check() == []


@pytest.mark.parametrize(("n_entries", "length"), [(1, 15_000), (10, 5_000), (60, 400)])
def test_workers_with_long_texts_fit_into_the_leaders_row(n_entries, length):
    """Guards against a leader that records nothing: entries with long labels are overwritten."""
    cell = make_cell(n_instances=3, n_workers=3)
    entry = cell.workers["i-0"].entry()
    entry.update(labels=["x" * length, "r" * length], zone="z" * length, address="10.9.9.9:80")
    keys = [f"odd-{number}" for number in range(n_entries)]
    for key in keys:
        cell.store.put("servers", key, entry)
    cell.advance(1.0)
    for key in keys:
        cell.store.put("servers", key, {"hello": 1})
    cell.store.remove("servers", "i-0")
    cell.advance(1.0)
    row = cell.store.value("home", "home", part="cell")
    assert "i-0" in [worker["info"]["worker_id"] for worker in row["handover"]]
    assert largest_leader_row(cell) <= MAX_ROW_BYTES
