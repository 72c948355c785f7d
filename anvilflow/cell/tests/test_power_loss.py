"""All instances lose power in the same moment: what was acknowledged lasts, nothing runs twice."""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import _gateway, _leader_calls
from anvilflow.cell._job_store import store_job
from anvilflow.exceptions import NotFoundError
from anvilflow.jobs import Scheduler
from anvilflow.standins import make_platform_config

from ._helpers import JOB, STEP, make_cell

#: Step of virtual time up to an answer: power is lost before anything else can happen. The
#: shortest way of a call takes five of them. Unit: seconds.
MOMENT_S = 0.0002

#: The instances that have power again: the same ones, some of them, or others on new machines.
BACK = [("a0", "a1", "a2"), ("a2",), ("b0", "b1")]

#: Each of these with the safeguard, and the first also without it.
_cases = pytest.mark.parametrize(
    ("back", "safeguard"), [*((names, True) for names in BACK), (BACK[0], False)]
)


@_cases
def test_accepted_job_outlives_a_power_loss(monkeypatch, back, safeguard):
    """A client is told that its job is accepted; in that moment all instances lose power.

    It sends the job again later, as a network repeats it, and asks for its state. Acknowledged
    before its row was durable the job would be gone with the memory of the instances.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway, "store_job_with_read_back", _acknowledge_and_store_later)
    cell = make_cell()
    _answer(cell, cell.submit(cell.other(), JOB, STEP))
    _lose_power(cell, back)
    if not safeguard:
        assert {cell.state(name, JOB) for name in back} == {410}
        return
    assert {cell.state(name, JOB) for name in back} <= {"queued", "running", "completed"}
    again = cell.submit(back[0], JOB, STEP)
    cell.advance(8.0)
    assert again[0][0] == 200
    assert {cell.state(name, JOB) for name in back} == {"completed"}
    assert len(cell.spans) == STEP["count"]
    assert cell.check() == []


@pytest.mark.parametrize("asked", ["home", "other"])
@_cases
def test_cancelled_job_stays_cancelled_after_a_power_loss(monkeypatch, back, asked, safeguard):
    """A client is told that its job is cancelled; in that moment all instances lose power.

    Half of the tasks run, the others wait for room. With the acknowledgement ahead of the record
    the next leader takes the job for one that goes on, and starts the rest of it.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_calls.LeaderCalls, "_cancel", _cancel_in_memory)
    cell = make_cell(n_workers=1, cpu=4000)
    step = {"count": 8, "cpu": 1000}
    cell.submit("a0", JOB, step, spec="3.0 done 1000")
    cell.advance(1.0)
    instance = cell.leader() if asked == "home" else cell.other()
    _answer(cell, cell.call(instance, "DELETE", f"/urgent/{JOB}"))
    _lose_power(cell, back)
    cell.advance(6.0)
    states = {cell.state(name, JOB) for name in back}
    assert (states == {"cancelled"}) is safeguard
    assert (len(cell.spans) == step["count"] / 2) is safeguard
    if safeguard:
        assert all(span.ended_at is not None for span in cell.spans)


