"""Rows of jobs that have ended: short for as long as they are kept."""

import pytest

from anvilflow.cell._garbage_collector import SWEEP_S, GarbageCollector
from anvilflow.cell._tables import job_part

from ._helpers import JOB, end_and_start_all, make_cell

#: A payload that fills most of a row. Unit: bytes.
N_PAYLOAD = 3_000

STEP = {"count": 2, "cpu": 500}


def _make_cell():
    return make_cell(sizes=lambda task, payload: (0.3, "done", 500))


def _row_bytes(cell):
    _, value = cell.store.rows["jobs", job_part(JOB), JOB]
    return len(value)


@pytest.mark.parametrize("safeguard", [True, False])
def test_row_of_a_job_that_has_ended_is_short(monkeypatch, safeguard):
    """A new leader reads the rows of all jobs of two minutes before it starts anything."""
    if not safeguard:
        monkeypatch.setattr(GarbageCollector, "shorten", lambda self, job: None)
    cell = _make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD)
    cell.advance(2 * SWEEP_S)
    assert (_row_bytes(cell) < N_PAYLOAD / 4) is safeguard


def test_row_of_a_job_that_runs_stays_whole():
    """Its tasks may have to be started again by a later leader."""
    cell = make_cell(sizes=lambda task, payload: (60.0, "done", 500))
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD)
    cell.advance(2 * SWEEP_S)
    assert _row_bytes(cell) > N_PAYLOAD


def test_job_with_a_short_row_is_neither_run_again_nor_forgotten():
    """All instances end; a client asks for the job, and its copy comes late."""
    cell = _make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD)
    cell.advance(2 * SWEEP_S)
    end_and_start_all(cell)
    name = cell.other()
    assert cell.state(name, JOB) == "completed"
    answers = cell.submit(name, JOB, STEP, spec="x" * N_PAYLOAD)
    cell.advance(1.0)
    assert answers[0][0] == 200
    assert cell.state(cell.leader(), JOB) == "completed"
    assert len(cell.runs_of(f"{JOB}.0.0.0")) == 1
    assert cell.call(name, "GET", "/urgent/")[0][1] == {"pending": 0}


def test_short_row_does_not_bring_a_removed_row_back():
    """A write of a former leader is carried out when the row is gone."""
    cell = _make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="x" * N_PAYLOAD)
    cell.advance(1.5)
    cell.store.remove("jobs", JOB, part=job_part(JOB))
    cell.advance(2 * SWEEP_S)
    assert cell.store.value("jobs", JOB, part=job_part(JOB)) is None
