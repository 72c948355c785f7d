"""Tests of the size limits of the store's calls and rows.

The store accepts calls of up to 1 MB. Records of jobs grow with their tasks and checkpoints: 27
bytes for each task that has one. When many large jobs changed at the same time, the transaction was
refused and the same one repeated forever: no end of a job was recorded any more, and no caller
learned that a job was completed. 600 tasks with checkpoints make a record of 17,320 bytes, and 45
such records take 1.04 MB on the wire.
"""

import pytest

from anvilflow.cell import _gateway, _recorder
from anvilflow.decisions import _send_window
from anvilflow.jobs._job import JobRun
from anvilflow.standins import StoreCall
from anvilflow.utils import decode_lenient

from ._helpers import JOB, make_cell

#: Largest call that the store accepts. Unit: bytes.
MAX_CALL_BYTES = 1_000_000

#: Largest value of a row that the store accepts. Unit: bytes.
MAX_ROW_BYTES = 65_536

#: Size of a job's checkpoints. Unit: bytes.
N_CHECKPOINT_BYTES = 40_000


def _limit_calls(monkeypatch, store):
    answer = store.handle

    def handle(method, path, query, body, headers):
        return (
            (413, b"") if len(body) > MAX_CALL_BYTES else answer(method, path, query, body, headers)
        )

    monkeypatch.setattr(store, "handle", handle)


def _large(to_record, n_checkpoint_bytes=N_CHECKPOINT_BYTES):
    def make_large_record(job):
        record = to_record(job)
        record.checkpoints["0.0.9"] = "x" * n_checkpoint_bytes
        return record

    return make_large_record


def _sizes(task, _):
    """Return 1 s as the duration of each job's first task, and 60 s for the others."""
    return (1.0 if task.endswith(".0") else 60.0), "done", 1000


@pytest.mark.parametrize("safeguard", [True, False])
def test_records_of_large_jobs_do_not_exceed_a_call(monkeypatch, safeguard):
    """Guards against an oversized transaction when tasks of thirty large jobs end together.

    The end of a small job after them must still be recorded.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder, "BYTES_PER_COMMIT", 10_000_000)
    monkeypatch.setattr(JobRun, "to_record", _large(JobRun.to_record))
    # All tasks begin, and so end, at the same time.
    monkeypatch.setattr(_send_window, "FIRST_LIMIT", 100)
    cell = make_cell(n_workers=8, sizes=_sizes)
    _limit_calls(monkeypatch, cell.store)
    for number in range(30):
        cell.submit(cell.leader(), f"{number + 1:016x}", {"count": 2, "cpu": 1000})
    cell.advance(3.0)
    cell.submit(cell.leader(), JOB, {"count": 1, "cpu": 1000})
    cell.advance(3.0)
    ended = cell.store.value("ended", JOB, part="cell")
    assert (ended is not None and ended["state"] == "completed") is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_record_that_exceeds_a_row_does_not_block_other_records(monkeypatch, safeguard):
    """A job of 2,500 tasks with checkpoints has a record of 74 kB; a row holds 64 kB.

    Its transaction was refused and repeated forever, which blocked all records of the leader.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder, "MAX_ROW_BYTES", 10_000_000)
    monkeypatch.setattr(JobRun, "to_record", _large(JobRun.to_record, 70_000))
    cell = make_cell(n_workers=8, sizes=_sizes)
    _limit_rows(monkeypatch, cell.store)
    cell.submit(cell.leader(), f"{1:016x}", {"count": 2, "cpu": 1000})
    cell.advance(3.0)
    cell.submit(cell.leader(), JOB, {"count": 1, "cpu": 1000})
    cell.advance(3.0)
    assert (cell.store.value("ended", JOB, part="cell") is not None) is safeguard
    record = cell.store.value("progress", f"{1:016x}", part="cell")
    assert (record is not None and record["done_tasks"] == {"0.0": [0]}) is safeguard


def _limit_rows(monkeypatch, store):
    answer = store.handle

    def handle(method, path, query, body, headers):
        writes = decode_lenient(body)["writes"] if path == StoreCall.COMMIT else ()
        is_large = any(len(item["value"]) > MAX_ROW_BYTES * 4 / 3 for item in writes)
        return (413, b"") if is_large else answer(method, path, query, body, headers)

    monkeypatch.setattr(store, "handle", handle)


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_that_exceeds_a_row_is_refused_immediately(monkeypatch, safeguard):
    """A client submits a job of 1,400 steps, whose row would exceed 64 kB.

    The store's refusal was taken for a write with unknown outcome: the client was asked to
    retry, and the gateway treated the store as unavailable until its next check.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway, "MAX_ROW_BYTES", 10_000_000)
    cell = make_cell()
    _limit_rows(monkeypatch, cell.store)
    steps = [{"count": 1, "cpu": 1000, "mem-mb": 100, "after": [0]} for _ in range(1_400)]
    steps[0].pop("after")
    answers = cell.submit(cell.other(), JOB, *steps)
    cell.advance(3.0)
    assert ([status for status, _, _ in answers] == [413]) is safeguard
    assert not cell.daemons[cell.other()].context.store_health.is_failing
