"""Take-overs beside workers that the next home cannot ask, or would not even know of."""

import pytest

from anvilflow.cell import _recorder
from anvilflow.jobs import Scheduler, Worker

from ._helpers import JOB, STEP, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_is_cut_off_from_the_store_alone_is_known_to_the_next_home(
    monkeypatch, safeguard
):
    """A worker does not reach the store: its entry lapses, its tasks run on under their leases.

    Then the home dies. The next one finds no such worker in the registry. Without the former
    home's word it starts the tasks elsewhere while they still run.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder, "held_apart", lambda scheduler, now: [])
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    cell.store.remove("servers", cell.spans[0].worker)
    cell.advance(1.0)
    cell.kill(cell.home())
    cell.advance(5.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_take_over_beside_a_dark_worker_starts_other_tasks_at_once(monkeypatch, safeguard):
    """A worker is dark, and a second later the home dies; a clerk's lookup has a second step.

    What the former home had running on the dark worker stands in its row. Without that, every
    task of every job waits until the longest lease has ended: 3.2 s.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder, "held_apart", lambda scheduler, now: [])
    cell = make_cell(n_instances=3, n_workers=4)
    cell.worker_faults["i-3"].silent = True
    cell.advance(1.0)
    cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}, spec="1.5 done 1000")
    cell.advance(1.2)
    cell.kill(cell.home())
    killed_at = cell.clock.seconds()
    cell.advance(6.0)
    second = [span.began_at - killed_at for span in cell.spans if span.task.split(".")[2] == "1"]
    assert len(second) == 4
    assert (max(second) < 1.5) is safeguard
    assert cell.check() == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_a_dark_worker_waits_for_its_lease_and_no_other_does(monkeypatch, safeguard):
    """A task runs on a worker that goes dark and runs on; then the home dies.

    The row names the task, so that the next home leaves it alone until its lease has ended.
    Without the names it runs twice.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "take_on_unheard", _forget_runs)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    cell.worker_faults[cell.spans[0].worker].silent = True
    cell.advance(1.6)
    cell.kill(cell.home())
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard
    assert len(cell.spans) == 3


def _forget_runs(self, worker_id, runs, now):
    self.workers[worker_id].accounted = True


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_was_said_to_be_dark_gets_no_task_before_that_is_taken_back(
    monkeypatch, safeguard
):
    """A dark worker answers again while the store is away; then the home dies.

    The row still names what ran there. A task that was started since would not be among it, and
    the next home, which the worker does not answer, would start it elsewhere.
    """
    if not safeguard:
        monkeypatch.setattr(Worker, "accepts", _accepts_without_word)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.worker_faults["i-0"].silent = True
    cell.advance(2.0)
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry(state="draining"))
    cell.submit("a0", JOB, {"count": 1, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.advance(0.6)
    cell.worker_faults["i-0"].clear()
    cell.advance(1.0)
    assert bool(cell.spans) is not safeguard
    cell.worker_faults["i-0"].silent = True
    cell.kill(cell.home())
    cell.store_faults.clear()
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry())
    cell.advance(1.5)
    assert (cell.check() == []) is safeguard
    cell.worker_faults["i-0"].clear()
    cell.advance(5.0)


def _accepts_without_word(self, now):
    return self.confirmed and self.listed and not self.silent and not self.info.draining
