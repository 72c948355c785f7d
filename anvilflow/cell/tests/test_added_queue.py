"""A queue that an operator adds is served by every instance without a leader and without the feed.

Calls for the new queue were refused by several instances at once, although the operator's change
had been confirmed long before.
"""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import _pending_jobs
from anvilflow.cell._leadership import LeadershipPart
from anvilflow.standins import make_platform_config

from ._helpers import JOB, make_cell, restart_all_instances

#: Time within which a change must be in force, and the time after the start of a fault from which
#: that holds again. Unit: seconds.
CONFIG_APPLY_S = 2.0
RECOVERY_S = 3.0

#: Interval between calls to an instance. Unit: seconds.
CALL_INTERVAL_S = 0.05

_CONFIG_WITH_ADDED_QUEUE = make_platform_config(5, queues=[{"name": "new", "prefix": "/new/"}])


def _call_all(cell, path, seconds):
    """Call all instances repeatedly; return the statuses that clients received, by instance."""
    answers = {name: [] for name in cell.daemons}
    for _ in range(round(seconds / CALL_INTERVAL_S)):
        for name in cell.daemons:
            answers[name].append(cell.call(name, "GET", path))
        cell.advance(CALL_INTERVAL_S)
    cell.advance(1.0)
    return {
        name: {status for answer in given for status, *_ in answer or [(None,)]}
        for name, given in answers.items()
    }


@pytest.mark.parametrize("loss", ["killed", "paused"])
def test_added_queue_is_served_while_the_leader_is_lost(loss):
    """The leader is lost 2.5 s after the change; the others refused the queue's count with 503.

    They called the leader for each count, and refused until the next leader had begun: 0.5 s after
    a kill, 0.9 s after a pause. With real processes, 30 of 36 refusals came while no leader was
    reached and the newest version had been in force for two seconds; six while the next one began.
    """
    cell = make_cell(n_instances=4)
    cell.store.put("op", "config", _CONFIG_WITH_ADDED_QUEUE)
    cell.advance(2.5)
    leader = cell.leader()
    if loss == "killed":
        cell.kill(leader)
    else:
        cell.pause(leader)
        del cell.daemons[leader]
    statuses = _call_all(cell, "/new/", 3.0)
    assert set.union(*statuses.values()) == {200}


def _kill_leader_without_successor(monkeypatch, cell):
    """Kill the leader, and prevent all claims of leadership."""
    monkeypatch.setattr(LeadershipPart, "_claim", lambda self, why: succeed(None))
    cell.kill(cell.leader())


def _pending_count(cell, name):
    """Return the count of pending jobs of the urgent queue, or the status of the refusal."""
    answers = cell.call(name, "GET", "/urgent/")
    cell.advance(0.5)
    ((status, value, _),) = answers
    return value["pending"] if status == 200 else status


@pytest.mark.parametrize("safeguard", [True, False])
def test_jobs_accepted_without_a_leader_are_counted(monkeypatch, safeguard):
    """Two jobs are pending, the leader is killed, and several instances accept three more.

    If the last report were used without a limit of its age, clients would read a count of two until
    the next leader begins. The jobs accepted since are read from the store's feed.
    """
    cell = make_cell(n_instances=4, n_workers=1)
    too_large = {"count": 1, "cpu": 64_000}
    for number in range(2):
        cell.submit("a0", f"{number:016x}", too_large)
    cell.advance(1.0)
    _kill_leader_without_successor(monkeypatch, cell)
    if not safeguard:
        monkeypatch.setattr(_pending_jobs, "MAX_AGE_S", 60.0)
    names = list(cell.daemons)
    for number in range(2, 5):
        cell.submit(names[number % len(names)], f"{number:016x}", too_large)
    cell.advance(3.0)
    counts = [_pending_count(cell, name) for name in names]
    assert counts == [5 if safeguard else 2] * len(names)


def test_count_is_refused_after_too_long_without_a_leader(monkeypatch):
    """How many jobs have begun since the last report is unknown: the answer is 503, not a guess."""
    cell = make_cell(n_instances=3)
    _kill_leader_without_successor(monkeypatch, cell)
    cell.advance(_pending_jobs.MAX_UNRESPONSIVE_S + 0.1)
    assert _pending_count(cell, next(iter(cell.daemons))) == 503


