"""Tests that an unexpected error in the work for one worker or entry affects no other worker."""

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.defer import fail

from anvilflow.platform import WorkerCalls
from anvilflow.platform import _registry as platform_registry
from anvilflow.utils import encode

from ._helpers import JOB, make_cell

OTHER_JOB = "00000000000000a2"


class _Broken:
    """Calls to one worker that raise an unexpected error, at once, later or in their answers."""

    def __init__(self, monkeypatch, method, kind, registry_id="i-0"):
        self.is_active = True
        self.n_calls = 0
        original = getattr(WorkerCalls, method)

        def call(calls, *args, **values):
            if not self.is_active or calls._headers[b"x-expect-instance"] != [registry_id.encode()]:
                return original(calls, *args, **values)
            self.n_calls += 1
            match kind:
                case "at once":
                    raise RuntimeError("test")
                case "later":
                    return fail(RuntimeError("test"))
                case "answer":
                    return original(calls, *args, **values).addCallback(self._raise)

        monkeypatch.setattr(WorkerCalls, method, call)

    def _raise(self, _):
        raise RuntimeError("test")


def _term(cell):
    return cell.store.value("home", "home", part="cell")["term"]


def _run_jobs(cell, broken):
    """Run a job while the calls are broken, and after that one that needs every worker.

    A worker whose answers cannot be read is unreachable by then: it could not say which tasks it
    has done.
    """
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, {"count": 16, "cpu": 4000}, spec="0.5 done 4000")
    cell.advance(12.0)
    states = [cell.state(cell.other(), JOB)]
    broken.is_active = False
    cell.advance(3.0)
    cell.submit(cell.other(), OTHER_JOB, {"count": 16, "cpu": 4000}, spec="0.5 done 4000")
    cell.advance(6.0)
    return [*states, cell.state(cell.other(), OTHER_JOB)]


@pytest.mark.parametrize("relays", [False, True])
@pytest.mark.parametrize("kind", ["at once", "later", "answer"])
@pytest.mark.parametrize("method", ["renew_leases", "start"])
def test_error_of_a_call_to_a_worker_ends_no_term(monkeypatch, method, kind, relays):
    """Guards against one worker whose calls or answers end the leader's part, or a relay's."""
    cell = make_cell(n_instances=3, n_workers=3, weak=("a0", "a1", "a2") if relays else ())
    cell.advance(1.0)
    broken = _Broken(monkeypatch, method, kind)
    with LogRecorder().applicationbound() as log:
        states = _run_jobs(cell, broken)
    lines = [line for line in log.records if line.message == "unexpected error set aside"]
    assert broken.n_calls > 0
    assert states == ["completed", "completed"]
    assert _term(cell) == 1
    assert not any(sum(each.supervisor.restarts().values()) for each in cell.daemons.values())
    assert 1 <= len(lines) <= len(cell.daemons)
    assert any(span.worker == "i-0" and span.task.startswith(OTHER_JOB) for span in cell.spans)
    assert cell.check() == []


@pytest.mark.parametrize("kind", ["at once", "later", "answer"])
def test_runs_of_a_worker_whose_calls_raise_are_waited_for(monkeypatch, kind):
    """Guards against a task that starts elsewhere while a lease of its worker is in force."""
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit(cell.other(), JOB, {"count": 3, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(2.0)
    [former] = [span for span in cell.spans if span.worker == "i-0"]
    _Broken(monkeypatch, "renew_leases", kind)
    cell.add_worker("i-9", "w9:1")
    cell.advance(12.0)
    assert former.how == "lapsed"
    assert len(cell.runs_of(former.task)) == 2
    assert _term(cell) == 1
    assert cell.check() == []


@pytest.mark.parametrize("kind", ["at once", "later", "answer"])
def test_error_of_a_stop_is_repeated_and_ends_no_term(monkeypatch, kind):
    """Guards against a run that goes on after its stop has raised an unexpected error."""
    cell = make_cell(n_instances=3, n_workers=1)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="60.0 done 1000")
    cell.advance(2.0)
    broken = _Broken(monkeypatch, "stop", kind)
    cell.call(cell.other(), "DELETE", f"/urgent/{JOB}")
    cell.advance(1.5)
    broken.is_active = False
    cell.advance(2.0)
    assert broken.n_calls > 0
    assert cell.spans[0].how == "stopped"
    assert _term(cell) == 1


def test_error_of_an_entry_ends_no_term(monkeypatch):
    """Guards against one registry entry that ends the leader's part, in each next leader too."""
    check_address = platform_registry.check_address

    def check_or_raise(address, path):
        if address == "10.9.9.9:80":
            raise RuntimeError("test")
        return check_address(address, path)

    monkeypatch.setattr(platform_registry, "check_address", check_or_raise)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.advance(1.0)
    entry = {**cell.workers["i-0"].entry(), "address": "10.9.9.9:80"}
    with LogRecorder().applicationbound() as log:
        cell.store._write([("servers", "", "odd-1", encode(entry))])
        cell.add_worker("i-9", "w9:1")
        cell.submit(cell.other(), JOB, {"count": 16, "cpu": 4000}, spec="0.5 done 4000")
        cell.advance(6.0)
        assert cell.state(cell.other(), JOB) == "completed"
        assert _term(cell) == 1
        cell.kill(cell.leader())
        cell.advance(6.0)
        cell.submit(cell.other(), OTHER_JOB, {"count": 16, "cpu": 4000}, spec="0.5 done 4000")
        cell.advance(6.0)
    assert cell.state(cell.other(), OTHER_JOB) == "completed"
    assert _term(cell) == 2
    assert any(span.worker == "i-9" for span in cell.spans)
    lines = [line for line in log.records if line.message == "unexpected error set aside"]
    assert len(lines) == 2
    assert cell.check() == []
