"""Rows of a job that another submission has written, or that were written anew after a removal."""

from anvilflow.cell import _leader
from anvilflow.cell._job_store import cancel_stored_job
from anvilflow.cell._tables import CANCEL_MARK, JOBS, job_part

from ._helpers import CANCEL_S, JOB, make_cell


def test_row_of_another_submission_is_not_reported_with_this_ones_content(monkeypatch):
    """Guards against a job that runs with other steps than those of its row.

    A client sends the same id with another body. The write of the second submission is refused, but
    its answer is lost, and the read of the row finds that of the first one.
    """
    monkeypatch.setattr(_leader, "JOBS_FEED_S", 4.0)
    cell = make_cell(n_instances=3)
    cell.advance(2.0)
    first, second = [name for name in cell.daemons if name != cell.leader()]
    cell.isolate(first)
    cell.submit(first, JOB, {"count": 1, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(0.05)
    assert cell.spans == []
    cell.store_faults.loses_answers = True
    cell.store_faults.only = {second}
    answers = cell.submit(second, JOB, {"count": 3, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(0.2)
    cell.store_faults.clear()
    cell.advance(0.4)
    assert answers[0][0] == 200
    cell.advance(6.0)
    assert len(cell.spans) == 1
    assert cell.state(second, JOB) == "completed"


def test_mark_is_refused_for_a_row_that_was_written_anew():
    """Guards against a changed row that is taken for that of a job that has ended.

    The row is removed and written again, by another submission of the id, between the read and the
    mark of a cancellation.
    """
    cell = make_cell()
    cell.submit("a0", JOB, {"count": 2, "cpu": 1000}, spec="60.0 done 1000")
    cell.advance(0.5)
    store = cell.daemons["a0"].context.store
    commit = store.commit

    def commit_after_another_submission(*values, **options):
        store.commit = commit
        row = cell.store.value(JOBS, JOB, part=job_part(JOB))
        cell.store.remove(JOBS, JOB, part=job_part(JOB))
        cell.store.put(JOBS, JOB, row, part=job_part(JOB))
        return commit(*values, **options)

    store.commit = commit_after_another_submission
    found = []
    cancel_stored_job(store, JOB).addCallback(found.append)
    cell.advance(CANCEL_S)
    assert found == [True]
    assert cell.store.value(JOBS, JOB + CANCEL_MARK, part=job_part(JOB))
    assert cell.state("a0", JOB) == "cancelled"


def test_mark_is_refused_for_a_row_that_was_removed():
    """Guards against a cancellation that is acknowledged for a job that is gone."""
    cell = make_cell()
    cell.submit("a0", JOB, {"count": 2, "cpu": 1000}, spec="60.0 done 1000")
    cell.advance(0.5)
    store = cell.daemons["a0"].context.store
    commit = store.commit

    def commit_after_removal(*values, **options):
        store.commit = commit
        cell.store.remove(JOBS, JOB, part=job_part(JOB))
        return commit(*values, **options)

    store.commit = commit_after_removal
    found = []
    cancel_stored_job(store, JOB).addCallback(found.append)
    cell.advance(0.5)
    assert found == [False]