@_cases
def test_completed_job_stays_completed_after_a_power_loss(monkeypatch, back, safeguard):
    """A client is shown that its job is completed; in that moment all machines lose power.

    Its tasks end while the store does not answer, so that the record of their ends has to wait.
    Shown ahead of the record the job is begun anew by the next leader: the workers that could tell
    of the ends are gone, too.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "state_of", _state_in_memory)
    cell = make_cell(n_workers=1)
    cell.submit("a0", JOB, STEP, spec="0.7 done 1000")
    cell.advance(0.5)
    cell.store_faults.silent = True
    cell.clock.callLater(0.8, cell.store_faults.clear)
    _wait_until_completed(cell)
    cell.workers["i-0"].crash()
    cell.store.remove("servers", "i-0")
    cell.add_worker("i-1", "w1:1")
    _lose_power(cell, back)
    shown = {cell.state(name, JOB) for name in back}
    cell.advance(6.0)
    assert (shown == {"completed"}) is safeguard
    if safeguard:
        assert len(cell.spans) == STEP["count"]
        assert cell.check() == []


@_cases
def test_configuration_outlives_a_power_loss(monkeypatch, back, safeguard):
    """The store acknowledges a configuration; in that moment all instances lose power.

    Each one that is back is called from its first moment on. Nothing is left of what it knew, so
    it refuses all calls until it has read the newest version; an instance that decided without
    one would deny a queue that is there.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway.GatewayPart, "not_ready", _deny)
    cell = make_cell()
    routes = [{"name": "added", "prefix": "/added/", "priority": 0}]
    cell.store.put("op", "config", make_platform_config(7, queues=routes))
    _lose_power(cell, back, settle_s=0.0)
    calls = []
    for number in range(40):
        for name in back:
            job_id = f"{number:015x}{name[1]}"
            calls.append(
                (cell.submit(name, job_id, STEP, queue="added"), cell.submit(name, job_id, STEP))
            )
        cell.advance(0.05)
    cell.advance(3.0)
    added = {answers[0][0] for answers, _ in calls}
    dropped = {answers[0][0] for _, answers in calls}
    assert added == ({200, 503} if safeguard else {200, 404})
    assert dropped == ({503, 404} if safeguard else {404})
    assert cell.check() == []


@pytest.mark.parametrize("down_s", [0.05, 0.5, 8.0])
def test_power_loss_at_any_moment_starts_nothing_twice(down_s):
    """Power is lost some time into the calls that follow a job's acceptance.

    Its orders may be on their way to the workers, and its ends on their way to the store, when
    nobody is left who knows of them.
    """
    for after_s in (0.001, 0.003, 0.3, 0.99, 1.01, 1.03):
        cell = make_cell()
        _answer(cell, cell.submit("a0", JOB, STEP, {**STEP, "after": [0]}))
        for _ in range(round(after_s / MOMENT_S)):
            cell.clock.advance(MOMENT_S)
        _lose_power(cell, BACK[0], down_s=down_s)
        cell.advance(6.0)
        assert cell.state("a1", JOB) == "completed", after_s
        assert cell.check() == [], after_s


def _answer(cell, answers):
    """Let time pass until a call is answered with success, and not a moment longer."""
    for _ in range(round(3.0 / MOMENT_S)):
        if answers:
            break
        cell.clock.advance(MOMENT_S)
    assert answers[0][0] == 200


def _wait_until_completed(cell):
    """Ask the leader all the time; stop in the moment in which the job is shown as completed."""
    for _ in range(round(3.0 / MOMENT_S)):
        cell.clock.advance(MOMENT_S)
        for name in cell.leaders():
            answers = cell.call(name, "GET", f"/urgent/{JOB}")
            if answers and answers[0][1] == {"state": "completed"}:
                return
    raise AssertionError("the job is never shown as completed")


def _lose_power(cell, back, *, down_s=1.0, settle_s=3.0):
    """All instances vanish; those named `back` start on machines that have power again."""
    for name in list(cell.daemons):
        cell.power_off(name)
    cell.advance(down_s)
    for name in back:
        cell.power_on(name)
    cell.advance(settle_s)


def _acknowledge_and_store_later(store, value, *, clock, read_back_after_s):
    clock.callLater(0.01, store_job, store, value)
    return succeed(1)


def _cancel_in_memory(self, job_id):
    self.leader.act(self.scheduler.cancel_job(job_id, self.context.clock.seconds()))
    return succeed(_leader_calls._reply("ok"))


def _state_in_memory(self, job_id):
    job = self.jobs.get(job_id)
    return self.ended.get(job_id) if job is None else job.state


def _deny(self):
    raise NotFoundError("no queue serves this")
