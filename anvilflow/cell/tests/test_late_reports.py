"""Tests that a report of an accepted job that arrives late does not run the job again."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from anvilflow.cell import Bounds, _unconfirmed_jobs
from anvilflow.cell._garbage_collector import RETENTION_MARGIN_S, SWEEP_S
from anvilflow.cell._job_intake import JobIntake
from anvilflow.cell._tables import JOBS, job_part
from anvilflow.cell._unconfirmed_jobs import UnconfirmedJobs
from anvilflow.platform import REGISTRY_TABLE

from ._helpers import JOB, cancel, make_cell

#: Time for which states of ended jobs are kept, and until the rows of a job that ends now are
#: certainly removed. Units: seconds.
STATUS_KEPT_S = 1.0
REMOVAL_S = STATUS_KEPT_S + RETENTION_MARGIN_S + 2 * SWEEP_S

#: Time that a new leader takes to read its tables. Unit: seconds.
LOAD_S = 0.6

#: Pause of a leader that is too short for its replacement, and longer than a gateway waits for the
#: leader's answer; and the margin of both. Units: seconds.
PAUSE_S = 0.45
MARGIN_S = 0.02

#: Pause after which another instance has become the leader. Unit: seconds.
REPLACEMENT_S = 2.0

#: Longest wait for a condition. Unit: seconds.
LIMIT_S = 5.0

STEP = {"count": 2, "cpu": 1000}


def _make_cell():
    return make_cell(n_instances=4, bounds=Bounds(status_kept_s=STATUS_KEPT_S))


def _delay_loading(cell):
    """Let each instance take `LOAD_S` to read its tables when it becomes the leader."""
    for name, daemon in cell.daemons.items():
        _delay_reads(daemon.context.store, cell.clocks[name])


def _delay_reads(store, clock):
    read = store.read

    def read_later(table, part, **values):
        delay_s = LOAD_S if table == REGISTRY_TABLE else 0.0
        return deferLater(clock, delay_s, read, table, part, **values)

    store.read = read_later


def _load_without_delay(cell):
    for daemon in cell.daemons.values():
        del daemon.context.store.read


def _advance_until(cell, holds):
    """Advance virtual time until a condition holds."""
    until = cell.clock.seconds() + LIMIT_S
    while not holds():
        assert cell.clock.seconds() < until
        cell.advance(0.005)


def _kill_leader(cell):
    """Kill the leader, and return once another instance has claimed."""
    former = cell.leader()
    cell.kill(former)
    _advance_until(cell, lambda: cell.leader() != former)


def _replace_leader(cell):
    _kill_leader(cell)
    cell.advance(3.0)


def _last(cell):
    """Return the name of the last instance in the order of succession."""
    return [name for name in cell.daemons if name != cell.leader()][-1]


def _submit(cell, instance, spec="0.3 done 1000"):
    answers = cell.submit(instance, JOB, STEP, spec=spec)
    _advance_until(cell, lambda: answers)
    assert answers[0][0] == 200


def _submit_to_paused_leader(cell, gateway, **values):
    """Submit a job whose report the leader answers after the gateway has stopped waiting."""
    leadership = cell.daemons[gateway].supervisor.part("leadership")
    heard_at = leadership._last_heartbeat_at
    _advance_until(cell, lambda: leadership._last_heartbeat_at != heard_at)
    cell.pause(cell.leader())
    _submit(cell, gateway, **values)
    cell.advance(PAUSE_S - MARGIN_S)
    cell.resume(cell.leader())


def _await_removal(cell):
    """Wait until the job has ended and its rows are removed; return the number of its runs."""
    cell.advance(REMOVAL_S)
    assert cell.store.value(JOBS, JOB, part=job_part(JOB)) is None
    return len(cell.spans)


def test_job_reported_while_the_next_leader_loads_is_not_run_again_later():
    """Guards against a report that a loading leader refused and that is repeated to a later one."""
    cell = _make_cell()
    _delay_loading(cell)
    _kill_leader(cell)
    cell.advance(LOAD_S / 2)
    _submit(cell, _last(cell))
    n_runs = _await_removal(cell)
    assert n_runs == STEP["count"]
    _load_without_delay(cell)
    _replace_leader(cell)
    assert len(cell.spans) == n_runs


def test_job_reported_to_a_paused_leader_is_not_run_again_later():
    """Guards against a report whose answer came too late and that is repeated to a later leader."""
    cell = _make_cell()
    _submit_to_paused_leader(cell, _last(cell))
    n_runs = _await_removal(cell)
    assert n_runs == STEP["count"]
    _replace_leader(cell)
    assert len(cell.spans) == n_runs


def test_job_accepted_by_a_loading_leader_is_not_run_again_by_a_later_one():
    """Guards against a report by an instance that has led since it accepted the job."""
    cell = _make_cell()
    _delay_loading(cell)
    _kill_leader(cell)
    gateway = cell.leader()
    _submit(cell, gateway)
    n_runs = _await_removal(cell)
    assert n_runs == STEP["count"]
    _load_without_delay(cell)
    cell.pause(gateway)
    cell.advance(REPLACEMENT_S)
    cell.resume(gateway)
    cell.advance(3.0)
    assert cell.leader() != gateway
    assert len(cell.spans) == n_runs


def test_reconnection_to_the_same_leader_does_not_run_a_job_again():
    """Guards against a report that is repeated to the leader that has already run the job."""
    cell = _make_cell()
    leader, gateway = cell.leader(), _last(cell)
    _submit_to_paused_leader(cell, gateway)
    n_runs = _await_removal(cell)
    assert n_runs == STEP["count"]
    cell.daemons[gateway].context.links.leader_link.abort()
    cell.advance(3.0)
    assert cell.leader() == leader
    assert len(cell.spans) == n_runs


def test_cancelled_job_that_is_reported_again_does_not_start():
    """Guards against starts of a job whose client has cancelled it."""
    cell = _make_cell()
    gateway = _last(cell)
    _submit_to_paused_leader(cell, gateway, spec="60 done 1000")
    cell.advance(1.0)
    cancel(cell, gateway)
    n_runs = _await_removal(cell)
    _replace_leader(cell)
    assert len(cell.spans) == n_runs


@pytest.mark.parametrize("safeguard", [True, False])
def test_report_that_is_delayed_until_the_job_is_removed_is_refused(monkeypatch, safeguard):
    """Guards against a report that stays on its way, as in the socket of a paused process."""
    if not safeguard:
        monkeypatch.setattr(JobIntake, "_is_removed", lambda self, job_id, version: False)
    cell = _make_cell()
    calls = []
    leader = cell.daemons[cell.leader()].context.leader
    serve = leader.serve
    leader.serve = lambda call: calls.append(call) or serve(call)
    _submit(cell, _last(cell))
    n_runs = _await_removal(cell)
    report = next(call for call in calls if call.verb == "accepted")
    outcome = leader.serve(report).result.outcome
    cell.advance(1.0)
    assert (outcome == "gone") is safeguard
    assert (len(cell.spans) == n_runs) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_report_before_the_feed_has_read_the_removal_is_refused(monkeypatch, safeguard):
    """Guards against a leader that has forgotten a job and has not read its table since."""
    if not safeguard:
        monkeypatch.setattr(JobIntake, "rows_removed", lambda self, job_ids, version: None)
    cell = _make_cell()
    leader = cell.daemons[cell.leader()].context.leader
    calls = []
    serve = leader.serve
    leader.serve = lambda call: calls.append(call) or serve(call)
    _silence_feed(cell.daemons[cell.leader()].context.store)
    _submit(cell, _last(cell))
    n_runs = _await_removal(cell)
    leader.serve(next(call for call in calls if call.verb == "accepted"))
    cell.advance(1.0)
    assert (len(cell.spans) == n_runs) is safeguard


def _silence_feed(store):
    """Leave reads of the changes of the table of jobs unanswered."""
    follow = store.follow

    def follow_others(table, version, **values):
        return Deferred() if table == JOBS else follow(table, version, **values)

    store.follow = follow_others


def test_job_that_is_accepted_after_the_last_read_of_the_table_starts_at_once():
    """Guards against a refusal of reports that are newer than the leader's read of the table."""
    cell = _make_cell()
    _silence_feed(cell.daemons[cell.leader()].context.store)
    _submit(cell, _last(cell))
    cell.advance(0.1)
    assert len(cell.spans) == STEP["count"]


