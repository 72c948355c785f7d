"""A queue that was added is served by every instance, whatever becomes of the leader and the feeds.

An operator's change had been confirmed long enough before; callers of the new queue were refused
all the same, at several instances at once.
"""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import _pending_jobs
from anvilflow.cell._leadership import LeadershipPart
from anvilflow.standins import make_platform_config

from ._helpers import JOB, make_cell, restart_all_instances

#: Time in which a change must be in force, and the time after a disturbance from which that holds
#: again. Unit: seconds.
APPLY_S = 2.0
CONTACT_S = 3.0

#: Period of asking. Unit: seconds.
ASK_S = 0.05

_ADDED = make_platform_config(5, queues=[{"name": "new", "prefix": "/new/"}])


def _ask_all(cell, path, seconds):
    """Ask all instances again and again; return the statuses that callers got, by instance."""
    answers = {name: [] for name in cell.daemons}
    for _ in range(round(seconds / ASK_S)):
        for name in cell.daemons:
            answers[name].append(cell.call(name, "GET", path))
        cell.advance(ASK_S)
    cell.advance(1.0)
    return {
        name: {status for answer in given for status, *_ in answer or [(None,)]}
        for name, given in answers.items()
    }


@pytest.mark.parametrize("loss", ["killed", "paused"])
def test_added_queue_is_served_while_the_leader_is_lost(loss):
    """The leader is lost 2.5 s after the change, and all others are asked how many jobs wait.

    They refused with 503 until the next leader had begun: 0.5 s after a kill, 0.9 s after a pause.
    Whether a queue is served stands in the configuration, but its count was asked of the leader for
    each answer.

    Evidence. With real processes, 30 of 36 refusals said `call refused`, status 503, the newest
    version in force for two seconds, no leader reached; the other six came while the next leader
    began.
    """
    cell = make_cell(n_instances=4)
    cell.store.put("op", "config", _ADDED)
    cell.advance(2.5)
    leader = cell.leader()
    if loss == "killed":
        cell.kill(leader)
    else:
        cell.pause(leader)
        del cell.daemons[leader]
    statuses = _ask_all(cell, "/new/", 3.0)
    assert set.union(*statuses.values()) == {200}


def _without_successor(monkeypatch, cell):
    """Kill the leader, and let nobody claim its place."""
    monkeypatch.setattr(LeadershipPart, "_claim", lambda self, why: succeed(None))
    cell.kill(cell.leader())


def _n_waiting(cell, name):
    """Return what a caller hears of the jobs that wait in the urgent queue, or the refusal."""
    answers = cell.call(name, "GET", "/urgent/")
    cell.advance(0.5)
    ((status, value, _),) = answers
    return value["pending"] if status == 200 else status


@pytest.mark.parametrize("safeguard", [True, False])
def test_jobs_that_come_while_there_is_no_leader_are_counted(monkeypatch, safeguard):
    """Two jobs wait, the leader dies, and three more are accepted by several instances.

    What the leader told last is good for a moment. Kept for longer, callers would be told for the
    whole change of leaders that two wait. The store's feed has what came since.
    """
    cell = make_cell(n_instances=4, n_workers=1)
    too_large = {"count": 1, "cpu": 64_000}
    for number in range(2):
        cell.submit("a0", f"{number:016x}", too_large)
    cell.advance(1.0)
    _without_successor(monkeypatch, cell)
    if not safeguard:
        monkeypatch.setattr(_pending_jobs, "MAX_AGE_S", 60.0)
    names = list(cell.daemons)
    for number in range(2, 5):
        cell.submit(names[number % len(names)], f"{number:016x}", too_large)
    cell.advance(3.0)
    told = [_n_waiting(cell, name) for name in names]
    assert told == [5 if safeguard else 2] * len(names)


def test_count_is_refused_where_nobody_has_told_for_too_long(monkeypatch):
    """Nobody can say what has begun meanwhile: the caller is told to come again, not a guess."""
    cell = make_cell(n_instances=3)
    _without_successor(monkeypatch, cell)
    cell.advance(_pending_jobs.MAX_UNRESPONSIVE_S + 0.1)
    assert _n_waiting(cell, next(iter(cell.daemons))) == 503


