"""Tables that the next leaders follow before they claim."""

import pytest

from anvilflow.cell._leader_state import read_state
from anvilflow.cell._standby_tables import N_STANDBYS, StandbyTablesPart

from ._helpers import JOB, STEP, cancel, make_cell
from .test_slow_links import NARROW, NARROW_MBPS, _cell_with_large_rows

NAMES = tuple(f"a{number}" for number in range(5))


def _result(done):
    """Return what a Deferred has fired with."""
    results = []
    done.addBoth(results.append)
    return results


def _warm(cell):
    return [name for name, each in cell.daemons.items() if each.context.standby_tables.is_complete]


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_begins_at_once_after_the_loss_of_another(monkeypatch, safeguard):
    """Over a narrow link it read the rows of all jobs first, while leases ended."""
    if not safeguard:
        monkeypatch.setattr(StandbyTablesPart, "is_complete", False)
    cell = _cell_with_large_rows()
    for name, daemon in cell.daemons.items():
        daemon.context.settings.link_mbps = NARROW_MBPS
        cell.wire.slow_link(name, NARROW)
    cell.advance(12.0)
    cell.kill(cell.leader())
    cell.advance(1.0)
    assert (len(cell.leaders()) == 1) is safeguard


def test_only_the_next_leaders_follow_and_only_where_reading_takes_long():
    """Each follower reads all that is written."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    successors = cell.daemons[cell.leader()].context.links.successors
    assert set(_warm(cell)) == set(successors[:N_STANDBYS])
    fast = make_cell(n_instances=5)
    fast.advance(2.0)
    assert _warm(fast) == []


def test_followed_tables_are_those_that_a_reading_finds():
    """Rows that were added, changed and removed since the first reading."""
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
    context = cell.daemons[_warm(cell)[0]].context
    followed = _result(context.standby_tables.state(None, context.config))
    read = _result(read_state(context.store, None, context.config))
    cell.advance(0.1)
    for name in ("jobs", "progress", "ended", "workers"):
        assert _versions(getattr(followed[0], name)) == _versions(getattr(read[0], name)), name
    assert followed[0].missing == read[0].missing


def _versions(rows):
    return {(row.part, row.key): row.version for row in rows}


def test_history_that_is_gone_has_the_tables_read_anew():
    """A leader must not begin on rows that changes are missing from."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    cell.store.put("jobs", "unreadable", 1, part="jobs-00")
    cell.store.forget_history()
    former = cell.leader()
    cell.kill(former)
    cell.advance(2.0)
    assert len(cell.leaders()) == 1
    cell.submit(cell.leader(), JOB, STEP, spec="0.2 done 1000")
    cell.advance(1.0)
    assert len(cell.spans) == STEP["count"]


def test_answer_that_is_overtaken_changes_nothing():
    """Two readings of changes may be under way, before and after a claim."""
    cell = make_cell(n_instances=5, weak=NAMES)
    cell.advance(2.0)
    warm = cell.daemons[_warm(cell)[0]].context.standby_tables
    table = warm._tables["jobs"]
    rows, version = dict(table.rows), table.version
    table.changed([], version + 5)
    table.changed(list(rows.values()), version + 1)
    assert table.version == version + 5
