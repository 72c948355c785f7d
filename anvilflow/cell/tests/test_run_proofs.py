"""Runs that are taken for over without their end: only by a proof that holds, and logged."""

from logbook import TestHandler as LogRecorder

from ._helpers import JOB, make_cell


def _lines(log, event):
    return [record.kwargs for record in log.records if record.message == event]


def test_run_of_a_lost_worker_is_logged_with_the_proof_that_it_is_over():
    cell = make_cell(n_instances=3, n_workers=3)
    with LogRecorder().applicationbound() as log:
        cell.submit(cell.other(), JOB, {"count": 1, "cpu": 4000}, spec="6.0 done 4000")
        cell.advance(1.0)
        cell.worker_faults[cell.spans[0].worker].silent = True
        cell.advance(4.5)
    [line] = _lines(log, "run over without its end")
    assert (line["task"], line["run"], line["proof"]) == (f"{JOB}.0.0.0", 1, "lease over")
    assert _lines(log, "run was not over") == []