@pytest.mark.parametrize("safeguard", [True, False])
def test_report_refused_by_a_loading_leader_is_repeated_once_it_leads(monkeypatch, safeguard):
    """Guards against a wait for the feed: the leader read the table before the job was in it."""
    if not safeguard:
        monkeypatch.setattr(UnconfirmedJobs, "table_read", lambda self, version: None)
    cell = _make_cell()
    _delay_loading(cell)
    for daemon in cell.daemons.values():
        _silence_feed(daemon.context.store)
    _kill_leader(cell)
    cell.advance(LOAD_S / 2)
    _submit(cell, _last(cell))
    cell.advance(LOAD_S)
    assert (len(cell.spans) == STEP["count"]) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_is_not_kept_for_the_next_leader_once_its_row_has_been_read(monkeypatch, safeguard):
    """Guards against a list that grows beside a leader whose answers come too late."""
    if not safeguard:
        monkeypatch.setattr(UnconfirmedJobs, "table_read", lambda self, version: None)
    cell = _make_cell()
    gateway = _last(cell)
    _submit_to_paused_leader(cell, gateway)
    unconfirmed_jobs = cell.daemons[gateway].supervisor.part("entry")._unconfirmed_jobs
    assert len(unconfirmed_jobs) == 1
    cell.advance(2.0)
    assert (len(unconfirmed_jobs) == 0) is safeguard


