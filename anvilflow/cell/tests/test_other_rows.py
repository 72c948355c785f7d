"""Rows of a job that another submission has written, or that were written anew after a removal."""

from anvilflow.cell import _leader

from ._helpers import JOB, make_cell


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
