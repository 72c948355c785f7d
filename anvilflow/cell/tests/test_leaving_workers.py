"""Leases of workers that have announced when they leave, and may stay longer.

With `safeguard` False, a test disables the safeguard and expects the failure.
"""

import pytest

from anvilflow.cell import _fleet, _leadership
from anvilflow.cell._lag import LagMeter
from anvilflow.jobs import Worker, _worker

from ._helpers import JOB, make_cell

NAMES = tuple(f"a{number}" for number in range(5))


def _make_cell_with_leaving_worker(*, settle_s=2.0, leaves_in_s=0.5, **values):
    """Return a cell in which a worker with tasks has announced its departure, and the worker."""
    cell = make_cell(**{"n_instances": 3, "n_workers": 4, **values})
    cell.submit(cell.other(), JOB, {"count": 6, "cpu": 4000}, spec="20 done 4000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    entry = {**worker.entry(state="draining"), "remaining-ms": round(1000 * leaves_in_s)}
    cell.store.put("servers", worker.worker_id, entry)
    cell.advance(settle_s)
    return cell, worker


def _n_lapsed(cell):
    return sum(span.how == "lapsed" for span in cell.spans)


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("stays_s", [0.0, 0.1, 0.2, 1.0, 5.0])
def test_tasks_of_a_worker_that_has_left_start_elsewhere_soon(monkeypatch, stays_s, safeguard):
    """Guards against waiting for a full lease after the departure of a worker that announced it."""
    if not safeguard:
        monkeypatch.setattr(Worker, "next_lease_s", lambda self, now, max_s: max_s)
    cell, worker = _make_cell_with_leaving_worker(leaves_in_s=2.0, settle_s=2.0 + stays_s)
    tasks = {span.task for span in cell.spans if span.worker == worker.worker_id}
    cell.end_worker_process(worker.worker_id)
    cell.worker_faults[worker.worker_id].refuses = True
    cell.store.remove("servers", worker.worker_id)
    left_at = cell.clock.seconds()
    cell.advance(1.9)
    started = {span.task for span in cell.spans if span.began_at > left_at}
    assert (started == tasks) is safeguard
    assert cell.check() == []


def test_unresponsive_leader_is_replaced_within_the_lease_of_a_leaving_worker():
    """Guards against timeouts that let these leases expire before a leader is replaced."""
    takeover = _leadership.UNRESPONSIVE_S + _leadership.MIN_UNCHANGED_S + 0.5
    assert takeover + _fleet.LEAVING_RENEWAL_WAIT_S < _worker.LEAVING_LEASE_S


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("fault", ["power_off", "pause"])
def test_tasks_of_a_worker_that_stays_go_on_beside_a_change_of_leader(
    monkeypatch, fault, safeguard
):
    """Guards against leases so short that they lapse before the next leader renews them."""
    if not safeguard:
        monkeypatch.setattr(_worker, "LEAVING_LEASE_S", 0.4)
    cell, _ = _make_cell_with_leaving_worker()
    getattr(cell, fault)(cell.leader())
    cell.advance(5.0)
    assert (_n_lapsed(cell) == 0) is safeguard
    assert cell.check() == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_tasks_of_a_worker_that_stays_go_on_beside_a_frozen_relay(monkeypatch, safeguard):
    """Guards against leases that lapse because one renewal is lost."""
    if not safeguard:
        monkeypatch.setattr(_fleet, "LEAVING_RENEWAL_WAIT_S", _fleet.RENEWAL_WAIT_S)
    cell, worker = _make_cell_with_leaving_worker(n_instances=5, n_workers=6, weak=NAMES)
    leader = cell.daemons[cell.leader()].supervisor.part("home")
    cell.pause(leader._fleet.relay_dispatcher.relay_for_worker(worker.identity))
    cell.advance(3.0)
    assert (_n_lapsed(cell) == 0) is safeguard


def _use_short_leases(monkeypatch):
    monkeypatch.setattr(_fleet.Fleet, "_are_renewals_prompt", lambda self, limit_s: True)


@pytest.mark.parametrize("safeguard", [True, False])
def test_leases_of_a_leader_that_is_short_of_cpu_are_not_shortened(monkeypatch, safeguard):
    """Guards against leases shorter than the time between renewals that a busy leader sends."""
    monkeypatch.setattr(LagMeter, "is_short_of_cpu", property(lambda self: True))
    if not safeguard:
        _use_short_leases(monkeypatch)
    cell, worker = _make_cell_with_leaving_worker(settle_s=2.5)
    cell.worker_faults[worker.worker_id].silent = True
    cell.advance(0.5)
    cell.worker_faults[worker.worker_id].clear()
    cell.advance(3.0)
    assert (_n_lapsed(cell) == 0) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_leases_are_not_shortened_while_all_workers_answer_late(monkeypatch, safeguard):
    """Guards against leases that lapse on a full link."""
    if not safeguard:
        _use_short_leases(monkeypatch)
    cell, _ = _make_cell_with_leaving_worker(settle_s=0.0)
    for slow_s in (0.3, 0.5, 0.8):
        for faults in cell.worker_faults.values():
            faults.slow_s = slow_s
        cell.advance(1.0)
    cell.advance(3.0)
    assert (_n_lapsed(cell) == 0) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_leases_are_not_shortened_while_the_store_is_unavailable(monkeypatch, safeguard):
    """Guards against lapses beside two faults at once, when no other leader can take over."""
    if not safeguard:
        _use_short_leases(monkeypatch)
    cell, worker = _make_cell_with_leaving_worker()
    cell.store_faults.silent = True
    cell.advance(2.0)
    cell.worker_faults[worker.worker_id].silent = True
    cell.advance(1.8)
    cell.worker_faults[worker.worker_id].clear()
    cell.advance(3.0)
    assert (_n_lapsed(cell) == 0) is safeguard
