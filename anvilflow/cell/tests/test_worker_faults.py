"""What callers see when workers fail or orders go astray; each safeguard taken out once."""

import pytest

from anvilflow.cell import _fleet, _leadership, _session
from anvilflow.cell._context import Claimed
from anvilflow.jobs import Scheduler, Worker
from anvilflow.standins import PlatformCell

from ._helpers import JOB, STEP, make_cell


@pytest.mark.parametrize("safeguard", [True, False])
def test_commands_of_a_former_leader_that_arrive_late_do_nothing(monkeypatch, safeguard):
    """The leader's starts are on their way when it dies; another leader starts the tasks elsewhere.

    Then the old orders arrive. They carry the former leader's token, and the worker has seen a
    higher one. Were the tokens of both leaders alike, the tasks would run twice.
    """
    if not safeguard:
        monkeypatch.setattr(_leadership, "Claimed", _same_token)
    cell = make_cell(n_instances=3, n_workers=3)
    former = cell.leader()
    for worker_id in ("i-0", "i-1"):
        cell.worker_faults[worker_id].late_s = 2.0
        cell.worker_faults[worker_id].only = {former}
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="4.0 done 1000")
    cell.advance(0.1)
    cell.kill(former)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry(state="draining"))
    cell.store.put("servers", "i-1", cell.workers["i-1"].entry(state="draining"))
    cell.advance(9.0)
    assert (cell.check() == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_an_unheard_worker_is_not_started_elsewhere(monkeypatch, safeguard):
    """The leader dies while a worker is cut off and runs on: nobody can say what runs there.

    The next leader waits until every lease that was sent has surely ended. Without the wait it
    starts the tasks a second time while they still run.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "may_start", lambda self, job, now: True)
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="30.0 done 9000")
    cell.advance(1.2)
    cell.worker_faults[cell.spans[0].worker].silent = True
    cell.kill(cell.leader())
    cell.advance(8.0)
    assert (cell.check() == []) is safeguard
    assert len(cell.runs_of(f"{JOB}.0.0.0") + cell.runs_of(f"{JOB}.0.0.1")) == 3


@pytest.mark.parametrize("safeguard", [True, False])
def test_unanswered_start_is_barred_before_it_is_made_elsewhere(monkeypatch, safeguard):
    """A worker carries a start out two seconds late and does not answer.

    The run is stopped first, which bars it. Without that it would begin while the task already
    runs on another worker.
    """
    if not safeguard:
        original = Scheduler.start_answered

        def start_answered(self, worker_id, task, run_id, outcome, now):
            outcome = "room" if outcome == "unknown" else outcome
            return original(self, worker_id, task, run_id, outcome, now)

        monkeypatch.setattr(Scheduler, "start_answered", start_answered)
    cell = make_cell(n_instances=2, n_workers=2)
    for worker in cell.workers.values():
        worker.n_late_starts = len(_session.START_TIMEOUTS_S)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="4.0 done 1000")
    cell.advance(9.0)
    assert (cell.check() == []) is safeguard
    if safeguard:
        assert cell.state("a0", JOB) == "completed"


def test_new_life_at_an_old_address_gets_no_commands_of_the_old_one():
    """A worker crashes and starts again under another id: what ran there starts elsewhere."""
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="5.0 done 9000")
    cell.advance(1.0)
    cell.workers["i-0"].crash()
    cell.store.remove("servers", "i-0")
    cell.add_worker("i-9", "w0:1")
    cell.advance(9.0)
    assert cell.state("a0", JOB) == "completed"
    assert [span for span in cell.spans if span.worker == "i-9"]
    assert cell.check() == []


def test_draining_worker_gets_no_new_work():
    """A worker says that it drains: from then on tasks start elsewhere."""
    cell = make_cell(n_instances=2, n_workers=2)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry(state="draining"))
    cell.advance(0.2)
    cell.submit("a0", JOB, STEP)
    cell.advance(2.0)
    assert {span.worker for span in cell.spans} == {"i-1"}


@pytest.mark.parametrize("safeguard", [True, False])
def test_tasks_of_a_lost_worker_start_elsewhere_after_their_lease(monkeypatch, safeguard):
    """A worker vanishes for good while its entry stays: its tasks start elsewhere in 4 s.

    Holds go on without a lease. With one, each try would have moved the end of the wait, and the
    tasks would have waited for ever.
    """
    if not safeguard:
        monkeypatch.setattr(_fleet.Fleet, "is_unreachable", lambda self, worker_id: False)
    cell = make_cell(n_instances=2, n_workers=2)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="3.0 done 6000")
    cell.advance(0.5)
    cell.worker_faults["i-0"].silent = True
    cell.workers["i-0"].crash()
    cell.advance(9.0)
    assert (cell.state("a0", JOB) == "completed") is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_gang_survives_a_start_whose_answer_is_lost(monkeypatch, safeguard):
    """A worker starts one member of a gang; its answer is lost, and those to holds for a while.

    The same start is sent again, and the worker says that it has the run. Stopped instead, as here
    without the second try, the member breaks the whole gang on a real worker.
    """
    if not safeguard:
        monkeypatch.setattr(_session, "START_TIMEOUTS_S", (0.3,))
    cell = PlatformCell(n_instances=2, n_workers=2, cpu=4000)
    for worker in cell.workers.values():
        worker.n_lost_starts = 1
        worker.deaf_between = (1.0, 2.5)
    cell.start()
    cell.submit("a0", JOB, {"count": 6, "cpu": 1000, "gang": True}, spec="2.0 done 1000")
    cell.advance(8.0)
    assert cell.state("a0", JOB) == "completed"
    assert ({span.how for span in cell.spans} == {"done"}) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_run_that_ended_before_its_start_was_sent_again_is_not_made_twice(monkeypatch, safeguard):
    """A worker runs a short task; the answers to its start and to holds are lost for a while.

    The start is sent again, and the worker refuses it as old, since the run has ended. The end is
    still to be told; taken for "not run", the task was started on another worker.
    """
    if not safeguard:
        monkeypatch.setattr(_session, "outcome_after_lost_answer", lambda outcome: outcome)
    cell = PlatformCell(n_instances=2, n_workers=2)
    for worker in cell.workers.values():
        worker.n_lost_starts = 1
        worker.deaf_between = (1.0, 2.2)
    cell.start()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.1 done 1000")
    cell.advance(6.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


def _same_token(**values):
    return Claimed(**{**values, "token": 1})


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_on_a_worker_that_stays_longer_than_it_said_is_not_started_elsewhere(
    monkeypatch, safeguard
):
    """A worker drains and stays seconds longer than the least time that it gave.

    It does not reach the store, so that its entry lapses; its tasks run on under their leases. Then
    its answers are lost for a second. The leader took it for gone and started the tasks elsewhere.
    Evidence: the platform's page calls the time a minimum, and entries lapse while the store is
    down.
    """
    if not safeguard:
        monkeypatch.setattr(Worker, "has_left", _has_left_or_lost_an_answer)
    cell, worker = _make_cell_with_a_worker_whose_time_is_over()
    cell.store.remove("servers", worker.worker_id)
    cell.advance(0.2)
    cell.worker_faults[worker.worker_id].loses_answers = True
    cell.advance(1.5)
    cell.worker_faults[worker.worker_id].clear()
    cell.advance(7.0)
    assert (cell.check() == []) is safeguard
    assert cell.state("a0", JOB) == "completed"


def test_tasks_of_a_worker_that_left_when_it_said_so_are_started_elsewhere_at_once():
    """A worker leaves at its time: its entry is removed and nobody listens at its address."""
    cell, worker = _make_cell_with_a_worker_whose_time_is_over()
    # The hold that is under way ends with the worker, without an answer.
    cell.worker_faults[worker.worker_id].loses_answers = True
    cell.advance(0.6)
    worker.crash()
    cell.worker_faults[worker.worker_id].refuses = True
    cell.store.remove("servers", worker.worker_id)
    left_at = cell.clock.seconds()
    cell.advance(1.6)
    [again] = [span for span in cell.spans if span.began_at > left_at]
    assert again.worker != worker.worker_id


def _make_cell_with_a_worker_whose_time_is_over():
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 2, "cpu": 9000}, spec="6.0 done 9000")
    cell.advance(1.0)
    worker = cell.workers[cell.spans[0].worker]
    entry = {**worker.entry(state="draining"), "remaining-ms": 1000}
    cell.store.put("servers", worker.worker_id, entry)
    cell.advance(1.5)
    return cell, worker


def _has_left_or_lost_an_answer(self, now):
    return (
        self.leaves_at is not None and now > self.leaves_at and self.unreachable and not self.listed
    )


def test_worker_that_was_forgotten_and_comes_back_is_held_once():
    """A worker is cut off for 3.4 s and its entry lapses: its leases have ended, and it is
    forgotten.

    It answers again, and a moment later it is registered. The session of before went on beside the
    new one: twice as many holds, and nobody would have ended it with its leader. It would have made
    the instance give up a later term, for the worker refuses the old token then.
    """
    cell = make_cell(n_instances=3, n_workers=3)
    cell.advance(1.0)
    faults = cell.worker_faults["i-0"]
    faults.silent = True
    cell.advance(1.8)
    cell.store.remove("servers", "i-0")
    cell.advance(1.6)
    faults.clear()
    cell.advance(0.7)
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    cell.advance(1.0)
    before = cell.workers["i-0"].n_holds
    cell.advance(5.0)
    assert cell.workers["i-0"].n_holds - before <= 11


@pytest.mark.parametrize("safeguard", [True, False])
def test_worker_that_comes_back_after_its_lease_is_held_once(monkeypatch, safeguard):
    """A worker is dark and its entry lapses; it answers again before it is given up, and registers.

    The leader had forgotten the worker with its lease, and the session went on: it renewed leases,
    and what the worker listed was not heard by anybody. Registered again, the worker had two.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "drop_lapsed_runs", _forget_workers)
    cell = make_cell(n_instances=2, n_workers=3)
    cell.advance(1.0)
    cell.worker_faults["i-0"].silent = True
    cell.advance(2.0)
    cell.store.remove("servers", "i-0")
    cell.advance(1.6)
    cell.worker_faults["i-0"].clear()
    cell.advance(1.0)
    leader = cell.daemons[cell.leader()].supervisor.part("home")
    assert ("i-0" in leader._scheduler.workers) is safeguard
    cell.store.put("servers", "i-0", cell.workers["i-0"].entry())
    cell.advance(1.0)
    before = cell.workers["i-0"].n_holds
    cell.advance(5.0)
    assert cell.workers["i-0"].n_holds - before < 1.5 * 5.0 / _session.RENEWAL_WAIT_S


def _forget_workers(self, now):
    for worker in list(self.workers.values()):
        if now >= worker.lease_over_at and not worker.listed:
            del self.workers[worker.info.worker_id]
