"""Tests that rows of ended jobs are shortened for as long as they are kept, and then removed."""

import pytest
from twisted.internet.task import deferLater

from anvilflow.cell import Bounds
from anvilflow.cell._garbage_collector import RETENTION_MARGIN_S, SWEEP_S, GarbageCollector
from anvilflow.cell._recorder import REMOVALS_PER_COMMIT, Recorder
from anvilflow.cell._tables import ENDED, JOBS, LEADER_TABLE, job_part, write

from ._helpers import JOB, make_cell, restart_all_instances

#: Size of a payload that makes up most of a job's row. Unit: bytes.
N_PAYLOAD_BYTES = 3_000

#: Duration of the removal of a job's row, and of a read of the final states. Unit: seconds.
REMOVAL_S = 1.0
FINAL_STATES_READ_S = 2.0

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


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_is_not_run_again_if_its_rows_are_removed_while_a_new_leader_reads(
    monkeypatch, safeguard
):
    """Guards against a leader that reads a job's row before, and its final state after the removal.

    The former leader hands over while it removes the rows in a slow store, and reads of the final
    states take longest.
    """
    if not safeguard:
        monkeypatch.setattr(Recorder, "remove_final_states", _remove_without_condition)
    cell = make_cell(bounds=Bounds(status_kept_s=1.0))
    cell.submit(cell.other(), JOB, STEP, spec="0.3 done 500")
    cell.advance(1.0)
    former = cell.daemons[cell.leader()]
    removed_at = []
    _hold_removal(former.context.store, cell.clock, removed_at)
    for daemon in cell.daemons.values():
        _delay_final_states(daemon.context.store, cell.clock)
    while not removed_at:
        cell.advance(0.05)
    former.drain()
    cell.advance(FINAL_STATES_READ_S + 3.0)
    assert cell.store.value(JOBS, JOB, part=job_part(JOB)) is None
    assert (len(cell.spans) == STEP["count"]) is safeguard


def _remove_without_condition(recorder, job_ids):
    rows = [write(ENDED, job_id, None) for job_id in job_ids]
    recorder.context.store.commit([], rows)


def _hold_removal(store, clock, removed_at):
    """Let the removal of rows of jobs take `REMOVAL_S`; note when it begins."""
    commit = store.commit

    def commit_later(conditions, writes, **values):
        if not any(item.table == JOBS and item.value is None for item in writes):
            return commit(conditions, writes, **values)
        removed_at.append(clock.seconds())
        return deferLater(clock, REMOVAL_S, commit, conditions, writes, **values)

    store.commit = commit_later


def _delay_final_states(store, clock):
    read = store.read

    def read_later(table, part, **values):
        delay_s = FINAL_STATES_READ_S if table == ENDED else 0.0
        return deferLater(clock, delay_s, read, table, part, **values)

    store.read = read_later


def test_final_states_are_removed_with_the_records_after_the_retention_period():
    """Guards against states that are kept for good, or removed by an instance that was deposed."""
    cell = make_cell(bounds=Bounds(status_kept_s=1.0))
    for number in range(2 * REMOVALS_PER_COMMIT):
        cell.submit(cell.other(), f"{number:016x}", STEP, spec="0.3 done 500")
    cell.advance(1.5)
    n_states = sum(table == ENDED for table, _, _ in cell.store.rows)
    assert n_states == 2 * REMOVALS_PER_COMMIT
    cell.advance(RETENTION_MARGIN_S + 2 * SWEEP_S)
    assert not any(table == ENDED for table, _, _ in cell.store.rows)
    assert not cell.daemons[cell.leader()].context.leader._scheduler.ended
    fenced = {version for _, version, table, *_ in cell.store.log if table == LEADER_TABLE}
    removed = {
        version for _, version, table, *_, value in cell.store.log if table == ENDED and not value
    }
    assert removed and removed <= fenced
