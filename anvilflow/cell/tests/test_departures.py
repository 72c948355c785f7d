"""Stand-in of a worker that shuts down gracefully, as its callers see it."""

from types import SimpleNamespace

import pytest

from anvilflow.platform import WorkerCalls
from anvilflow.standins import Departure, LeavingWorker, PlatformCell
from anvilflow.standins._pausable_clock import PausableClock

DEPARTURE = Departure(
    remaining_s=1.0,
    closes_after_s=1.2,
    unlisted_after_s=1.4,
    ends_after_s=3.0,
    replaced_after_s=2.0,
)


def _make_calls(cell, worker, http):
    info = SimpleNamespace(
        registry_id=worker.worker_id,
        worker_id=worker.identity,
        address=worker.address,
        born_ms=worker.born_ms,
    )
    return WorkerCalls(http=http, info=info, token=1, timeout=0.05)


def _make_client(cell, name):
    return cell.wire.client(name, PausableClock(inner=cell.clock))


def _renew(cell, worker, http):
    """Renew a worker's leases; return how the call ended."""
    results = []
    call = _make_calls(cell, worker, http).renew_leases(seen=0, until_s=None, wait_s=0.0)
    call.addCallbacks(lambda _: "served", lambda failure: failure.value.details["reason"])
    call.addCallback(results.append)
    cell.advance(0.1)
    return results[0]


@pytest.mark.parametrize("has_start_times", [True, False])
def test_open_connections_are_served_until_the_process_ends(has_start_times):
    """Guards against a stand-in whose departure is easier than that of a real process."""
    cell = PlatformCell(n_workers=2, has_start_times=has_start_times)
    worker, kept = cell.workers["i-0"], _make_client(cell, "kept")
    _renew(cell, worker, kept)
    LeavingWorker(cell=cell, worker_id="i-0", departure=DEPARTURE)
    seen = []
    for number in range(4):
        cell.advance(0.5 if number == 0 else 0.8)
        clients = kept, _make_client(cell, f"new{number}")
        seen.append([_renew(cell, worker, http) for http in clients])
    assert seen == [
        ["served", "served"],
        ["served", "unreached"],
        ["served", "misdirected"],
        ["misdirected", "misdirected"],
    ]
    assert cell.store.value("servers", "i-0") is None
    assert cell.workers["i-0.next"].address == worker.address


def test_runs_go_on_until_the_process_ends():
    """Guards against departures that end what runs when the socket closes."""
    cell = PlatformCell(n_workers=1)
    worker = cell.workers["i-0"]
    calls = _make_calls(cell, worker, _make_client(cell, "a0"))
    run = SimpleNamespace(
        task="a1.0.0.0", run_id=1, payload="60 done 1000", checkpoint="", ticket=""
    )
    calls.start(run, until_s=worker.clock_s() + 6.0)
    LeavingWorker(cell=cell, worker_id="i-0", departure=DEPARTURE)
    cell.advance(2.9)
    assert [span.ended_at for span in cell.spans] == [None]
    cell.advance(0.2)
    assert [span.how for span in cell.spans] == ["left"]


def test_worker_at_its_limit_of_connections_goes_on():
    """Guards against refusals that end open connections, or that stay."""
    cell = PlatformCell(n_workers=1)
    cell.start()
    cell.submit("a0", "00000000000000a1", {"count": 2, "cpu": 1000}, spec="5.0 done 1000")
    cell.advance(0.5)
    n_renewals = cell.workers["i-0"].n_renewals
    cell.stop_listening("i-0")
    cell.advance(3.0)
    assert cell.workers["i-0"].n_renewals > n_renewals + 3
    cell.listen_again("i-0")
    cell.kill(cell.leader())
    cell.advance(5.0)
    assert [span.how for span in cell.spans] == ["done", "done"]
