"""Tests that a worker whose entry comes back during a change of leader keeps its tasks."""

import pytest
from twisted.internet.task import deferLater

from anvilflow.cell._standby_tables import StandbyTablesPart
from anvilflow.platform import REGISTRY_TABLE

from ._helpers import JOB, make_cell

#: Id of a job that occupies all workers.
BUSY_JOB = "00000000000000b1"

#: Step of virtual time. Unit: seconds.
STEP_S = 0.005

#: Delay of the reads of changes in a slow store. Unit: seconds.
FEED_DELAY_S = 0.5


@pytest.mark.parametrize("slow", [(), ("a0", "a1", "a2")])
def test_worker_that_registers_between_two_reads_of_a_new_leader_is_waited_for(monkeypatch, slow):
    """Guards against a second run of its tasks: the first read is before, the second after it.

    The entry lapsed in an outage of the store, and the worker's tasks go on. Instances on slow
    links have standby tables.
    """
    cell = make_cell(n_instances=3, n_workers=4, slow=slow)
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 16000}, spec="4.0 done 16000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    cell.store.remove("servers", worker.worker_id)
    former = cell.leader()
    cell.kill(former)
    monkeypatch.setattr(StandbyTablesPart, "_should_follow", lambda self: False)
    for name in cell.daemons:
        _register_after_read(cell, name, worker)
    cell.advance(2.0)
    assert cell.leader() != former
    assert cell.store.value("servers", worker.worker_id) is not None
    assert cell.check() == []


@pytest.mark.parametrize("leads_s", [0.3, 0.6, 1.0, 1.5])
def test_worker_with_an_overwritten_entry_is_waited_for_by_each_next_leader(leads_s):
    """Guards against a second run of its tasks: the third leader took the entry for a foreign one.

    The second leader, which leads for `leads_s` seconds, waits for the worker, and has never read
    an entry that gives its address.
    """
    cell = make_cell(n_instances=5, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 16000}, spec="14.0 done 16000")
    cell.advance(1.0)
    worker_id = cell.spans[0].worker
    first = cell.leader()
    cell.kill(first)
    cell.store.put("servers", worker_id, {"hello": 1})
    _advance_to_next_leader(cell, first)
    cell.advance(leads_s)
    row = cell.store.value("home", "home", part="cell")
    assert worker_id in row["missing"]
    cell.kill(cell.leader())
    cell.advance(6.0)
    assert cell.check() == []


@pytest.mark.parametrize("reads_s", [0.02, 0.04])
def test_worker_that_registers_as_a_leader_hands_over_gets_no_task_from_it_alone(reads_s):
    """Guards against a second run: the former leader finds the worker before the next one does.

    The next leader knows all other workers by then, and a place for the waiting task becomes free
    there `reads_s` seconds later, before its first read of changes of the registry.
    """
    cell = make_cell(n_instances=4, n_workers=3)
    cell.submit(cell.other(), BUSY_JOB, {"count": 3, "cpu": 16000}, spec="4.0 done 16000")
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 16000}, spec="3.0 done 16000")
    cell.advance(0.3)
    worker = cell.add_worker("i-9", "w9:1", is_registered=False)
    former = cell.leader()
    cell.daemons[former].drain()
    _advance_until_all_runs_are_known(cell, former)
    cell.store.put("servers", "i-9", worker.entry())
    cell.advance(reads_s)
    busy = cell.spans[0]
    cell.workers[busy.worker]._end(busy.task, "done")
    cell.advance(4.0)
    assert len(cell.runs_of(f"{JOB}.0.0.0")) == 1
    assert cell.check() == []


def _advance_until_all_runs_are_known(cell, former, *, timeout_s=4.0):
    """Advance until an instance other than `former` leads and knows the runs of all workers."""
    until = cell.clock.seconds() + timeout_s
    while cell.clock.seconds() < until:
        cell.advance(STEP_S)
        for name in cell.leaders():
            scheduler = cell.daemons[name].context.leader._scheduler
            if name != former and scheduler.are_all_runs_known(cell.clocks[name].seconds()):
                return
    raise AssertionError("no other leader")


def _advance_to_next_leader(cell, former, *, timeout_s=4.0):
    """Advance until the leader's row names another instance than `former`."""
    until = cell.clock.seconds() + timeout_s
    while cell.leader() == former:
        assert cell.clock.seconds() < until
        cell.advance(0.01)


def _register_after_read(cell, name, worker):
    """Write a worker's entry after an instance that leads has read the registry; delay its feed."""
    store = cell.daemons[name].context.store
    follow = store.follow
    former = cell.store.value("home", "home", part="cell")

    def follow_late(table, version, *, wait_s, **values):
        if table == REGISTRY_TABLE and wait_s:
            return deferLater(
                cell.clock, FEED_DELAY_S, follow, table, version, wait_s=wait_s, **values
            )
        if table == REGISTRY_TABLE and version == former["registry_version"]:
            cell.store.put("servers", worker.worker_id, worker.entry())
        return follow(table, version, wait_s=wait_s, **values)

    store.follow = follow_late
