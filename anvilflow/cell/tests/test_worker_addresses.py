"""Workers whose address changes, or at whose address another worker answers.

With `safeguard` False, a test disables the safeguard and expects the failure.
"""

import pytest

from anvilflow.cell import _fleet
from anvilflow.cell._relay_dispatcher import RelayDispatcher
from anvilflow.cell._session import WorkerSession
from anvilflow.jobs import CrashHistory, LossOutcome

from ._helpers import JOB, STOP_S, cancel, find_runs_after_cancelling, make_cell

OTHER_JOB = "00000000000000b2"


def _name_other_address(cell, worker):
    """Write the address of another worker into a worker's registry entry."""
    other = next(each for each in cell.workers.values() if each is not worker)
    cell.store.put("servers", worker.worker_id, {**worker.entry(), "address": other.address})


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize(
    ("uses_relays", "corrected_after_s"), [(False, 2.0), (False, 7.0), (False, None), (True, None)]
)
def test_next_leader_does_not_take_a_wrong_address_for_the_end_of_a_worker(
    monkeypatch, safeguard, uses_relays, corrected_after_s
):
    """Guards against second starts beside the first runs: before, after, without a right entry."""
    monkeypatch.setattr(RelayDispatcher, "relays_in_use", uses_relays)
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "worker_failed", _end_if_misdirected)
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 6, "cpu": 4000}, spec="6.0 done 4000")
    cell.advance(0.6)
    worker = cell.workers[cell.spans[0].worker]
    _name_other_address(cell, worker)
    cell.kill(cell.leader())
    cell.advance(corrected_after_s or 0.0)
    if corrected_after_s is not None:
        cell.store.put("servers", worker.worker_id, worker.entry())
    cell.advance(16.0)
    assert (cell.check() == []) is safeguard
    assert cell.state(cell.other(), JOB) == "completed"


_worker_failed = _fleet.Fleet.worker_failed


def _end_if_misdirected(fleet, worker_id, exc):
    if (exc.details or {}).get("reason") == "misdirected":
        fleet._forget(worker_id)
        fleet._end_worker(worker_id, is_replaced=True)
    else:
        _worker_failed(fleet, worker_id, exc)


@pytest.mark.parametrize("safeguard", [True, False])
def test_stop_that_reached_another_worker_is_sent_again(monkeypatch, safeguard):
    """Guards against taking a stop for delivered that another worker has refused."""
    if not safeguard:
        monkeypatch.setattr(WorkerSession, "stop", _stop_once)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="30.0 done 1000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    worker_id, worker.worker_id = worker.worker_id, "another"
    acked_at = cancel(cell, cell.other())
    cell.advance(1.5)
    worker.worker_id = worker_id
    cell.advance(2.0 + STOP_S)
    assert (find_runs_after_cancelling(cell, acked_at) == []) is safeguard
    assert (cell.spans[0].how == "stopped") is safeguard


def _stop_once(session, action):
    return session.calls.stop(action).addErrback(lambda _: None)


@pytest.mark.parametrize("is_listed", [True, False])
def test_worker_whose_address_another_one_has_taken_for_good_holds_up_nothing(is_listed):
    """Guards against workers that are kept for ever, with their tasks, at another's address."""
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit(cell.other(), JOB, {"count": 3, "cpu": 9000}, spec="6.0 done 9000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    identity, worker_id = worker.identity, worker.worker_id
    worker.worker_id = "another"
    if not is_listed:
        cell.store.remove("servers", worker_id)
    cell.advance(4.0)
    workers = cell.daemons[cell.leader()].context.leader._scheduler.workers
    assert (identity in workers) is is_listed
    cell.advance(8.0)
    assert cell.state(cell.other(), JOB) == "completed"
    cell.kill(cell.leader())
    cell.advance(6.0)
    cell.submit(cell.other(), OTHER_JOB, {"count": 3, "cpu": 4000}, spec="0.5 done 4000")
    cell.advance(1.5)
    assert cell.state(cell.other(), OTHER_JOB) == "completed"
    assert worker_id not in {span.worker for span in cell.spans if span.task[:16] == OTHER_JOB}
    assert cell.check() == []


# Addresses that change


def _move(cell, worker, address="w9:1"):
    """Serve a worker at another address only, without a change of its registry entry."""
    cell.worker_faults[worker.worker_id].refuses = True
    cell.wire.reset_connections(worker)
    cell.worker_faults[worker.worker_id] = cell.wire.serve(address, worker)
    worker.address = address


def _list(cell, worker):
    cell.store.put("servers", worker.worker_id, worker.entry())


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize(
    ("listed_after_s", "uses_relays"), [(0.0, False), (2.0, False), (2.0, True)]
)
def test_worker_whose_address_changes_keeps_its_tasks(
    monkeypatch, safeguard, listed_after_s, uses_relays
):
    """Guards against a session that calls the first address of a worker for ever."""
    monkeypatch.setattr(RelayDispatcher, "relays_in_use", uses_relays)
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "_note_listed_address", lambda *_: None)
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, {"count": 2, "cpu": 9000}, spec="6.0 done 9000")
    cell.advance(0.6)
    worker = cell.workers[cell.spans[0].worker]
    _move(cell, worker)
    cell.advance(listed_after_s)
    _list(cell, worker)
    cell.advance(7.0)
    assert cell.check() == []
    assert ([span.how for span in cell.spans] == ["done", "done"]) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_answers_is_not_given_up_for_a_wrong_entry(monkeypatch, safeguard):
    """Guards against leases that lapse while a wrong entry names the address of another worker."""
    if not safeguard:
        monkeypatch.setattr(WorkerSession, "set_listed_calls", _set_calls_at_once)
        monkeypatch.setattr(WorkerSession, "_change_address", lambda _: None)
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 6, "cpu": 4000}, spec="6.0 done 4000")
    cell.advance(0.6)
    _name_other_address(cell, cell.workers[cell.spans[0].worker])
    cell.advance(8.0)
    assert cell.check() == []
    assert ({span.how for span in cell.spans} == {"done"}) is safeguard


