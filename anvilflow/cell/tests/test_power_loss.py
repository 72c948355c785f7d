"""Simultaneous power loss of all instances: acknowledged changes last, and no task runs twice."""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import _gateway, _leader_calls
from anvilflow.cell._job_store import store_job
from anvilflow.exceptions import NotFoundError
from anvilflow.jobs import Scheduler
from anvilflow.standins import make_platform_config

from ._helpers import JOB, STEP, make_cell

#: Step of virtual time while a test waits for an answer, so that power is lost before anything else
#: can happen. The shortest call takes five steps. Unit: seconds.
TIME_STEP_S = 0.0002

#: Instances that start after the power loss: the same ones, some of them, or new ones.
RESTARTED = [("a0", "a1", "a2"), ("a2",), ("b0", "b1")]

#: Each of these sets with the safeguard, and the first also without it.
_cases = pytest.mark.parametrize(
    ("restarted", "safeguard"), [*((names, True) for names in RESTARTED), (RESTARTED[0], False)]
)


@_cases
def test_accepted_job_outlives_a_power_loss(monkeypatch, restarted, safeguard):
    """All instances lose power at the moment in which a job's acceptance is acknowledged.

    The client later submits the same job again, as after a network retry, and queries its state. If
    the job were acknowledged before its row was durable, it would be lost with the instances'
    memory.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway, "store_job_with_read_back", _acknowledge_before_storing)
    cell = make_cell()
    _advance_until_answered(cell, cell.submit(cell.other(), JOB, STEP))
    _lose_power(cell, restarted)
    if not safeguard:
        assert {cell.state(name, JOB) for name in restarted} == {410}
        return
    assert {cell.state(name, JOB) for name in restarted} <= {"queued", "running", "completed"}
    again = cell.submit(restarted[0], JOB, STEP)
    cell.advance(8.0)
    assert again[0][0] == 200
    assert {cell.state(name, JOB) for name in restarted} == {"completed"}
    assert len(cell.spans) == STEP["count"]
    assert cell.check() == []


@pytest.mark.parametrize("asked", ["home", "other"])
@_cases
def test_cancelled_job_stays_cancelled_after_a_power_loss(monkeypatch, restarted, asked, safeguard):
    """All instances lose power at the moment in which a job's cancellation is acknowledged.

    Half of the tasks run, the others wait for free capacity. If the cancellation were acknowledged
    before it was recorded, the next leader would continue the job and start the remaining tasks.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_calls.LeaderCalls, "_cancel", _cancel_in_memory)
    cell = make_cell(n_workers=1, cpu=4000)
    step = {"count": 8, "cpu": 1000}
    cell.submit("a0", JOB, step, spec="3.0 done 1000")
    cell.advance(1.0)
    instance = cell.leader() if asked == "home" else cell.other()
    _advance_until_answered(cell, cell.call(instance, "DELETE", f"/urgent/{JOB}"))
    _lose_power(cell, restarted)
    cell.advance(6.0)
    states = {cell.state(name, JOB) for name in restarted}
    assert (states == {"cancelled"}) is safeguard
    assert (len(cell.spans) == step["count"] / 2) is safeguard
    if safeguard:
        assert all(span.ended_at is not None for span in cell.spans)


