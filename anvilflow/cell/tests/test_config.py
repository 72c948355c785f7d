"""When a configuration is in force on instances whose links are slow.

An operator's 1,400 new routes came to all instances at once. Those on fast links had them in 0.1 s;
nearly all on links of 5 Mbit/s kept the old routes for good, served what had been dropped, refused
what had been added, and answered everything else late.

Evidence. Each slow instance logged `configuration not read: TimeoutError(3.8)` once, 1.9 s after
the change, and nothing more; from then on its link was full. The answer needs 1.8 s on such a link.
It had been given what was left of 3.8 s from the call, in which it had waited for the change, and
every later reading 0.8 s, so that none could end. A second reading, for the leader's hint, halved
the bandwidth of the first.
"""

import pytest

from anvilflow.cell import _config
from anvilflow.cell._config import ConfigPart
from anvilflow.platform import _store, decode_config
from anvilflow.standins import StoreCall, make_platform_config
from anvilflow.standins._wire import CALLER, WireClient
from anvilflow.utils import encode

from ._helpers import JOB, make_cell

_CALL = WireClient.call

#: A link of 5 Mbit/s. Unit: bytes a second.
SLOW = 625_000

#: Time within which a change must be in force on the larger deployments. Unit: seconds.
APPLY_S = 3.0

#: The same in the smallest deployments. Unit: seconds.
SMALL_APPLY_S = 2.0


def _big_config(version, n_routes=4200):
    """Return a configuration of 1.3 MB on the wire, which takes 2.0 s over a slow link."""
    queues = [
        {"name": f"{version}-queue-{number:032d}", "prefix": f"/{version}-{number:064d}/"}
        for number in range(n_routes)
    ]
    return make_platform_config(version, queues=queues)


def _slow_cell(n_instances=4):
    cell = make_cell(n_instances=n_instances)
    for name in cell.daemons:
        if name != cell.leader():
            cell.wire.slow_link(name, SLOW)
    return cell


def _versions(cell):
    return {daemon.context.config.version for daemon in cell.daemons.values()}


@pytest.mark.parametrize(
    ("waited_s", "safeguard"), [(0.1, True), (0.2, True), (0.4, True), (0.9, True), (0.4, False)]
)
def test_large_configuration_is_in_force_in_time_over_slow_links(monkeypatch, waited_s, safeguard):
    """The change comes at any moment of the feed's wait of two seconds."""
    if not safeguard:
        monkeypatch.setattr(WireClient, "call", _call_with_whole_limit)
    cell = _slow_cell()
    cell.advance(waited_s)
    cell.store.put("op", "config", _big_config(5))
    cell.advance(APPLY_S)
    assert (_versions(cell) == {5}) is safeguard
    cell.store.put("op", "config", _big_config(6))
    cell.advance(APPLY_S)
    assert (_versions(cell) == {6}) is safeguard


def _call_with_whole_limit(self, *args, idle_timeout=None, **values):
    return _CALL(self, *args, **values)


def test_instance_on_a_slow_link_starts_with_a_large_configuration():
    """It is restarted: its first reading takes longer than the store's usual answer."""
    cell = _slow_cell()
    cell.store.put("op", "config", _big_config(5))
    cell.advance(6.0)
    name = cell.other()
    cell.kill(name)
    cell.advance(1.0)
    daemon = cell.start_instance(name)
    cell.advance(APPLY_S)
    assert daemon.context.config is not None
    assert daemon.context.config.version == 5


