"""A leader that is cut off from the store and the other instances, with most workers."""

import pytest

from anvilflow.jobs import GracePeriod

from ._helpers import JOB, make_cell

#: Time after which a new leader no longer waited for workers that it does not reach, with the
#: expiry of commands and leases. Unit: seconds.
LONGEST_WAIT_S = 20.0


def _split(cell):
    """Let the leader reach three of five workers only, and the others the rest; return the three.

    The leader does not reach the store.
    """
    former = cell.leader()
    others = set(cell.daemons) - {former}
    cell.isolate(former)
    cell.store_faults.silent = True
    cell.store_faults.only = {former}
    names = sorted(cell.worker_faults)
    for number, name in enumerate(names):
        cell.worker_faults[name].silent = True
        cell.worker_faults[name].only = others if number < 3 else {former}
    return names[:3]


def _make_cell_with_long_job():
    cell = make_cell(n_instances=3, n_workers=5)
    step = {"count": 5, "cpu": 4000, "estimate-ms": 60_000, "anti-affinity": 2}
    cell.submit("a0", JOB, step, spec="60.0 done 4000")
    cell.advance(1.0)
    return cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_next_leader_waits_for_registered_workers_that_a_former_one_may_reach(
    monkeypatch, safeguard
):
    """Guards against starting the tasks again of workers that a former leader still controls."""
    if not safeguard:
        give_up = GracePeriod.give_up_waiting
        monkeypatch.setattr(
            GracePeriod, "give_up_waiting", lambda self, *values: give_up(self, 0, 0, values[-1])
        )
    cell = _make_cell_with_long_job()
    _split(cell)
    cell.advance(LONGEST_WAIT_S + 1.0)
    assert len(cell.leaders()) == 2
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("leads_s", [0.3, 1.0])
def test_number_of_workers_outlasts_a_leader_without_the_registrys_history(leads_s):
    """Guards against the third leader's majority of the few workers that are registered.

    The entries of the three workers that the first leader still controls have lapsed, and the
    second one, which leads for `leads_s` seconds, cannot read that in the history.
    """
    cell = _make_cell_with_long_job()
    first = cell.leader()
    for name in _split(cell):
        cell.store.remove("servers", name)
    cell.store.drop_history()
    cell.advance(1.5)
    second = cell.leader()
    assert second != first
    cell.advance(leads_s)
    cell.kill(second)
    cell.advance(9.0)
    assert len(cell.leaders()) == 2
    assert cell.check() == []


def test_workers_lost_for_good_do_not_keep_the_next_leader_waiting():
    """Guards against a wait without an end: the entries of most workers are gone."""
    cell = _make_cell_with_long_job()
    for name in sorted(cell.workers)[:3]:
        cell.crash_worker(name, restart_delay_s=None)
    cell.kill(cell.leader())
    cell.advance(LONGEST_WAIT_S + 2.0)
    active = {span.task for span in cell.spans if span.ended_at is None}
    assert len(active) == 4
    assert cell.check() == []


def test_former_leader_without_the_store_gives_up_workers_that_are_not_registered():
    """Guards against two leaders for good: also the workers are cut off from the store."""
    cell = _make_cell_with_long_job()
    names = _split(cell)
    cell.advance(1.0)
    for name in names:
        cell.store.remove("servers", name)
    cell.advance(LONGEST_WAIT_S + 1.0)
    assert cell.check() == []