def test_number_of_jobs_kept_for_the_next_leader_is_limited(monkeypatch):
    """Guards against growth in memory while there is no leader."""
    monkeypatch.setattr(_unconfirmed_jobs, "MAX_UNCONFIRMED_JOBS", 3)
    cell = _make_cell()
    gateway = _last(cell)
    for name in list(cell.daemons):
        if name != gateway:
            cell.isolate(name)
    for number in range(5):
        cell.submit(gateway, f"{number:016x}", STEP, spec="0.3 done 1000")
    cell.advance(0.2)
    unconfirmed_jobs = cell.daemons[gateway].supervisor.part("entry")._unconfirmed_jobs
    assert list(unconfirmed_jobs._jobs) == [f"{number:016x}" for number in range(2, 5)]


@pytest.mark.parametrize("safeguard", [True, False])
def test_row_that_an_outdated_read_of_the_feed_brings_is_skipped(monkeypatch, safeguard):
    """Guards against an answer of the store that is processed after the row was removed."""
    if not safeguard:
        monkeypatch.setattr(JobIntake, "rows_removed", lambda self, job_ids, version: None)
    cell = _make_cell()
    release = _hold_feed(cell.daemons[cell.leader()].context.store, JOB)
    _submit(cell, _last(cell))
    n_runs = _await_removal(cell)
    release()
    cell.advance(1.0)
    assert (len(cell.spans) == n_runs) is safeguard


def _hold_feed(store, job_id):
    """Hold back the answer with the row of a job; return what passes it on."""
    follow = store.follow
    held = []

    def follow_until_held(table, version, **values):
        done = follow(table, version, **values)
        if table == JOBS:
            done.addCallback(hold_if_found)
        return done

    def hold_if_found(answer):
        rows, _ = answer
        if not any(row.key == job_id for row in rows):
            return answer
        done = Deferred()
        held.append((done, answer))
        return done

    def release():
        [(done, answer)] = held
        done.callback(answer)

    store.follow = follow_until_held
    return release


@pytest.mark.parametrize("safeguard", [True, False])
def test_submit_at_the_leader_that_is_answered_after_the_removal_runs_nothing(
    monkeypatch, safeguard
):
    """Guards against an answer of the store to the write of a row that has been removed since."""
    if not safeguard:
        monkeypatch.setattr(JobIntake, "_is_removed", lambda self, job_id, version: False)
    cell = _make_cell()
    gateway = _last(cell)
    _delay_answer(cell.daemons[cell.leader()].context.store, cell.clock, REMOVAL_S + 1.0)
    cell.store_faults.only = {gateway}
    cell.store_faults.silent = True
    cell.advance(2.0)
    cell.submit(gateway, JOB, STEP, spec="0.3 done 1000")
    cell.advance(REMOVAL_S)
    n_runs = len(cell.spans)
    assert n_runs == STEP["count"]
    cell.advance(2.0)
    assert (len(cell.spans) == n_runs) is safeguard


def _delay_answer(store, clock, seconds):
    """Delay the answer to the write of a job's row; the write itself takes effect at once."""
    commit = store.commit

    def commit_and_wait(conditions, writes, **values):
        done = commit(conditions, writes, **values)
        if writes[-1].table == JOBS and writes[-1].value is not None:
            done.addCallback(lambda version: deferLater(clock, seconds, lambda: version))
        return done

    store.commit = commit_and_wait
