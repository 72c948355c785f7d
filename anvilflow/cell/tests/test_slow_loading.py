"""A leader that is replaced while it loads, and does not learn of it."""

import pytest
from twisted.internet.task import deferLater

from anvilflow.cell._tables import ENDED

from ._helpers import JOB, make_cell

#: Time for which the claim and the reads of a new leader are answered, before it is cut off. Unit:
#: seconds.
CONNECTED_S = 0.05

#: Time in which all runs of earlier leaders have ended and their tasks have started again. Unit:
#: seconds.
SETTLE_S = 12.0


def _delay_loading(cell, name, load_s):
    """Deliver one of the tables that an instance loads `load_s` seconds late."""
    store = cell.daemons[name].context.store
    read = store.read

    def read_late(table, part, **values):
        done = read(table, part, **values)
        if table == ENDED:
            done.addCallback(lambda found: deferLater(cell.clocks[name], load_s, lambda: found))
        return done

    store.read = read_late


def _cut_off(cell, name, workers):
    """Cut an instance off from the store and the other instances; it alone reaches `workers`."""
    cell.isolate(name)
    cell.store_faults.silent = True
    cell.store_faults.only = {name}
    for worker, faults in cell.worker_faults.items():
        faults.silent = True
        faults.only = set(cell.daemons) - {name} if worker in workers else {name}


@pytest.mark.parametrize("load_s", [1.8, 2.0, 2.2])
def test_leader_that_was_replaced_while_it_loaded_renews_no_leases(load_s):
    """Guards against the end of a long load that is taken for a confirmation of the leadership."""
    cell = make_cell(n_instances=3, n_workers=5)
    step = {"count": 5, "cpu": 4000, "estimate-ms": 60_000, "anti-affinity": 2}
    cell.submit("a0", JOB, step, spec="60.0 done 4000")
    cell.advance(1.0)
    first = cell.leader()
    second = cell.daemons[cell.other()].context.successors[0]
    _delay_loading(cell, second, load_s)
    cell.kill(first)
    while cell.leader() == first:
        cell.advance(0.005)
    assert cell.leader() == second
    cell.advance(CONNECTED_S)
    _cut_off(cell, second, sorted(cell.workers)[:2])
    cell.advance(load_s)
    assert cell.leader() not in (first, second)
    cell.advance(SETTLE_S)
    assert cell.check() == []
    assert len([span for span in cell.spans if span.ended_at is None]) == 5
