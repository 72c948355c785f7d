"""What callers see when instances and the store fail; each safeguard taken out once."""

import statistics

import pytest
from twisted.internet.defer import fail
from twisted.python.failure import Failure

from anvilflow.cell import (
    _fleet,
    _gateway,
    _job_store,
    _leader,
    _leader_calls,
    _leadership,
    _recorder,
    _session,
)
from anvilflow.jobs import Scheduler, StartRun

from ._helpers import JOB, STEP, make_cell


def new_starts_after(cell, at):
    """Return the moments of the starts after `at`, counted from it."""
    return [span.began_at - at for span in cell.spans if span.began_at > at]


def test_killed_leader_is_replaced_within_half_a_second():
    """The leader is killed under load; another claims, hears the workers and starts what waits.

    Its connections close with it, so nobody has to wait for a silence.
    """
    delays = []
    for seed in range(15):
        cell = make_cell(n_instances=5, random_state=seed)
        cell.submit("a0", JOB, {"count": 8, "cpu": 1000}, spec="4.0 done 1000")
        cell.advance(0.5)
        killed_at = cell.clock.seconds()
        cell.kill(cell.leader())
        cell.submit(next(iter(cell.daemons)), "00000000000000a2", STEP)
        cell.advance(8.0)
        delays.append(min(new_starts_after(cell, killed_at)))
        assert cell.check() == []
        assert "lapsed" not in {span.how for span in cell.spans}
        assert cell.state(cell.other(), JOB) == "completed"
    assert statistics.median(delays) < 0.5
    assert max(delays) < 1.0


def test_leader_that_falls_silent_is_replaced_before_leases_lapse():
    """The leader's machine loses power: connections stay open and say nothing."""
    cell = make_cell(n_instances=4)
    cell.submit("a1", JOB, STEP, spec="6.0 done 1000")
    cell.advance(0.5)
    cell.power_off(cell.leader())
    cell.advance(9.0)
    assert {span.how for span in cell.spans} == {"done"}
    assert cell.check() == []
    assert cell.state(cell.other(), JOB) == "completed"


