"""Lease renewals that a worker executes late, after it has started again."""

import pytest

from anvilflow.cell import _session
from anvilflow.standins import WorkerCall

from ._helpers import JOB, make_cell
from .test_restarted_workers import run_earlier_job


@pytest.mark.parametrize("safeguard", [True, False])
def test_late_renewal_to_a_former_incarnation_acknowledges_no_end_of_the_next_one(
    monkeypatch, safeguard
):
    """Guards against running a task again whose end was discarded before anybody had read it."""
    if not safeguard:
        monkeypatch.setattr(
            _session.WorkerSession,
            "_end_to_acknowledge",
            lambda self: self.fleet.last_acknowledged_end(self.worker_id),
        )
    cell = make_cell(n_instances=2, n_workers=2)
    run_earlier_job(cell)
    assert cell.workers["i-0"].n_ended > 0
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry(state="draining"))
    cell.advance(0.3)
    delays = {WorkerCall.HOLD: 1.5, WorkerCall.START: 1.0}
    cell.workers["i-0"].draw_delay = delays.get
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000")
    cell.advance(0.3)
    cell.restart_worker("i-0", is_registered=False).draw_delay = None
    cell.worker_faults["i-0"].silent = True
    cell.advance(2.0)
    assert [span.how for span in cell.runs_of(f"{JOB}.0.0.0")] == ["done"]
    cell.worker_faults["i-0"].clear()
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry())
    cell.advance(14.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"