def _set_calls_at_once(session, calls):
    session.calls = session._listed_calls = calls


def test_stop_is_sent_to_the_changed_address():
    """Guards against a stop that is lost because its worker has moved meanwhile."""
    cell = make_cell(n_instances=3, n_workers=2)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="30.0 done 1000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    _move(cell, worker)
    acked_at = cancel(cell, cell.other())
    cell.advance(0.5)
    _list(cell, worker)
    cell.advance(2.5)
    assert find_runs_after_cancelling(cell, acked_at) == []
    assert cell.spans[0].how == "stopped"


def test_start_without_an_answer_runs_once_although_its_worker_moves():
    """Guards against a start that is forgotten, or repeated, when its worker moves meanwhile."""
    cell = make_cell(n_instances=3, n_workers=2)
    cell.advance(1.0)
    for worker in cell.workers.values():
        worker.n_lost_starts = 8
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="3.0 done 1000")
    while not cell.spans:
        cell.advance(0.005)
    worker = cell.workers[cell.spans[0].worker]
    _move(cell, worker)
    for each in cell.workers.values():
        each.n_lost_starts = 0
    cell.advance(0.4)
    _list(cell, worker)
    cell.advance(9.0)
    assert cell.check() == []
    assert cell.state(cell.other(), JOB) == "completed"


# Crash verdicts


def _take_address(cell, worker, number):
    """Let a worker move and a new one answer at its former address."""
    address = worker.address
    _move(cell, worker, f"v{number}:1")
    cell.worker_faults[f"i-9{number}"] = cell.wire.faults[address]
    cell.wire.faults[address].clear()
    cell.add_worker(f"i-9{number}", address, cpu=1000)


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_whose_workers_move_does_not_fail_as_crashing(monkeypatch, safeguard):
    """Guards against counting living workers as crashed while others have their addresses."""
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "worker_failed", _end_if_misdirected)
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 4000}, spec="4.0 done 4000")
    for number in range(3):
        cell.advance(0.6)
        span = cell.spans[-1]
        worker = cell.workers[span.worker]
        _take_address(cell, worker, number)
        cell.advance(0.8)
        _list(cell, worker)
    cell.advance(6.0)
    assert (cell.check() == []) is safeguard
    assert cell.state(cell.other(), JOB) == "completed"


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_moves_unlisted_has_not_crashed_once_it_answers(monkeypatch, safeguard):
    """Guards against a verdict of two crashes while each worker is listed again after its lease."""
    if not safeguard:
        monkeypatch.setattr(CrashHistory, "remove", _remove_unless_crashed)
    cell = make_cell(n_instances=3, n_workers=4)
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 4000}, spec="30.0 done 4000")
    for number in range(3):
        cell.advance(0.2)
        worker = cell.workers[cell.spans[-1].worker]
        _take_address(cell, worker, number)
        cell.advance(3.6)
        _list(cell, worker)
    cell.advance(32.0)
    assert cell.check() == []
    assert cell.state(cell.other(), JOB) == ("completed" if safeguard else "failed")


def _remove_unless_crashed(history, worker_id):
    is_crashed = history.lost_runs[worker_id].fate is LossOutcome.CRASHED
    return not is_crashed and history.lost_runs.pop(worker_id) is not None
