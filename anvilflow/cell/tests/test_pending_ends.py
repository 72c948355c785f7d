"""Workers with more pending ends than one report holds."""

import pytest

from anvilflow.jobs import MAX_ENDS_PER_REPORT, WorkerReport

from ._helpers import JOB, make_cell


def _add_ends(worker, n=MAX_ENDS_PER_REPORT):
    """Add ends of a job that does not exist any more, before those of the next runs."""
    first = worker.n_ended + 1
    worker.finished += [
        [number, f"00000000000000ff.0.0.{number}", 1, "stopped", ""]
        for number in range(first, first + n)
    ]
    worker.n_ended += n


def _count_each_report_as_complete(monkeypatch):
    monkeypatch.setattr(WorkerReport, "has_all_ends", property(lambda self: True))


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_whose_end_is_not_in_the_first_report_to_a_new_leader_is_not_run_again(
    monkeypatch, safeguard
):
    """Guards against a new leader that takes a report without all ends for a complete one."""
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="1.0 done 9000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    for worker in cell.workers.values():
        _add_ends(worker)
    cell.advance(0.8)
    assert [span.how for span in cell.spans] == ["done", "done"]
    if not safeguard:
        _count_each_report_as_complete(monkeypatch)
    cell.kill(cell.leader())
    cell.store_faults.clear()
    cell.advance(6.0)
    assert (cell.check() == []) is safeguard
    assert cell.state(cell.other(), JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_of_a_former_incarnation_waits_for_all_ends_of_the_next_one(monkeypatch, safeguard):
    """Guards against running a task again that a late start to the former incarnation ended."""
    if not safeguard:
        _count_each_report_as_complete(monkeypatch)
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="9.0 done 1000")
    cell.advance(1.0)
    [span] = cell.spans
    worker = cell.restart_worker(span.worker)
    _add_ends(worker)
    worker.n_ended += 1
    worker.finished.append([worker.n_ended, span.task, span.run_id, "done", ""])
    cell.advance(6.0)
    assert (len(cell.spans) == 1) is safeguard
    assert cell.state("a0", JOB) == "completed"
