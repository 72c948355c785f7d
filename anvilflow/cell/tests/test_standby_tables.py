"""Standby tables: replicas of the leader's tables that its successors keep."""

import pytest

from anvilflow.cell._leader_state import read_state
from anvilflow.cell._standby_tables import N_STANDBYS, StandbyTablesPart
from anvilflow.cell._tables import LeaderRow

from ._helpers import JOB, STEP, cancel, make_cell
from .test_slow_links import NARROW_BYTES_PER_S, NARROW_MBPS, _cell_with_large_rows

NAMES = tuple(f"a{number}" for number in range(5))


def _result(done):
    """Return a list that receives the result of a Deferred."""
    results = []
    done.addBoth(results.append)
    return results


def _standbys(cell):
    return [name for name, each in cell.daemons.items() if each.context.standby_tables.is_complete]


@pytest.mark.parametrize("safeguard", [True, False])
def test_successor_with_standby_tables_leads_at_once(monkeypatch, safeguard):
    """Over a narrow link a new leader first read the rows of all jobs, while leases ended."""
    if not safeguard:
        monkeypatch.setattr(StandbyTablesPart, "is_complete", False)
    cell = _cell_with_large_rows()
    for name, daemon in cell.daemons.items():
        daemon.context.settings.link_mbps = NARROW_MBPS
        cell.wire.slow_link(name, NARROW_BYTES_PER_S)
    cell.advance(12.0)
    cell.kill(cell.leader())
    cell.advance(1.0)
    assert (len(cell.leaders()) == 1) is safeguard


def test_only_the_next_successors_follow_and_only_if_loading_is_slow():
    """Each instance that follows the tables adds reads of all changes to the store's load."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    successors = cell.daemons[cell.leader()].context.links.successors
    assert set(_standbys(cell)) == set(successors[:N_STANDBYS])
    fast = make_cell(n_instances=5)
    fast.advance(2.0)
    assert _standbys(fast) == []


def test_standby_tables_equal_a_complete_read():
    """Rows are added, changed and removed after the first read of the tables."""
    cell = make_cell(n_instances=5, n_workers=4, weak=NAMES)
    cell.advance(2.0)
    gateway = cell.other()
    for number in range(12):
        spec = f"{0.2 + number / 3} done 1000"
        cell.submit(gateway, f"{number:016x}", STEP, {**STEP, "after": [0]}, spec=spec)
        cell.advance(0.2)
    cell.submit(gateway, JOB, STEP, spec="30.0 done 1000")
    cell.advance(0.3)
    cancel(cell, gateway)
    cell.store.remove("servers", "i-3")
    cell.advance(2.0)
    context = cell.daemons[_standbys(cell)[0]].context
    followed = _result(context.standby_tables.state(None))
    read = _result(read_state(context.store, None))
    cell.advance(0.1)
    for name in ("jobs", "progress", "ended", "workers"):
        assert _versions(getattr(followed[0], name)) == _versions(getattr(read[0], name)), name
    assert followed[0].missing == read[0].missing


def _versions(rows):
    return {(row.part, row.key): row.version for row in rows}


def test_tables_are_read_again_after_the_history_is_lost():
    """A leader must not start from rows that lack some of the changes."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    cell.store.put("jobs", "unreadable", 1, part="jobs-00")
    cell.store.drop_history()
    former = cell.leader()
    cell.kill(former)
    cell.advance(2.0)
    assert len(cell.leaders()) == 1
    cell.submit(cell.leader(), JOB, STEP, spec="0.2 done 1000")
    cell.advance(1.0)
    assert len(cell.spans) == STEP["count"]


def test_leader_loads_while_the_history_is_lost_to_another_read_of_the_changes():
    """Guards against an error of the part: the tables were withdrawn while it waited."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    context = cell.daemons[_standbys(cell)[0]].context
    tables, follow = context.standby_tables, context.store.follow

    def follow_as_history_is_lost(table, version, **values):
        if version == former.registry_version:
            cell.store.put("jobs", "unreadable", 1, part="jobs-00")
            cell.store.drop_history()
            tables._follow()
        return follow(table, version, **values)

    former = LeaderRow(holder="", incarnation="", address="", term=1, registry_version=1)
    context.store.follow = follow_as_history_is_lost
    loaded = _result(tables.state(former))
    cell.advance(0.1)
    assert not tables.is_complete
    [state] = loaded
    assert len(state.workers) == 4
    assert state.missing is None


def test_outdated_answer_changes_nothing():
    """Two reads of the changes, from before and after a claim, may be pending at once."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    tables = cell.daemons[_standbys(cell)[0]].context.standby_tables
    table = tables._tables["jobs"]
    rows, version = dict(table.rows), table.version
    table.apply_changes([], version + 5)
    table.apply_changes(list(rows.values()), version + 1)
    assert table.version == version + 5