def test_count_is_refused_where_the_store_is_away_too(monkeypatch):
    """Neither a leader nor the store can be asked: refused at once, with a time to come back."""
    cell = make_cell(n_instances=3)
    _without_successor(monkeypatch, cell)
    cell.store_faults.status = 503
    cell.advance(3.0)
    answers = cell.call(next(iter(cell.daemons)), "GET", "/urgent/")
    ((status, _, headers),) = answers
    assert status == 503
    assert int(headers[b"retry-after"]) >= 1


def test_history_that_is_gone_costs_neither_the_answer_nor_the_part(monkeypatch):
    """The store has dropped the history that the count would be made from; it has the rows."""
    cell = make_cell(n_instances=3)
    cell.submit("a0", JOB, {"count": 1, "cpu": 64_000})
    cell.advance(1.0)
    _without_successor(monkeypatch, cell)
    cell.advance(3.0)
    cell.store.forget_history()
    assert _n_waiting(cell, next(iter(cell.daemons))) == 1
    assert cell.errors == []


def test_count_waits_for_the_first_leader_after_the_end_of_all_instances():
    """All instances end at once; the first caller is there before one of them is the leader.

    Refused at once, callers were told to come again by instances that knew the queue; the leader
    began within their time.
    """
    cell = make_cell(n_instances=3)
    restart_all_instances(cell, settle_s=0.05)
    answers = [cell.call(name, "GET", "/urgent/") for name in cell.daemons]
    cell.advance(2.0)
    assert [status for answer in answers for status, *_ in answer] == [200] * len(answers)


def test_count_is_refused_at_once_where_no_leader_can_begin():
    """The store is away, and no instance has heard a leader since its start."""
    cell = make_cell(n_instances=3)
    name = cell.other()
    cell.kill(cell.leader())
    cell.kill(name)
    cell.start_instance(name)
    cell.advance(0.02)
    cell.store_faults.status = 503
    cell.advance(_pending_jobs.STORE_AWAY_S + 1.0)
    answers = cell.call(name, "GET", "/urgent/")
    cell.advance(0.05)
    assert [status for status, *_ in answers] == [503]


def test_one_lost_answer_of_the_store_does_not_refuse_the_count(monkeypatch):
    """A reading over a silent connection had no answer; the store is there, the leader is not.

    Evidence. A soak's instance refused for 0.15 s as if the store were away, until a probe had
    shown that it was there.
    """
    cell = make_cell(n_instances=3)
    _without_successor(monkeypatch, cell)
    cell.advance(2.0)
    name = next(iter(cell.daemons))
    cell.daemons[name].context.store_health.bad()
    assert _n_waiting(cell, name) == 0


def test_count_is_told_without_a_leader_where_the_store_has_dropped_its_history(monkeypatch):
    """Instances that lost their leader refused each queue until there was another one."""
    cell = make_cell(n_instances=3)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 500}, spec="0.1 done 500")
    cell.advance(2.0)
    _without_successor(monkeypatch, cell)
    cell.advance(2.0)
    name = next(iter(cell.daemons))
    cell.submit(name, f"{1:016x}", {"count": 1, "cpu": 500}, spec="0.1 done 500")
    cell.advance(0.5)
    cell.store.forget_history()
    cell.advance(1.0)
    assert _n_waiting(cell, name) == 1


@pytest.mark.parametrize("waited_s", [0.1, 0.5, 0.9, 1.3, 1.7, 2.1])
@pytest.mark.parametrize("lead_s", [0.0, 0.6, 1.2])
def test_change_is_in_force_in_time_after_connections_to_the_store_fell_silent(lead_s, waited_s):
    """All connections to the store fall silent without a reset; then the operator adds a queue.

    Instances went on refusing it with 404 for up to 3 s after the change. Each gave its reading of
    the feed up 3.8 s after the call, later than a change must be in force; so did the leader, whose
    hints help the others only once it has the change itself.

    Evidence. With real processes, `call refused`, status 404, the version before, the leader
    reached; then `configuration not read` 3.8 s after the reading began, and in force 0.25 s later.
    """
    cell = make_cell(n_instances=4)
    cell.advance(waited_s)
    for name in cell.daemons:
        cell.wire.silence(name)
    cell.advance(lead_s)
    cell.store.put("op", "config", _ADDED)
    cell.advance(max(APPLY_S, CONTACT_S - lead_s))
    statuses = _ask_all(cell, "/new/", 0.5)
    assert set.union(*statuses.values()) == {200}
