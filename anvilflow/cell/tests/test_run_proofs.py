"""Runs that are taken for over without their end: only by a proof that holds, and logged."""

import pytest
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


@pytest.mark.parametrize("refused_after_s", [0.0, 0.3, 0.45])
def test_worker_that_leaves_and_refuses_connections_keeps_its_tasks_until_it_is_over(
    refused_after_s,
):
    """Guards against a second start while a leaving worker, its socket closed, ends its runs."""
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 6, "cpu": 4000}, spec="1.5 done 4000")
    cell.advance(0.4)
    worker = cell.workers[cell.spans[0].worker]
    entry = {**worker.entry(state="draining"), "remaining-ms": 1150}
    cell.store.put("servers", worker.worker_id, entry)
    cell.advance(0.6)
    cell.store.remove("servers", worker.worker_id)
    cell.advance(refused_after_s)
    with LogRecorder().applicationbound() as log:
        cell.worker_faults[worker.worker_id].refuses = True
        cell.advance(0.8)
        cell.worker_faults[worker.worker_id].clear()
        cell.advance(5.0)
    assert cell.check() == []
    assert _lines(log, "run was not over") == []
    assert cell.state("a0", JOB) == "completed"


@pytest.mark.parametrize("with_take_over", [True, False])
def test_worker_whose_entry_names_the_address_of_another_one_keeps_its_tasks(with_take_over):
    """Guards against taking an answer of another worker for the end of the one that was meant."""
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 6, "cpu": 4000}, spec="1.5 done 4000")
    cell.advance(0.6)
    worker = cell.workers[cell.spans[0].worker]
    other = next(each for each in cell.workers.values() if each is not worker)
    cell.store.put("servers", worker.worker_id, {**worker.entry(), "address": other.address})
    if with_take_over:
        cell.kill(cell.leader())
    cell.advance(3.0)
    cell.store.put("servers", worker.worker_id, worker.entry())
    cell.advance(5.0)
    assert cell.check() == []
    assert cell.state(cell.other(), JOB) == "completed"
