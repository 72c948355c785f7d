"""Tests that a task is not started while an orphan run of it is still being stopped."""

import pytest

from anvilflow.jobs import RunEnd, RunReport, Scheduler, StartRun, StepSpec, StopRun

from .test_scheduler import add_job, make_report, make_scheduler

TASK = "00000000000000a1.0.0.0"


def _active(run_id):
    return RunReport(task=TASK, run_id=run_id, checkpoint="", percent=10.0, load=0.0)


def _report(scheduler, worker_id, now, *, active=(), ended=()):
    """Report the runs and ends of a worker; return the actions, with those of the next plan."""
    report = make_report(active, ended, clock_s=now)
    actions = scheduler.report(worker_id, report, requested_at=now, now=now)
    return actions + scheduler.plan(now, now)


def _starts(actions):
    return [action for action in actions if isinstance(action, StartRun)]


def _make_scheduler_with_stale_run():
    """Return a scheduler with an outdated run of the task on one worker, named by a former leader.

    A later run of the task, unknown to the scheduler, is on another worker.
    """
    scheduler = make_scheduler(3)
    add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=20_000))
    task = scheduler.jobs["00000000000000a1"].steps[0, 0].tasks[0]
    scheduler.jobs["00000000000000a1"].steps[0, 0].spec = StepSpec(n_tasks=1, cpu_milli=1_000)
    scheduler.adopt_unconfirmed_runs("w0", [(TASK, 1)], 0.1)
    assert [run.run_id for run in task.runs.values()] == [1]
    return scheduler


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_waits_for_a_run_that_is_being_stopped_elsewhere(monkeypatch, safeguard):
    """Guards against a third run of a task while its second run is still being stopped.

    A leader names a run on an unreachable worker in its row, loses the store before that run has
    ended, and starts the task again on a second worker. The next leader has only the first run
    on record and stops the second. When the first was reported as ended, it started a third run
    beside the second.
    """
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_take_orphan_run", lambda self, step, task, now: False)
    scheduler = _make_scheduler_with_stale_run()
    [stop] = _report(scheduler, "w1", 0.5, active=[_active(2)])
    assert isinstance(stop, StopRun) and stop.worker_id == "w1"
    began = _starts(_report(scheduler, "w0", 0.7))
    assert (began == []) is safeguard
    if safeguard:
        assert _starts(_report(scheduler, "w1", 0.9, active=[_active(2)])) == []
        end = RunEnd(number=1, task=TASK, run_id=2, how="stopped", checkpoint="")
        [start] = _starts(_report(scheduler, "w1", 1.2, ended=[end]))
        assert start.run_id > 2


def test_run_that_is_done_before_its_stop_counts():
    """Guards against starting a task again that was done before its run could be stopped."""
    scheduler = _make_scheduler_with_stale_run()
    _report(scheduler, "w1", 0.5, active=[_active(2)])
    _report(scheduler, "w0", 0.7)
    end = RunEnd(number=1, task=TASK, run_id=2, how="done", checkpoint="")
    assert _starts(_report(scheduler, "w1", 0.9, ended=[end])) == []
    assert _starts(scheduler.plan(5.0, 5.0)) == []


def test_task_waits_for_a_run_being_stopped_on_a_lost_worker_until_its_lease_expires():
    """Guards against an early start: an unreachable worker may run a task until its lease ends."""
    scheduler = _make_scheduler_with_stale_run()
    _report(scheduler, "w1", 0.5, active=[_active(2)])
    scheduler.workers["w1"].lease_sent(0.5, 3.0)
    _report(scheduler, "w0", 0.7)
    scheduler.worker_unreachable("w1", 0.8)
    assert _starts(scheduler.plan(3.0, 3.0)) == []
    assert len(_starts(scheduler.plan(4.0, 4.0))) == 1