def test_paused_leader_that_wakes_starts_and_records_nothing():
    """The leader is paused for four seconds; another takes over; then it wakes and goes on.

    Its row has moved on and the workers have seen a higher token, so it ends at its first write.
    """
    cell = make_cell(n_instances=4, n_workers=2, cpu=4000)
    former = cell.leader()
    cell.submit(cell.other(), JOB, {"count": 40, "cpu": 1000}, spec="1.3 done 1000")
    cell.advance(0.4)
    cell.pause(former)
    cell.advance(4.0)
    cell.resume(former)
    cell.advance(10.0)
    assert cell.leader() != former
    assert cell.leaders() == [cell.leader()]
    assert cell.check() == []
    assert cell.state(cell.leader(), JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_end_is_acknowledged_only_when_it_is_durable(monkeypatch, safeguard):
    """A task ends while the store is down, and then the leader dies.

    The worker still has the end for the next leader. Acknowledged before its record it would be
    lost with the leader, and the task would run a second time.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "acknowledged", lambda self, worker: worker.last_ended)
    cell = make_cell(n_instances=3)
    step = {"count": 2, "cpu": 1000}
    cell.submit("a0", JOB, step, {**step, "after": [0]}, spec="1.0 done 1000")
    cell.advance(0.5)
    cell.store_faults.status = 503
    cell.advance(1.2)
    cell.kill(cell.leader())
    cell.advance(0.5)
    cell.store_faults.clear()
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_completed_is_shown_only_when_it_is_durable(monkeypatch, safeguard):
    """All tasks end while the store is down; a client asks; then everything is killed.

    What was shown as completed must stay so, and only the store survives.
    """
    if not safeguard:
        monkeypatch.setattr(
            Scheduler,
            "state_of",
            lambda self, job_id: self.jobs[job_id].state if job_id in self.jobs else None,
        )
    cell = make_cell(n_instances=3)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000})
    cell.advance(0.5)
    cell.store_faults.status = 503
    cell.advance(1.0)
    shown = cell.state(cell.leader(), JOB)
    assert shown == ("running" if safeguard else "completed")


@pytest.mark.parametrize("safeguard", [True, False])
def test_refused_job_never_runs(monkeypatch, safeguard):
    """The store takes a job and its answer is lost, at the entry and again at the leader.

    The entry may not say "not accepted": it answers that it does not know. If it took no answer
    for a refusal, the task would start although its client was told that it never would.
    """
    cell = make_cell(n_instances=3)
    if not safeguard:
        monkeypatch.setattr(_gateway, "UnknownOutcomeError", _gateway.RequestError)
    cell.store_faults.late_s = 2.0
    answers = cell.submit(cell.other(), JOB, STEP)
    cell.advance(2.5)
    cell.store_faults.clear()
    cell.advance(6.0)
    refused = answers[0][0] in (429, 503)
    assert len(cell.spans) == 4
    assert (not refused) is safeguard


def test_outage_is_said_at_once_and_with_a_time():
    """The store is down for all: jobs are refused quickly, with the time at which to come back."""
    cell = make_cell(n_instances=3)
    cell.store_faults.status = 503
    cell.advance(1.0)
    answers = cell.submit(cell.other(), JOB, STEP)
    cell.advance(0.1)
    status, _, headers = answers[0]
    assert status == 503
    assert 1 <= int(headers[b"retry-after"]) <= 3
    cell.store_faults.clear()
    cell.advance(5.0)
    assert cell.spans == []


def test_work_goes_on_while_the_store_is_down():
    """Steps follow each other and leases are renewed; the end is shown when the store is back."""
    cell = make_cell(n_instances=3)
    cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}, spec="2.5 done 1000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.advance(6.0)
    assert [span.how for span in cell.spans] == ["done"] * 8
    assert cell.state(cell.leader(), JOB) == "running"
    cell.store_faults.clear()
    cell.advance(3.0)
    assert cell.state(cell.leader(), JOB) == "completed"
    assert cell.check() == []


def test_late_writes_of_a_former_leader_do_nothing():
    """Each write of the leader is carried out seconds later, when another leader has gone on.

    The row has moved on by then, so that an old record never replaces a newer one.
    """
    cell = make_cell(n_instances=4)
    cell.submit(cell.other(), JOB, STEP, {**STEP, "after": [0]}, spec="1.0 done 1000")
    cell.advance(0.5)
    former = cell.leader()
    cell.store_faults.late_s = 3.0
    cell.store_faults.only = {former}
    cell.advance(1.5)
    cell.kill(former)
    cell.advance(10.0)
    cell.store_faults.clear()
    assert cell.state(cell.leader(), JOB) == "completed"
    assert cell.check() == []


def test_leader_that_alone_is_refused_by_the_store_hands_over():
    """The store serves all but the leader: the leader says so, and another claims."""
    cell = make_cell(n_instances=4)
    former = cell.leader()
    cell.submit(cell.other(), JOB, STEP, spec="4.0 done 1000")
    cell.advance(0.5)
    cell.store_faults.status = 503
    cell.store_faults.only = {former}
    cell.advance(4.0)
    assert cell.leader() != former
    assert cell.leaders() == [cell.leader()]
    cell.advance(3.0)
    assert cell.state(cell.leader(), JOB) == "completed"
    assert cell.check() == []


def test_gateway_without_store_accepts_through_the_leader():
    """One instance is refused by the store: its clients are served all the same."""
    cell = make_cell(n_instances=3)
    name = cell.other()
    cell.store_faults.status = 503
    cell.store_faults.only = {name}
    answers = cell.submit(name, JOB, STEP)
    cell.advance(3.0)
    assert answers[0][0] == 200
    assert cell.state(name, JOB) == "completed"


def test_isolated_instance_leaves_a_living_leader_alone():
    """An instance is cut off from all others but reaches the store: it must not take turns."""
    cell = make_cell(n_instances=4)
    leader, name = cell.leader(), cell.other()
    token = cell.workers["i-0"].token
    cell.isolate(name)
    cell.advance(6.0)
    assert cell.leader() == leader
    assert cell.workers["i-0"].token == token
    answers = cell.submit(name, JOB, STEP)
    cell.advance(4.0)
    assert answers[0][0] == 200
    assert cell.state(name, JOB) == "completed"


def test_cancel_at_an_instance_that_does_not_reach_the_leader():
    """The mark is durable, so the 2xx is true; the leader finds it and stops the tasks."""
    cell = make_cell(n_instances=3)
    name = cell.other()
    cell.submit(cell.leader(), JOB, STEP, spec="30.0 done 1000")
    cell.advance(0.5)
    cell.isolate(name)
    cell.advance(0.5)
    answers = cell.call(name, "DELETE", f"/urgent/{JOB}")
    cell.advance(3.9)
    assert answers[0][0] == 200
    assert {span.how for span in cell.spans} == {"stopped"}
    assert cell.state(name, JOB) == "cancelled"


def test_history_that_is_gone_is_read_anew():
    """The store drops its history just after a change of the configuration and a new worker."""
    from anvilflow.standins import make_platform_config

    cell = make_cell(n_instances=2, n_workers=1)
    cell.store_faults.silent = True
    cell.advance(0.1)
    queues = [{"name": "new", "prefix": "/new/"}]
    cell.store.put("op", "config", make_platform_config(2, queues=queues))
    cell.add_worker("i-9", "w9:1")
    cell.store.forget_history()
    cell.advance(4.0)
    cell.store_faults.clear()
    cell.advance(1.5)
    assert {daemon.context.config.version for daemon in cell.daemons.values()} == {2}
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, queue="new")
    cell.advance(2.0)
    assert {span.worker for span in cell.spans} == {"i-0", "i-9"}


def test_everything_killed_at_once_goes_on():
    """All processes are killed right after a job was accepted, and start again."""
    cell = make_cell(n_instances=4)
    answers = cell.submit("a0", JOB, STEP, spec="3.0 done 1000")
    cell.advance(0.02)
    assert answers[0][0] == 200
    names = list(cell.daemons)
    for name in names:
        cell.kill(name)
    cell.advance(0.5)
    for name in names:
        cell.start_instance(name)
    cell.advance(10.0)
    assert cell.state(names[0], JOB) == "completed"
    assert cell.check() == []
    assert len(cell.leaders()) == 1


def test_drain_hands_the_leader_over_and_cuts_nothing_off():
    """SIGTERM at the leader: another takes over at once, calls are answered until the end."""
    cell = make_cell(n_instances=3)
    former = cell.leader()
    cell.submit(former, JOB, STEP, spec="5.0 done 1000")
    cell.advance(0.2)
    cell.daemons[former].drain()
    cell.advance(0.5)
    assert cell.leader() != former
    answers = cell.call(former, "GET", f"/urgent/{JOB}")
    cell.advance(0.3)
    status, value, headers = answers[0]
    assert (status, value["state"]) == (200, "running")
    assert headers[b"connection"] == b"close"
    cell.advance(6.0)
    assert {span.how for span in cell.spans} == {"done"}


def test_holds_do_not_spin_while_an_end_waits_for_its_record():
    """The store is down for five seconds after an end: the worker is held a few times a second.

    Answered at once again and again, holds took all of the leader's processor.
    """
    cell = make_cell(n_instances=2, n_workers=1)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(0.3)
    cell.store_faults.status = 503
    before = cell.workers["i-0"].n_holds
    cell.advance(5.0)
    assert cell.workers["i-0"].n_holds - before < 5.0 / _session.MAX_UNRECORDED_WAIT_S + 10


def test_constants_fit_together():
    """A silent leader is replaced well within a lease, and a lease within the worker's maximum."""
    takeover = _leadership.UNRESPONSIVE_S + _leadership.MIN_UNCHANGED_S + 0.5
    assert takeover + _session.RENEWAL_WAIT_S < _fleet.LEASE_S
    assert _recorder.HEARTBEAT_S * 2 <= _leadership.MIN_UNCHANGED_S


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_that_the_next_leader_hears_of_late_is_not_started_again(monkeypatch, safeguard):
    """A job is accepted while leaders change: the former leader starts it, the next has read
    the table before.

    It sees runs of a job that it does not know, and hears of the job a little later. Without taking
    the runs on it starts the same tasks again.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_adopt_orphan_runs", lambda self, job, now: None)
        monkeypatch.setattr(Scheduler, "may_start", lambda self, job, now: True)
    cell = make_cell(n_instances=3, n_workers=3)
    scheduler = cell.daemons[cell.leader()].supervisor.part("home")._scheduler
    worker = cell.workers["i-0"]
    calls = cell.daemons[cell.leader()].supervisor.part("home")._fleet._sessions["i-0"].calls
    start = StartRun(
        worker_id="i-0",
        task=f"{JOB}.0.0.0",
        run_id=1,
        payload="3.0 done 1000",
        checkpoint="",
        ticket="",
    )
    calls.start(start, until_s=worker.clock_s() + 3.0)
    cell.advance(0.3)
    assert scheduler.workers["i-0"].orphan_runs
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="3.0 done 1000")
    cell.advance(6.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_whose_acceptance_has_no_answer_is_found_by_reading_it_back(monkeypatch, safeguard):
    """The store takes the job and its answer is lost; its next answer is not.

    The entry reads the row back and says 200. Without it the client waits longer and, where the
    leader is away, hears that nobody knows.
    """
    if not safeguard:
        monkeypatch.setattr(
            _gateway.GatewayPart,
            "_store",
            lambda self, value: _job_store.store_job(self.context.store, value),
        )
    cell = make_cell(n_instances=2)
    name = cell.other()
    cell.store_faults.loses_answers = True
    cell.store_faults.only = {name}
    answers = cell.submit(name, JOB, STEP)
    cell.advance(0.2)
    cell.store_faults.clear()
    cell.advance(0.2)
    assert (bool(answers) and answers[0][0] == 200) is safeguard
    cell.advance(3.0)
    assert cell.state(name, JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_fault_in_the_leader_part_does_not_leave_the_cell_without_a_leader(monkeypatch, safeguard):
    """A decision raises at the leader; the supervisor builds the part anew, which knows of nothing.

    The instance then looks for the leader and claims again. Unless the part says that it has ended,
    leadership holds that this instance is the leader, and its clients are never served again.
    """
    if not safeguard:
        monkeypatch.setattr(_leader.LeaderPart, "deposed", lambda self: None)
    cell = make_cell(n_instances=1)
    part = cell.daemons["a0"].supervisor.part("home")
    part.fail_with(Failure(RuntimeError("a fault of ours")))
    cell.advance(2.0)
    answers = cell.submit("a0", JOB, STEP)
    cell.advance(3.0)
    assert answers[0][0] == 200
    assert (cell.state("a0", JOB) == "completed") is safeguard


def test_fault_of_the_leader_while_it_stores_a_job_is_no_refusal(monkeypatch):
    """The leader fails after it may have stored a job: its entry must not call it refused."""
    cell = make_cell(n_instances=2)
    name = cell.other()
    cell.store_faults.status = 503
    cell.store_faults.only = {name}
    monkeypatch.setattr(
        _leader_calls, "store_job", lambda store, value: fail(RuntimeError("a fault"))
    )
    answers = cell.submit(name, JOB, STEP)
    cell.advance(1.0)
    assert answers[0][0] == 504
