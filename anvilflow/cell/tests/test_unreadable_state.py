"""Tests of rows of the cell's own state that cannot be decoded when a leader takes over."""

from anvilflow.cell._tables import JOBS, LEADER_KEY, LEADER_TABLE, PART, job_part

from ._helpers import JOB, STEP, make_cell


def test_cell_gets_a_leader_if_the_leaders_row_cannot_be_decoded():
    """Guards against a cell without a leader until the row is repaired or removed."""
    cell = make_cell()
    cell.kill(cell.leader())
    cell.store.put(LEADER_TABLE, LEADER_KEY, [], part=PART)
    cell.advance(15.0)
    assert len(cell.leaders()) == 1


def test_ends_of_a_job_whose_row_cannot_be_decoded_are_not_acknowledged():
    """Guards against ends that nobody has once the row can be decoded again."""
    cell = make_cell()
    audit = cell.audit_ends()
    cell.submit(cell.other(), JOB, STEP, spec="3.0 done 1000")
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.store.put(JOBS, JOB, [], part=job_part(JOB))
    cell.advance(8.0)
    assert cell.spans
    assert audit.violations() == []