@pytest.mark.parametrize("safeguard", [True, False])
def test_slow_link_carries_a_large_configuration_once(monkeypatch, safeguard):
    """A caller asks after its job at the end of the day, and has no answer in time.

    The instance that it asked had a full link: with the feed's answer came the readings for the
    leader's hints, and after them one try after another. Seen as 0.6 MB a second into each slow
    instance for fifty seconds, while no other call of the same instances failed.
    """
    if not safeguard:
        monkeypatch.setattr(ConfigPart, "_begin", lambda self: None)
    cell = _slow_cell()
    cell.advance(0.2)
    cell.store.put("op", "config", _big_config(5))
    cell.advance(APPLY_S)
    size = len(encode(_big_config(5))) * 4 / 3
    for link in cell.wire.links.values():
        carried_once = link.n_bytes < 1.1 * size and link.n_transfers == 0
        assert carried_once is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_change_is_in_force_in_time_where_the_feeds_connection_is_silent(monkeypatch, safeguard):
    """The feed's connection goes silent without a reset just before the operator's change.

    The feed finds that out 1.4 s after its call. The leader's hint makes the instance read at once,
    over another connection.
    """
    if not safeguard:
        monkeypatch.setattr(ConfigPart, "hint", lambda self, version: None)
    cell = make_cell(n_instances=3)
    name = cell.other()
    config = cell.daemons[name].supervisor.part("config")
    cell.advance(1.2)
    monkeypatch.setattr(config, "_take_rows", _without_feed(config._take_rows))
    cell.store.put("op", "config", make_platform_config(5))
    cell.advance(1.0)
    assert (cell.daemons[name].context.config.version == 5) is safeguard


def _without_feed(take):
    return lambda rows, source: None if source == "feed" else take(rows, source)


def test_leader_with_an_older_configuration_goes_by_that_of_the_jobs_gateway(monkeypatch):
    """An operator moves a queue to another service; a caller's job runs by the former one.

    The instance that took the job has the change, the leader does not yet, as while its feed is
    silent. It knew the queue by its own configuration, and that went first, however old it was.
    """
    cell = make_cell(n_instances=3)
    moved = cell.workers["i-3"]
    cell.store.put("servers", "i-3", {**moved.entry(), "service": "annex"})
    cell.advance(0.5)
    leader = cell.daemons[cell.leader()].supervisor.part("config")
    monkeypatch.setattr(leader, "_take_rows", lambda rows, source: None)
    queues = [{"name": "urgent", "prefix": "/urgent/", "service": "annex"}]
    cell.store.put("op", "config", make_platform_config(5, queues=queues))
    cell.advance(0.5)
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 1000})
    cell.advance(1.0)
    assert cell.spans == []
    monkeypatch.undo()
    cell.store.put("op", "config", make_platform_config(6, queues=queues))
    cell.advance(1.0)
    assert {span.worker for span in cell.spans} == {"i-3"}


@pytest.mark.parametrize("safeguard", [True, False])
def test_answer_that_begins_late_is_waited_for_after_it_was_given_up(monkeypatch, safeguard):
    """The store takes 1.5 s to begin each answer, as where it is short of processor.

    A reading that is given up in time for a silent connection is given up each time, and the
    store makes each answer in vain: the change never comes into force.

    Evidence. A soak beside other plays: instances gave up a configuration of 1 MB twice and had
    not taken it 3.2 s after the change, whatever their link.
    """
    if not safeguard:
        monkeypatch.setattr(_config, "MAX_PATIENCE", 1)
    cell = make_cell(n_instances=3)
    cell.store_faults.slow_s = 1.5
    cell.advance(3.0)
    cell.store.put("op", "config", make_platform_config(5))
    cell.advance(6.0)
    assert (_versions(cell) == {5}) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_change_after_an_outage_is_in_force_in_time(monkeypatch, safeguard):
    """A reading that was made in the outage was waited for long after the store had returned."""
    if not safeguard:
        monkeypatch.setattr(ConfigPart, "_store_answers", lambda *_: None)
    late = []
    for tenths in range(22, 66, 4):
        cell = make_cell(n_instances=3)
        cell.store_faults.silent = True
        cell.advance(tenths / 10)
        cell.store_faults.clear()
        cell.advance(0.3)
        cell.store.put("op", "config", make_platform_config(5))
        cell.advance(SMALL_APPLY_S)
        if _versions(cell) != {5}:
            late.append(tenths)
    assert (not late) is safeguard


_MALFORMED = {"version": 7, "routes": 5}


