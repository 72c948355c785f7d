"""Tests that entries of other programs in the workers' registry do no harm."""

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.defer import fail, succeed
from twisted.internet.task import deferLater

from anvilflow.cell import _leader, _leader_state, _registry
from anvilflow.exceptions import RevisionGoneError
from anvilflow.platform import REGISTRY_TABLE
from anvilflow.standins import PlatformCell, make_platform_config

from ._helpers import JOB, STEP, make_cell

#: Entries as another program may write them: other data, missing fields, a state or service that
#: does not exist.
INVALID_ENTRIES = [
    {"hello": 1},
    {"service": "desk", "address": "w0:1"},
    {"state": "resting"},
    {"service": "nobody's"},
    {"address": "w0"},
]


def overwrite(cell, key, change):
    """Write a registry entry as another program would."""
    entry = cell.workers["i-0"].entry()
    is_near = len(change) == 1 and "hello" not in change
    cell.store.put("servers", key, {**entry, **change} if is_near else change)


@pytest.mark.parametrize("change", INVALID_ENTRIES)
def test_entry_that_names_no_worker_is_logged_once(change):
    """Guards against a log line for each write of an entry that another program repeats.

    The entry gets no session and no work either.
    """
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
    """Another program rewrites an entry, also just before the leader fails.

    The next leader finds the change in the registry's history; the former leader's row shows that
    the entry was never a worker's. Without that, tasks might still run on an unknown worker, and
    the pending tasks of all jobs would wait until every lease has ended, 3.8 s.
    """
    if not safeguard:
        monkeypatch.setattr(_registry.Registry, "read", _read_and_clear_nameless)
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


def _read_and_clear_nameless(self, row):
    info = READ(self, row)
    self.scheduler.nameless.clear()
    return info


READ = _registry.Registry.read


@pytest.mark.parametrize("change", INVALID_ENTRIES)
@pytest.mark.parametrize("with_take_over", [False, True])
def test_tasks_on_a_worker_whose_entry_is_overwritten_are_kept(change, with_take_over):
    """Guards against losing or repeating tasks on a busy worker whose entry is overwritten.

    The leader keeps renewing the worker's leases and lists the worker in its handover, in case the
    leader fails as well.
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
def test_entry_overwritten_as_the_leader_fails_hides_no_tasks(monkeypatch, safeguard):
    """A worker's entry is overwritten when the leader fails, so that no leader has seen the change.

    The next leader does not have the worker's address. It finds the change in the registry's
    history and waits for the worker's leases before it starts tasks that may run there. When it
    treated the entry like any other, the task ran a second time beside the first run.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_state, "find_missing", lambda *args: succeed(frozenset()))
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.0)
    overwrite(cell, cell.spans[0].worker, {"hello": 1})
    cell.kill(cell.leader())
    cell.advance(5.0)
    assert (cell.check() == []) is safeguard


def test_worker_is_used_again_once_its_entry_is_restored():
    """Jobs wait while the only worker's entry is overwritten, until the worker writes it again."""
    cell = make_cell(n_workers=1)
    overwrite(cell, "i-0", {"state": "resting"})
    cell.advance(0.5)
    cell.submit(cell.other(), JOB, STEP)
    cell.advance(1.0)
    assert cell.spans == []
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    cell.advance(0.2)
    assert len(cell.spans) == 4


def test_worker_of_a_service_that_is_configured_later_is_used():
    """Guards against ignoring a worker that registered before its service was configured."""
    cell = PlatformCell(n_workers=1)
    early = cell.add_worker("i-9", "w9:1")
    cell.store.put("servers", "i-9", {**early.entry(), "service": "new"})
    cell.start()
    workers = cell.daemons[cell.leader()].context.leader._scheduler.workers
    assert early.identity not in workers
    config = make_platform_config(version=2)
    cell.store.put("op", "config", {**config, "services": [*config["services"], {"name": "new"}]})
    cell.advance(0.5)
    assert workers[early.identity].info.service == "new"


def test_ignored_entry_that_was_removed_unseen_is_not_used_later():
    """Guards against a worker without an entry: the history with its removal was lost."""
    cell = PlatformCell(n_workers=1)
    early = cell.add_worker("i-9", "w9:1", is_registered=False)
    _register(cell, "i-9", "new")
    cell.start()
    store = cell.daemons[cell.leader()].context.store
    follow, store.follow = store.follow, _follow_without_history(cell, store.follow)
    cell.advance(_leader.WORKERS_FEED_S + 0.5)
    cell.store.remove("servers", "i-9")
    cell.advance(1.0)
    store.follow = follow
    config = make_platform_config(version=2)
    cell.store.put("op", "config", {**config, "services": [*config["services"], {"name": "new"}]})
    cell.advance(0.5)
    leader = cell.daemons[cell.leader()].context.leader
    assert leader._scheduler.config.has_service("new")
    assert early.identity not in leader._scheduler.workers
    assert "i-9" not in cell.store.value("home", "home", part="cell")["nameless"]


