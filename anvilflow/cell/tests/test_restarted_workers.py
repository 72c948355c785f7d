"""Workers that start again under the id that they had.

With `safeguard` False, a test disables the safeguard and expects the failure.
"""

import pytest
from logbook import TestHandler as LogRecorder

from anvilflow.cell import _fleet
from anvilflow.exceptions import WorkerGoneError
from anvilflow.jobs import Scheduler, _worker_info
from anvilflow.platform import WorkerCalls, decode_worker
from anvilflow.standins import PlatformWorker, WorkerCall
from anvilflow.utils import encode

from ._helpers import JOB, make_cell

#: Ids of jobs that run before the restart.
EARLIER_JOB = "00000000000000b1"


def run_earlier_job(cell, n_tasks=6):
    """Let a job's tasks end and wait until their ends are acknowledged."""
    cell.submit("a0", EARLIER_JOB, {"count": n_tasks, "cpu": 1000}, spec="0.2 done 1000")
    cell.advance(1.5)
    assert cell.state("a0", EARLIER_JOB) == "completed"


def run_job_on_restarted_worker(cell):
    """Run a job's tasks on a worker that has started again; return the violations."""
    cell.advance(0.2)
    cell.submit("a0", JOB, {"count": 3, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(6.0)
    assert cell.state("a0", JOB) == "completed"
    return cell.check()


def test_ends_of_a_new_incarnation_are_not_acknowledged_unread():
    """Guards against a task that runs again after it was done on a restarted worker.

    The number of the last end of the former incarnation was sent to the new one, which then dropped
    its own ends before the leader had read them.
    """
    cell = make_cell(n_instances=2, n_workers=1)
    run_earlier_job(cell)
    cell.restart_worker("i-0")
    assert run_job_on_restarted_worker(cell) == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_command_to_a_former_incarnation_is_not_sent_to_the_next_one(monkeypatch, safeguard):
    """Guards against a lease renewal that makes a restarted worker drop ends nobody has read."""
    if not safeguard:
        monkeypatch.setattr(WorkerCalls, "_make_peer", lambda self: None)
    cell = make_cell(n_instances=1, n_workers=1)
    info, _ = decode_worker("i-0", encode(cell.workers["i-0"].entry()))
    calls = cell.daemons["a0"].context.make_worker(info, 1_000)
    worker = cell.restart_worker("i-0")
    worker.finished = [[1, f"{JOB}.0.0.0", 1, "done", ""]]
    errors = []
    calls.renew_leases(seen=7, until_s=None, wait_s=0.0).addErrback(errors.append)
    cell.advance(0.05)
    assert (worker.finished != []) is safeguard
    if safeguard:
        assert errors[0].check(WorkerGoneError)
        assert errors[0].value.details == {"born_ms": worker.born_ms}


@pytest.mark.parametrize("safeguard", [True, False])
def test_late_start_of_the_former_incarnation_is_refused_by_the_next_one(monkeypatch, safeguard):
    """Guards against a delayed start that a restarted worker executes after its task moved on.

    The new incarnation has seen no token. It is small, so that the task has to start elsewhere.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "raise_token", _keep_token)
    cell = make_cell(n_instances=2, n_workers=2)
    for worker in cell.workers.values():
        worker.n_late_starts = 8
        worker.late_s = 3.0
    cell.submit("a0", JOB, {"count": 1, "cpu": 3000}, spec="6.0 done 3000")
    cell.advance(0.3)
    first = next(worker for worker in cell.workers.values() if worker.n_late_starts < 8)
    other = next(worker for worker in cell.workers.values() if worker is not first)
    other.n_late_starts = 0
    cell.restart_worker(first.worker_id, cpu=1000)
    cell.advance(12.0)
    overlaps = [text for text in cell.check() if "runs" in text]
    assert (overlaps == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


def _keep_token(fleet, _):
    """Open the sessions that wait for a higher token with the claim's token."""
    awaiting, fleet._awaiting_token = fleet._awaiting_token, {}
    fleet._last_tokens.clear()
    for info in awaiting.values():
        fleet._open_session(info)


@pytest.mark.parametrize("safeguard", [True, False])
def test_run_that_the_next_incarnation_began_is_adopted(monkeypatch, safeguard):
    """Guards against a second run of a task whose start arrived after its worker had restarted.

    The runs of the former incarnation must keep their tasks until the next one has answered.
    """
    monkeypatch.setattr(Scheduler, "_may_begin_elsewhere", lambda *_: False)
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "_supersede", _end_at_once)
    cell = make_cell(n_instances=2, n_workers=2)
    for worker in cell.workers.values():
        worker.n_late_starts = 8
        worker.late_s = 0.4
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="4.0 done 1000")
    cell.advance(0.1)
    first = next(worker for worker in cell.workers.values() if worker.n_late_starts < 8)
    other = next(worker for worker in cell.workers.values() if worker is not first)
    other.n_late_starts = 0
    worker = cell.restart_worker(first.worker_id)
    worker.draw_delay = lambda path: 60.0 if path == WorkerCall.HOLD else None
    cell.advance(0.8)
    worker.draw_delay = None
    cell.advance(9.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


def _end_at_once(fleet, former, info, known_by, error=None):
    fleet._forget(former.worker_id)
    fleet._end_worker(former.worker_id, is_replaced=True)


def test_new_incarnation_of_another_kind_gets_no_tasks_of_the_former_size():
    """Guards against starts that exceed the capacity with which a worker has started again."""
    cell = make_cell(n_instances=2, n_workers=1)
    run_earlier_job(cell)
    cell.submit("a0", JOB, {"count": 12, "cpu": 1000}, spec="3.0 done 1000")
    cell.advance(0.2)
    cell.restart_worker("i-0", cpu=4000)
    cell.advance(16.0)
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"


def test_restart_before_the_registry_shows_it_gets_no_starts_until_then():
    """Guards against starts on a restarted worker whose kind is not known yet."""
    cell = make_cell(n_instances=2, n_workers=1)
    run_earlier_job(cell)
    worker = cell.restart_worker("i-0", cpu=2000, is_registered=False)
    cell.submit("a0", JOB, {"count": 4, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(2.0)
    assert cell.runs_of(f"{JOB}.0.0.0") == []
    cell.store.put("servers", "i-0", worker.entry())
    cell.advance(4.0)
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"


def test_restart_while_the_store_is_unavailable_loses_and_repeats_nothing():
    """Guards against a restarted worker that is commanded before it can be told apart."""
    cell = make_cell(n_instances=2, n_workers=2)
    run_earlier_job(cell)
    cell.submit("a0", JOB, {"count": 6, "cpu": 1000}, spec="2.0 done 1000")
    cell.advance(0.3)
    cell.store_faults.silent = True
    cell.advance(0.3)
    worker = cell.restart_worker("i-0", is_registered=False)
    cell.advance(2.0)
    cell.store_faults.clear()
    cell.advance(0.5)
    cell.store.put("servers", "i-0", worker.entry())
    cell.advance(14.0)
    cell.mark_unacknowledged_ends()
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"


def test_leader_that_begins_after_a_restart_drops_the_runs_of_the_former_incarnation():
    """Guards against tasks that wait for good on an incarnation that only the row names."""
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit("a0", JOB, {"count": 4, "cpu": 1000}, spec="2.0 done 1000")
    cell.advance(0.5)
    worker_id = cell.spans[0].worker
    cell.worker_faults[worker_id].silent = True
    cell.advance(0.8)
    leader = cell.leader()
    cell.kill(leader)
    cell.restart_worker(worker_id)
    cell.advance(14.0)
    cell.mark_unacknowledged_ends()
    assert cell.check() == []
    assert cell.state(next(iter(cell.daemons)), JOB) == "completed"


# Invalid and contradictory start times

INVALID = ("1700000000000", -5, 1.5, True, [1], {"ms": 1}, 2**60)


def make_odd_worker(monkeypatch, *, in_entry, in_lists):
    """Make all workers state the given start times; ``...`` keeps the right one."""
    right = PlatformWorker._born_field
    entry, lists = PlatformWorker.entry, PlatformWorker._lists

    def field(value):
        return right if value is ... else lambda self: {} if value is None else {"born": value}

    def with_field(method, value):
        def call(self, *args, **values):
            monkeypatch.setattr(PlatformWorker, "_born_field", field(value))
            return method(self, *args, **values)

        return call

    monkeypatch.setattr(PlatformWorker, "entry", with_field(entry, in_entry))
    monkeypatch.setattr(PlatformWorker, "_lists", with_field(lists, in_lists))


@pytest.mark.parametrize("value", [None, *INVALID])
@pytest.mark.parametrize("place", ["entry", "lists", "both"])
def test_invalid_start_time_does_no_harm(monkeypatch, place, value):
    """Guards against lost ends, second starts and failed jobs where no start time can be read."""
    make_odd_worker(
        monkeypatch,
        in_entry=value if place != "lists" else ...,
        in_lists=value if place != "entry" else ...,
    )
    with LogRecorder().applicationbound() as log:
        cell = make_cell(n_instances=2, n_workers=2)
        run_earlier_job(cell)
        cell.submit("a0", JOB, {"count": 4, "cpu": 1000}, spec="1.0 done 1000")
        cell.advance(4.0)
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"
    assert [span.how for span in cell.spans] == ["done"] * len(cell.spans)
    coded = [line for line in log.records if "AF406" in str(line.kwargs.get("error"))]
    assert (coded != []) is (value is not None)
    assert len(coded) <= 2 * len(cell.workers)


def test_start_time_that_runs_backwards_is_that_of_the_present_incarnation():
    """Guards against a worker that is never used again because its clock was set back."""
    cell = make_cell(n_instances=2, n_workers=1)
    run_earlier_job(cell)
    cell.restart_worker("i-0", born_ms=cell.workers["i-0"].born_ms - 60_000)
    assert run_job_on_restarted_worker(cell) == []


def test_different_start_times_in_registry_and_lists_do_not_alternate(monkeypatch):
    """Guards against a new session with each write of a contradictory registry entry."""
    make_odd_worker(monkeypatch, in_entry=1_800_000_000_000, in_lists=...)
    cell = make_cell(n_instances=2, n_workers=1)
    with LogRecorder().applicationbound() as log:
        for sequence in range(6):
            cell.store.put("servers", "i-0", {**cell.workers["i-0"].entry(), "sequence": sequence})
            cell.advance(0.5)
    assert run_job_on_restarted_worker(cell) == []
    assert len([line for line in log.records if line.message == "worker started again"]) <= 1


@pytest.mark.parametrize("states_start_time", [True, False])
@pytest.mark.parametrize("safeguard", [True, False])
def test_wrong_start_time_in_an_entry_does_not_end_the_runs(
    monkeypatch, safeguard, states_start_time
):
    """Guards against second starts while a worker runs on whose entry has a wrong start time."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "worker_reinstated", _end_earlier)
    if not states_start_time:
        make_odd_worker(monkeypatch, in_entry=None, in_lists=None)
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 6, "cpu": 4000}, spec="3.0 done 4000")
    cell.advance(0.5)
    worker = cell.workers[cell.spans[0].worker]
    worker.draw_delay = lambda path: 0.2 if path == WorkerCall.HOLD else None
    wrong = {**worker.entry(), "born": 1_800_000_000_000}
    cell.store.put("servers", worker.worker_id, wrong)
    cell.advance(0.5)
    worker.draw_delay = None
    cell.advance(6.0)
    assert (cell.check() == []) is safeguard
    assert ([span.how for span in cell.spans] == ["done"] * 6) is safeguard


def _end_earlier(scheduler, worker_id):
    scheduler.worker_ended(worker_id, scheduler.workers[worker_id].unreachable_since)


@pytest.mark.parametrize("safeguard", [True, False])
def test_runs_wait_for_their_lease_if_the_next_incarnation_never_answers(monkeypatch, safeguard):
    """Guards against runs that end with an entry of a next incarnation, which then disappears."""
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "_are_leases_over", lambda *_: True)
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 2, "cpu": 4000}, spec="9.0 done 4000")
    # Just after a lease renewal.
    cell.advance(1.32)
    worker = cell.workers[cell.spans[0].worker]
    cell.worker_faults[worker.worker_id].silent = True
    entry = {**worker.entry(), "born": worker.born_ms + 1}
    cell.store.put("servers", worker.worker_id, entry)
    cell.advance(0.05)
    cell.store.remove("servers", worker.worker_id)
    cell.advance(4.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_former_incarnation_is_kept_until_all_ends_of_the_next_one_are_reported(
    monkeypatch, safeguard
):
    """Guards against a second start of a task that a late start has run on the next incarnation."""
    if not safeguard:
        monkeypatch.setattr(_worker_info, "MAX_ENDS_PER_REPORT", 10_000)
    cell = make_cell(n_instances=2, n_workers=1)
    run_earlier_job(cell)
    workers = cell.daemons[cell.leader()].context.leader._scheduler.workers
    former = cell.workers["i-0"].identity
    worker = cell.restart_worker("i-0")
    worker.finished = [[n, f"{JOB}.0.0.{n}", 1, "done", ""] for n in range(1, 601)]
    worker.n_ended = 600
    cell.advance(0.3)
    assert workers[worker.identity].confirmed
    assert (former in workers) is safeguard
    cell.advance(6.0)
    assert former not in workers


def test_restart_is_logged_with_both_incarnations_and_counted():
    """Guards against restarts that no log line and no metric shows."""
    cell = make_cell(n_instances=1, n_workers=2)
    former = cell.workers["i-0"].identity
    with LogRecorder().applicationbound() as log:
        cell.restart_worker("i-0")
        cell.advance(2.0)
    lines = [line.kwargs for line in log.records if line.message == "worker started again"]
    assert [(line["former"], line["worker"]) for line in lines] == [
        (former, cell.workers["i-0"].identity)
    ]
    counts = cell.daemons["a0"].context.meters.counts
    assert sum(n for (name, _), n in counts.items() if name == "worker_restarts") == 1


@pytest.mark.parametrize(("n_restarted", "may_send"), [(0, True), (1, True), (2, False)])
def test_workers_restarted_in_an_outage_do_not_confirm_the_leader(n_restarted, may_send):
    """Guards against a former leader that goes on because workers have forgotten its successor."""
    cell = make_cell(n_instances=2, n_workers=3)
    cell.store_faults.silent = True
    cell.advance(0.1)
    for number in range(n_restarted):
        cell.restart_worker(f"i-{number}", is_registered=False)
    cell.advance(1.2)
    fleet = cell.daemons[cell.leader()].supervisor.part("home")._fleet
    assert not fleet.is_confirmed()
    assert len(fleet._responded_at) == 3
    assert fleet.may_send_commands() is may_send