def test_configuration_that_is_not_understood_leaves_the_last_one_in_force():
    """Another release's operator writes a configuration that this one cannot read.

    Every instance took that for a fault of its own, read it again after each restart, and ended
    after six of them: all at the same time, and callers had nobody left to ask.
    """
    cell = make_cell(n_instances=3)
    cell.store.put("op", "config", _MALFORMED)
    cell.advance(10.0)
    assert cell.errors == []
    assert _versions(cell) == {1}
    assert cell.call("a0", "GET", "/urgent/")[0][0] == 200
    cell.store.put("op", "config", make_platform_config(8))
    cell.advance(0.5)
    assert _versions(cell) == {8}


def test_instance_that_starts_without_a_configuration_it_understands_waits_for_one():
    """It refuses with 503, tells the balancer that it is not ready, and takes the next one."""
    cell = make_cell(n_instances=3)
    cell.store.put("op", "config", _MALFORMED)
    cell.kill("a1")
    daemon = cell.start_instance("a1")
    cell.advance(10.0)
    assert cell.errors == []
    assert cell.call("a1", "GET", "/urgent/")[0][0] == 503
    assert not daemon.supervisor.part("entry")._is_ready()
    cell.store.put("op", "config", make_platform_config(8))
    cell.advance(0.5)
    assert cell.call("a1", "GET", "/urgent/")[0][0] == 200


def test_configuration_that_is_not_understood_is_not_read_with_each_beat_of_the_leader():
    """The leader, of a newer release, has understood it, and says so five times a second."""
    cell = make_cell(n_instances=3)
    name, leader = cell.other(), cell.leader()
    cell.daemons[leader].context.config = decode_config(encode(make_platform_config(7)))
    cell.store.put("op", "config", _MALFORMED)
    cell.advance(1.0)
    before = cell.daemons[name].context.store.n_reads
    cell.advance(10.0)
    assert cell.daemons[name].context.store.n_reads - before < 25


@pytest.mark.parametrize("kind", ["silent", "status"])
def test_outage_of_the_store_costs_a_slow_link_no_second_reading(kind):
    """The store is away for six seconds, and the configuration did not change.

    Read whole after each failure, a large one kept slow links full for two seconds, just when
    callers who had been refused came back.
    """
    cell = _slow_cell()
    cell.store.put("op", "config", _big_config(5))
    cell.advance(4.0)
    before = {name: link.n_bytes for name, link in cell.wire.links.items()}
    setattr(cell.store_faults, kind, {"silent": True, "status": 503}[kind])
    cell.advance(6.0)
    cell.store_faults.clear()
    cell.advance(3.0)
    for name, link in cell.wire.links.items():
        assert link.n_bytes - before[name] < 50_000
    cell.store.put("op", "config", make_platform_config(6))
    cell.advance(0.5)
    assert _versions(cell) == {6}


@pytest.mark.parametrize("safeguard", [True, False])
def test_refused_feed_does_not_break_off_what_is_read_for_a_hint(monkeypatch, safeguard):
    """The store refuses the feed of an instance on a slow link, as it does above its rate.

    The leader's hint makes the instance read the configuration, which takes 2 s there. Each refusal
    of the feed, four a second, was taken for the beginning of its answer and broke the reading off:
    the old configuration stayed in force, and the link was full of what was thrown away.

    Evidence. Found by reading; with the feed refused for 5.5 s a change had not come after 3 s.
    """
    if not safeguard:
        monkeypatch.setattr(_store, "_has_rows", lambda status: True)
    cell = _slow_cell()
    name = cell.other()
    cell.advance(0.2)
    _refuse_feed(monkeypatch, cell.store, name)
    cell.advance(2.5)
    cell.store.put("op", "config", _big_config(5))
    cell.advance(APPLY_S)
    assert (cell.daemons[name].context.config.version == 5) is safeguard


def _refuse_feed(monkeypatch, store, caller):
    answer = store.handle

    def handle(method, path, query, body, headers):
        is_refused = path == StoreCall.FEED and headers[CALLER] == [caller.encode()]
        return (429, b"") if is_refused else answer(method, path, query, body, headers)

    monkeypatch.setattr(store, "handle", handle)
