"""Another program writes into the workers' registry; leaders change meanwhile."""

import pytest
from logbook import TestHandler as LogRecorder

from anvilflow.cell import _leader_state, _registry
from anvilflow.standins import PlatformCell, make_platform_config

from ._helpers import JOB, STEP, make_cell

#: What another program may leave under a key: bytes, fields missing, a state or a service that does
#: not exist.
BROKEN = [
    {"hello": 1},
    {"service": "desk", "address": "w0:1"},
    {"state": "resting"},
    {"service": "nobody's"},
    {"address": "w0"},
]


def overwrite(cell, key, change):
    """Let another program write an entry."""
    entry = cell.workers["i-0"].entry()
    is_near = len(change) == 1 and "hello" not in change
    cell.store.put("servers", key, {**entry, **change} if is_near else change)


@pytest.mark.parametrize("change", BROKEN)
def test_entry_that_names_no_worker_is_said_once(change):
    """Another program repeats its entry each second: one line, no session, no work."""
    cell = make_cell()
    with LogRecorder().applicationbound() as log:
        for _ in range(5):
            overwrite(cell, "stranger", change)
            cell.advance(1.0)
    lines = [line for line in log.records if line.message == "worker's entry not understood"]
    assert len(lines) == 1
    assert "stranger" not in cell.daemons[cell.leader()].context.leader._scheduler.workers


@pytest.mark.parametrize("safeguard", [True, False])
def test_entry_that_names_no_worker_does_not_delay_a_take_over(monkeypatch, safeguard):
    """Another program writes an entry again and again, also just before the leader dies.

    The next leader finds in the registry's history that the entry has changed. The leader's row
    says that it never was a worker's. Without that its tasks might run on, nobody knows where, and
    the waiting tasks of all jobs wait until every lease has ended, 3.8 s.
    """
    if not safeguard:
        monkeypatch.setattr(_registry.Registry, "read", _forget_nameless)
    cell = make_cell(n_instances=3, n_workers=3)
    overwrite(cell, "stranger", {"hello": 0})
    cell.advance(1.0)
    steps = [{"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}]
    cell.submit(cell.other(), JOB, *steps, spec="1.0 done 1000")
    cell.advance(0.9)
    overwrite(cell, "stranger", {"hello": 1})
    cell.kill(cell.leader())
    cell.advance(2.0)
    assert (len(cell.runs_of(f"{JOB}.0.1.0")) == 1) is safeguard


def _forget_nameless(self, row):
    info = READ(self, row)
    self.scheduler.nameless.clear()
    return info


READ = _registry.Registry.read


@pytest.mark.parametrize("change", BROKEN)
@pytest.mark.parametrize("with_take_over", [False, True])
def test_tasks_on_a_worker_whose_entry_is_overwritten_are_kept(change, with_take_over):
    """A busy worker's entry is overwritten; then, perhaps, the leader dies.

    Its tasks run to their ends, once each. The leader holds the worker on, and names it for the
    next.
    """
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit(cell.other(), JOB, {"count": 6, "cpu": 4000}, spec="4.0 done 4000")
    cell.advance(0.5)
    for span in {span.worker: span for span in cell.spans}.values():
        overwrite(cell, span.worker, change)
    cell.advance(1.0)
    if with_take_over:
        cell.kill(cell.leader())
    cell.advance(6.0)
    assert cell.check() == []
    assert sorted(span.task for span in cell.spans) == [f"{JOB}.0.0.{n}" for n in range(6)]
    assert all(span.how == "done" for span in cell.spans)


@pytest.mark.parametrize("safeguard", [True, False])
def test_entry_overwritten_as_the_leader_dies_hides_no_tasks(monkeypatch, safeguard):
    """A worker's entry is overwritten at the moment when the leader dies: no leader has seen it.

    The next leader cannot know where the worker is. It finds in the registry's history that an
    entry has changed to what names nobody, and waits for that worker's leases before it starts what
    may run there. Taken for an entry like any other, the task ran a second time beside the first.
    """
    if not safeguard:
        monkeypatch.setattr(
            _leader_state, "is_worker_entry", lambda row, config: row.value is not None
        )
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    overwrite(cell, cell.spans[0].worker, {"hello": 1})
    cell.kill(cell.leader())
    cell.advance(5.0)
    assert (cell.check() == []) is safeguard


def test_worker_is_used_again_from_the_moment_its_entry_is_whole():
    """The only worker's entry is overwritten: jobs wait. Its own next report brings it back."""
    cell = make_cell(n_workers=1)
    overwrite(cell, "i-0", {"state": "resting"})
    cell.advance(0.5)
    cell.submit(cell.other(), JOB, STEP)
    cell.advance(1.0)
    assert cell.spans == []
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    cell.advance(0.2)
    assert len(cell.spans) == 4


def test_worker_of_a_service_that_is_configured_later_is_found():
    """A worker registers before the operator names its service: it is used when that is named."""
    cell = PlatformCell(n_workers=1)
    early = cell.add_worker("i-9", "w9:1")
    cell.store.put("servers", "i-9", {**early.entry(), "service": "new"})
    cell.start()
    workers = cell.daemons[cell.leader()].context.leader._scheduler.workers
    assert "i-9" not in workers
    config = make_platform_config(version=2)
    cell.store.put("op", "config", {**config, "services": [*config["services"], {"name": "new"}]})
    cell.advance(0.5)
    assert workers["i-9"].info.service == "new"