def test_count_is_refused_without_a_leader_and_without_the_store(monkeypatch):
    """Neither a leader nor the store answers: the call is refused at once, with Retry-After."""
    cell = make_cell(n_instances=3)
    _kill_leader_without_successor(monkeypatch, cell)
    cell.store_faults.status = 503
    cell.advance(3.0)
    answers = cell.call(next(iter(cell.daemons)), "GET", "/urgent/")
    ((status, _, headers),) = answers
    assert status == 503
    assert int(headers[b"retry-after"]) >= 1


def test_dropped_history_fails_neither_the_count_nor_the_part(monkeypatch):
    """The store has dropped the history from which jobs are counted: the table itself is read."""
    cell = make_cell(n_instances=3)
    cell.submit("a0", JOB, {"count": 1, "cpu": 64_000})
    cell.advance(1.0)
    _kill_leader_without_successor(monkeypatch, cell)
    cell.advance(3.0)
    cell.store.drop_history()
    assert _pending_count(cell, next(iter(cell.daemons))) == 1
    assert cell.errors == []


def test_count_waits_for_the_first_leader_after_a_restart_of_all_instances():
    """All instances restart at once, and the first calls arrive before one of them is the leader.

    Instances that knew the queue refused these calls at once, although the leader began within the
    clients' timeout.
    """
    cell = make_cell(n_instances=3)
    restart_all_instances(cell, settle_s=0.05)
    answers = [cell.call(name, "GET", "/urgent/") for name in cell.daemons]
    cell.advance(2.0)
    assert [status for answer in answers for status, *_ in answer] == [200] * len(answers)


def test_count_is_refused_at_once_if_no_leader_can_begin():
    """The store is unavailable, and the instance has had no leader's report since its start."""
    cell = make_cell(n_instances=3)
    name = cell.other()
    cell.kill(cell.leader())
    cell.kill(name)
    cell.start_instance(name)
    cell.advance(0.02)
    cell.store_faults.status = 503
    cell.advance(_pending_jobs.STORE_UNAVAILABLE_S + 1.0)
    answers = cell.call(name, "GET", "/urgent/")
    cell.advance(0.05)
    assert [status for status, *_ in answers] == [503]


def test_count_is_not_refused_after_one_lost_answer_of_the_store(monkeypatch):
    """Without a leader, a read over a connection that stopped responding gets no answer.

    In a soak, an instance then refused calls for 0.15 s, as if the store were unavailable, until a
    probe was answered.
    """
    cell = make_cell(n_instances=3)
    _kill_leader_without_successor(monkeypatch, cell)
    cell.advance(2.0)
    name = next(iter(cell.daemons))
    cell.daemons[name].context.store_health.record_failure()
    assert _pending_count(cell, name) == 0


def test_jobs_accepted_without_a_leader_are_counted_after_dropped_history(monkeypatch):
    """If the store drops its history, jobs are counted from the table.

    Instances without a leader refused every queue until the next leader began.
    """
    cell = make_cell(n_instances=3)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 500}, spec="0.1 done 500")
    cell.advance(2.0)
    _kill_leader_without_successor(monkeypatch, cell)
    cell.advance(2.0)
    name = next(iter(cell.daemons))
    cell.submit(name, f"{1:016x}", {"count": 1, "cpu": 500}, spec="0.1 done 500")
    cell.advance(0.5)
    cell.store.drop_history()
    cell.advance(1.0)
    assert _pending_count(cell, name) == 1


@pytest.mark.parametrize("waited_s", [0.1, 0.5, 0.9, 1.3, 1.7, 2.1])
@pytest.mark.parametrize("lead_s", [0.0, 0.6, 1.2])
def test_change_is_in_force_in_time_if_connections_to_the_store_stop_responding(lead_s, waited_s):
    """All connections to the store stop responding without a reset; an operator adds a queue.

    Instances refused it with 404 for up to 3 s after the change. Each abandoned its read of the
    feed only 3.8 s after the call, later than a change must be in force, and had the change 0.25 s
    after that. So did the leader, whose hints help the others only once it has the change.
    """
    cell = make_cell(n_instances=4)
    cell.advance(waited_s)
    for name in cell.daemons:
        cell.wire.drop_pending_answers(name)
    cell.advance(lead_s)
    cell.store.put("op", "config", _CONFIG_WITH_ADDED_QUEUE)
    cell.advance(max(CONFIG_APPLY_S, RECOVERY_S - lead_s))
    statuses = _call_all(cell, "/new/", 0.5)
    assert set.union(*statuses.values()) == {200}