def _follow_without_history(cell, follow):
    def follow_or_fail(table, version, **values):
        if table != REGISTRY_TABLE:
            return follow(table, version, **values)
        failure = RevisionGoneError("the history is lost")
        return deferLater(cell.clock, 0.5, lambda: fail(failure))

    return follow_or_fail


@pytest.mark.parametrize("entry", [None, {"hello": 2}])
def test_worker_gets_no_task_while_a_claim_names_its_entry_as_nameless(entry):
    """Guards against a second run: the next leader would not wait for the worker.

    The row of a claim has the nameless entries of the former leader until the new leader's first
    write of it, which is late here; meanwhile one entry becomes a worker's, and `entry` again when
    this leader fails.
    """
    cell = PlatformCell(n_instances=5, n_workers=2)
    for worker_id in cell.workers:
        overwrite(cell, worker_id, {"hello": 1})
    cell.start()
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 9000}, spec="6.0 done 9000")
    cell.advance(0.5)
    first = cell.leader()
    cell.kill(first)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    stores = [daemon.context.store for daemon in cell.daemons.values()]
    commits = [store.commit for store in stores]
    for store in stores:
        store.commit = _delay_writes_after_claim(cell, store.commit, first)
    cell.advance(0.9)
    second = cell.leader()
    assert second != first
    cell.kill(second)
    for store, commit in zip(stores, commits, strict=True):
        store.commit = commit
    if entry is None:
        cell.store.remove("servers", "i-0")
    else:
        overwrite(cell, "i-0", entry)
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry())
    cell.advance(4.0)
    assert cell.spans
    assert cell.check() == []


def _delay_writes_after_claim(cell, commit, former):
    def commit_late(*args, **values):
        delay_s = 2.0 if cell.leader() != former else 0.0
        return deferLater(cell.clock, delay_s, commit, *args, **values)

    return commit_late


@pytest.mark.parametrize("slow", [(), ("a0", "a1", "a2")])
@pytest.mark.parametrize("known_for_s", [0.0, 0.5])
def test_tasks_on_workers_of_a_removed_service_are_kept_by_the_next_leader(slow, known_for_s):
    """Guards against second runs after a queue moved to another service and the leader changed.

    The former leader has known the configuration for `known_for_s` seconds or not at all. Instances
    on slow links have standby tables.
    """
    cell = PlatformCell(n_instances=3, n_workers=2, config=_config_of("former"), slow=slow)
    for worker_id in cell.workers:
        _register(cell, worker_id, "former")
    cell.start()
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 9000}, spec="6.0 done 9000")
    cell.advance(1.0)
    for worker_id in ("i-8", "i-9"):
        cell.add_worker(worker_id, f"{worker_id}:1", is_registered=False)
        _register(cell, worker_id, "next")
    cell.advance(1.0)
    cell.store.put("op", "config", _config_of("next", version=2))
    cell.advance(known_for_s)
    cell.kill(cell.leader())
    cell.advance(9.0)
    assert cell.check() == []
    assert [span.how for span in cell.spans] == ["done", "done"]


def _config_of(service, *, version=1):
    """Return a configuration whose queues belong to `service`, the only one."""
    queues = [{"name": "urgent", "prefix": "/urgent/", "priority": 0, "service": service}]
    config = make_platform_config(version=version, queues=queues)
    return {**config, "services": [{"name": service}]}


def _register(cell, worker_id, service):
    cell.store.put("servers", worker_id, {**cell.workers[worker_id].entry(), "service": service})


@pytest.mark.parametrize("safeguard", [True, False])
def test_reads_of_the_registry_are_bounded_however_often_entries_change(monkeypatch, safeguard):
    """Guards against a read for each heartbeat of each worker; a draining one is still found."""
    if not safeguard:
        monkeypatch.setattr(_leader, "WORKERS_FEED_PAUSE_S", 0.0)
    cell = make_cell(n_workers=4)
    calls = cell.daemons[cell.leader()].context.store.calls
    cell.advance(2.0)
    before = calls["follow", "servers"]
    for sequence in range(200):
        worker_id = f"i-{sequence % 4}"
        entry = {**cell.workers[worker_id].entry(), "sequence": sequence}
        cell.store.put("servers", worker_id, entry)
        cell.advance(0.01)
    assert (calls["follow", "servers"] - before <= 21) is safeguard
    if safeguard:
        cell.store.put("servers", "i-0", cell.workers["i-0"].entry(state="draining"))
        cell.advance(0.2)
        assert (
            cell.daemons[cell.leader()]
            .context.leader._scheduler.find_incarnation("i-0")
            .info.draining
        )
