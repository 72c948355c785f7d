"""Tests that rows of ended jobs are shortened for as long as they are kept."""

import pytest

from anvilflow.cell._garbage_collector import SWEEP_S, GarbageCollector
from anvilflow.cell._tables import job_part

from ._helpers import JOB, make_cell, restart_all_instances

#: Size of a payload that makes up most of a job's row. Unit: bytes.
N_PAYLOAD_BYTES = 3_000

STEP = {"count": 2, "cpu": 500}


def _make_cell():
    return make_cell(sizes=lambda task, payload: (0.3, "done", 500))


def _row_bytes(cell):
    _, value = cell.store.rows["jobs", job_part(JOB), JOB]
    return len(value)


@pytest.mark.parametrize("safeguard", [True, False])
def test_row_of_a_job_that_has_ended_is_short(monkeypatch, safeguard):
    """Guards against long loading: a new leader first reads the rows of all jobs of two minutes."""
    if not safeguard:
        monkeypatch.setattr(GarbageCollector, "shorten", lambda self, job: None)
    cell = _make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD_BYTES)
    cell.advance(2 * SWEEP_S)
    assert (_row_bytes(cell) < N_PAYLOAD_BYTES / 4) is safeguard


def test_row_of_a_running_job_is_not_shortened():
    """A later leader may have to start the tasks again, which needs the payload."""
    cell = make_cell(sizes=lambda task, payload: (60.0, "done", 500))
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD_BYTES)
    cell.advance(2 * SWEEP_S)
    assert _row_bytes(cell) > N_PAYLOAD_BYTES


def test_job_with_a_short_row_keeps_its_state_and_is_not_run_again():
    """All instances restart; then a client asks for the job, and a late copy of it arrives."""
    cell = _make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD_BYTES)
    cell.advance(2 * SWEEP_S)
    restart_all_instances(cell)
    name = cell.other()
    assert cell.state(name, JOB) == "completed"
    answers = cell.submit(name, JOB, STEP, spec="x" * N_PAYLOAD_BYTES)
    cell.advance(1.0)
    assert answers[0][0] == 200
    assert cell.state(cell.leader(), JOB) == "completed"
    assert len(cell.runs_of(f"{JOB}.0.0.0")) == 1
    assert cell.call(name, "GET", "/urgent/")[0][1] == {"pending": 0}


def test_short_row_does_not_recreate_a_removed_row():
    """Guards against a write that takes effect after the row has been removed."""
    cell = _make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD_BYTES)
    cell.advance(1.5)
    cell.store.remove("jobs", JOB, part=job_part(JOB))
    cell.advance(2 * SWEEP_S)
    assert cell.store.value("jobs", JOB, part=job_part(JOB)) is None