@_cases
def test_completed_job_stays_completed_after_a_power_loss(monkeypatch, restarted, safeguard):
    """All machines lose power at the moment in which a client is shown that its job is completed.

    The tasks end while the store does not answer, so that the record of their ends is delayed. If
    the state were shown before it was recorded, the next leader would start the job again, because
    the workers that could report the ends are lost, too.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "state_of", _state_in_memory)
    cell = make_cell(n_workers=1)
    cell.submit("a0", JOB, STEP, spec="0.7 done 1000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.clock.callLater(0.8, cell.store_faults.clear)
    _advance_until_completed(cell)
    cell.workers["i-0"].crash()
    cell.store.remove("servers", "i-0")
    cell.add_worker("i-1", "w1:1")
    _lose_power(cell, restarted)
    shown = {cell.state(name, JOB) for name in restarted}
    cell.advance(6.0)
    assert (shown == {"completed"}) is safeguard
    if safeguard:
        assert len(cell.spans) == STEP["count"]
        assert cell.check() == []


@_cases
def test_configuration_outlives_a_power_loss(monkeypatch, restarted, safeguard):
    """All instances lose power at the moment in which the store acknowledges a configuration.

    Each restarted instance receives calls from its start on. It has lost its configuration, so that
    it must refuse all calls until it has read the newest version. An instance that decided without
    one would report an existing queue as not found.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway.GatewayPart, "not_ready", _raise_not_found)
    cell = make_cell()
    routes = [{"name": "added", "prefix": "/added/", "priority": 0}]
    cell.store.put("op", "config", make_platform_config(7, queues=routes))
    _lose_power(cell, restarted, settle_s=0.0)
    calls = []
    for number in range(40):
        for name in restarted:
            job_id = f"{number:015x}{name[1]}"
            calls.append(
                (cell.submit(name, job_id, STEP, queue="added"), cell.submit(name, job_id, STEP))
            )
        cell.advance(0.05)
    cell.advance(3.0)
    added_queue_codes = {answers[0][0] for answers, _ in calls}
    dropped_queue_codes = {answers[0][0] for _, answers in calls}
    assert added_queue_codes == ({200, 503} if safeguard else {200, 404})
    assert dropped_queue_codes == ({503, 404} if safeguard else {404})
    assert cell.check() == []


@pytest.mark.parametrize("down_s", [0.05, 0.5, 8.0])
def test_power_loss_at_any_moment_starts_nothing_twice(down_s):
    """Power is lost at various times after a job's acceptance.

    At that time commands to workers and records of ends may be in transit, and no instance is left
    that has them in memory.
    """
    for after_s in (0.001, 0.003, 0.3, 0.99, 1.01, 1.03):
        cell = make_cell()
        _advance_until_answered(cell, cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}))
        for _ in range(round(after_s / TIME_STEP_S)):
            cell.clock.advance(TIME_STEP_S)
        _lose_power(cell, RESTARTED[0], down_s=down_s)
        cell.advance(6.0)
        assert cell.state("a1", JOB) == "completed", after_s
        assert cell.check() == [], after_s


def _advance_until_answered(cell, answers):
    """Advance the clock until a call is answered with success, and no further."""
    for _ in range(round(3.0 / TIME_STEP_S)):
        if answers:
            break
        cell.clock.advance(TIME_STEP_S)
    assert answers[0][0] == 200


def _advance_until_completed(cell):
    """Query the leader at each time step, and stop as soon as the job is shown as completed."""
    for _ in range(round(3.0 / TIME_STEP_S)):
        cell.clock.advance(TIME_STEP_S)
        for name in cell.leaders():
            answers = cell.call(name, "GET", f"/urgent/{JOB}")
            if answers and answers[0][1] == {"state": "completed"}:
                return
    raise AssertionError("the job is never shown as completed")


def _lose_power(cell, restarted, *, down_s=1.0, settle_s=3.0):
    """Remove all instances at once; after `down_s` start those named in `restarted`."""
    for name in list(cell.daemons):
        cell.power_off(name)
    cell.advance(down_s)
    for name in restarted:
        cell.power_on(name)
    cell.advance(settle_s)


def _acknowledge_before_storing(store, value, *, clock, read_back_after_s):
    clock.callLater(0.01, store_job, store, value)
    return succeed(1)


def _cancel_in_memory(self, job_id):
    self.leader.act(self.scheduler.cancel_job(job_id, self.context.clock.seconds()))
    return succeed(_leader_calls._reply("ok"))


def _state_in_memory(self, job_id):
    job = self.jobs.get(job_id)
    return self.ended.get(job_id) if job is None else job.state


def _raise_not_found(self):
    raise NotFoundError("no queue serves this")
