"""Starts that a worker has not answered, and executes after it has started again.

With `safeguard` False, a test disables the safeguard and expects the failure.
"""

import pytest
from twisted.internet.defer import succeed

from anvilflow.cell import Bounds
from anvilflow.cell._leader_heartbeat import LeaderHeartbeat
from anvilflow.cell._recorder import Recorder
from anvilflow.cell._session import WorkerSession
from anvilflow.jobs import Scheduler
from anvilflow.standins import AdviceServer, WorkerCall, make_platform_config

from ._helpers import JOB, make_cell, restart_all_instances

#: Delay of the late start, and time until the task's run has ended. Unit: seconds.
LATE_S = 5.0
RUN_S = 0.6

#: Time from a start until it is certainly not executed any more. Unit: seconds.
EXPIRY_S = 12.0


def run_task_with_late_start(cell):
    """Let a task end as done whose first start is still to be executed."""
    [worker] = cell.workers.values()
    worker.n_late_starts = 1
    worker.late_s = LATE_S
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000")
    cell.advance(RUN_S)
    assert [span.how for span in cell.spans] == ["done"]


def restart_unreached(cell):
    """Restart the worker; its new incarnation answers nothing until the late start is executed."""
    worker = cell.restart_worker("i-0")
    worker.draw_delay = lambda path: 60.0 if path == WorkerCall.HOLD else None
    cell.advance(LATE_S)
    assert [span.is_late for span in cell.spans] == [False, True]
    worker.draw_delay = None


def find_broken(cell):
    """Return the violations of the runs, without ends that no leader has acknowledged."""
    cell.mark_unacknowledged_ends()
    return cell.check()


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_does_not_complete_while_a_late_start_may_run_its_task_again(monkeypatch, safeguard):
    """Guards against a task that runs again on a restarted worker after its job has completed."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "start_unanswered", lambda *_: None)
    cell = make_cell(n_instances=3, n_workers=1)
    run_task_with_late_start(cell)
    assert (cell.state("a0", JOB) == "running") is safeguard
    restart_unreached(cell)
    assert (find_broken(cell) == []) is safeguard
    cell.advance(8.0)
    assert cell.state("a0", JOB) == "completed"
    assert len(cell.spans) == 2


def test_job_completes_once_the_late_start_is_not_executed_any_more():
    """Guards against a job that stays running, and against an end that is never acknowledged."""
    cell = make_cell(n_instances=3, n_workers=1)
    run_task_with_late_start(cell)
    cell.advance(EXPIRY_S - 2.0)
    assert cell.state("a0", JOB) == "running"
    cell.advance(2.0)
    assert cell.state("a0", JOB) == "completed"
    assert cell.workers["i-0"].finished == []
    assert len(cell.spans) == 1


def test_bound_of_late_commands_is_a_setting():
    """Guards against jobs that wait for longer than the platform may execute a start late."""
    cell = make_cell(n_instances=3, n_workers=1, bounds=Bounds(max_command_delay_s=2.0))
    run_task_with_late_start(cell)
    assert cell.state("a0", JOB) == "running"
    cell.advance(1.0)
    assert cell.state("a0", JOB) == "completed"


def test_job_completes_once_the_next_incarnation_refuses_the_late_start():
    """Guards against jobs that wait for longer than their workers need to start again."""
    cell = make_cell(n_instances=3, n_workers=1)
    run_task_with_late_start(cell)
    cell.restart_worker("i-0")
    cell.advance(0.5)
    assert cell.state("a0", JOB) == "completed"
    cell.advance(LATE_S)
    assert len(cell.spans) == 1


@pytest.mark.parametrize("safeguard", [True, False])
def test_next_leader_learns_of_late_starts_from_the_row(monkeypatch, safeguard):
    """Guards against a job that all instances have forgotten to hold back."""
    if not safeguard:
        make_row = Recorder._make_row

        def make_row_without_starts(recorder):
            row = make_row(recorder)
            row.unanswered_starts = {}
            return row

        monkeypatch.setattr(Recorder, "_make_row", make_row_without_starts)
    cell = make_cell(n_instances=3, n_workers=1)
    run_task_with_late_start(cell)
    restart_all_instances(cell)
    assert (cell.state("a0", JOB) == "running") is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_next_leader_learns_of_late_starts_by_heartbeats(monkeypatch, safeguard):
    """Guards against a start that a leader without the store has sent and cannot record."""
    if not safeguard:
        monkeypatch.setattr(LeaderHeartbeat, "_unanswered_starts", lambda self: None)
    cell = make_cell(n_instances=3, n_workers=1)
    former = cell.leader()
    cell.store_faults.only = {former}
    cell.store_faults.silent = True
    run_task_with_late_start(cell)
    cell.advance(2.0)
    assert cell.leader() != former
    assert (cell.state(cell.leader(), JOB) == "running") is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_job_completes_at_once_if_only_the_answer_to_a_start_was_lost(monkeypatch, safeguard):
    """Guards against a wait after each lost answer."""
    if not safeguard:
        monkeypatch.setattr(WorkerSession, "_is_listed", lambda self, _: succeed(False))
    cell = make_cell(n_instances=3, n_workers=1)
    cell.workers["i-0"].n_lost_starts = 1
    cell.submit(cell.other(), JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000")
    cell.advance(RUN_S)
    assert (cell.state("a0", JOB) == "completed") is safeguard


def test_job_completes_at_once_if_its_starts_name_the_incarnation():
    """Guards against a wait for starts that only the intended incarnation executes."""
    advice = AdviceServer(clock=None, allowed=None, base_s=0.03)
    rules = {"decide-ms": 30, "each-ms": 0, "valid-ms": 2500}
    cell = make_cell(
        n_instances=3, n_workers=1, advice=advice, config=make_platform_config(advice=rules)
    )
    run_task_with_late_start(cell)
    assert cell.state("a0", JOB) == "completed"
    cell.restart_worker("i-0")
    cell.advance(LATE_S)
    assert len(cell.spans) == 1


def test_job_completes_at_once_on_a_worker_that_states_no_start_time():
    """Guards against a wait for starts that another incarnation refuses, as its id is another."""
    cell = make_cell(n_instances=3, n_workers=0)
    cell.add_worker("i-0", "w0:1", born_ms=None)
    cell.advance(1.0)
    run_task_with_late_start(cell)
    assert cell.state("a0", JOB) == "completed"
