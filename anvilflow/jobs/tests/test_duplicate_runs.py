"""A task must not begin again while a run of it that has no place here is still being stopped."""

import pytest

from anvilflow.jobs import RunEnd, RunReport, Scheduler, StartRun, StepSpec, StopRun

from .test_scheduler import add_job, make_report, make_scheduler

TASK = "00000000000000a1.0.0.0"


def _active(run_id):
    return RunReport(task=TASK, run_id=run_id, checkpoint="", percent=10.0, load=0.0)


def _report(scheduler, worker_id, now, *, active=(), ended=()):
    """Let a worker report; return what follows, with the next plan."""
    report = make_report(active, ended, clock_s=now)
    actions = scheduler.report(worker_id, report, requested_at=now, now=now)
    return actions + scheduler.plan(now, now)


def _starts(actions):
    return [action for action in actions if isinstance(action, StartRun)]


def _make_scheduler_with_stale_run():
    """A former leader named a run of the task on a worker; by now a later one is on another."""
    scheduler = make_scheduler(3)
    add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=20_000))
    task = scheduler.jobs["00000000000000a1"].steps[0, 0].tasks[0]
    scheduler.jobs["00000000000000a1"].steps[0, 0].spec = StepSpec(n_tasks=1, cpu_milli=1_000)
    scheduler.adopt_unconfirmed_runs("w0", [(TASK, 1)], 0.1)
    assert [run.run_id for run in task.runs.values()] == [1]
    return scheduler


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_waits_for_a_run_that_is_being_stopped_elsewhere(monkeypatch, safeguard):
    """The leader names a run on a worker that is dark, and loses the store before it is over.

    It starts the task again on a second worker. The next leader knows the first run alone, has the
    second one stopped, hears that the first one is over, and started a third beside the second.
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
    """The run that was to be stopped was done first: the task must not begin again at all."""
    scheduler = _make_scheduler_with_stale_run()
    _report(scheduler, "w1", 0.5, active=[_active(2)])
    _report(scheduler, "w0", 0.7)
    end = RunEnd(number=1, task=TASK, run_id=2, how="done", checkpoint="")
    assert _starts(_report(scheduler, "w1", 0.9, ended=[end])) == []
    assert _starts(scheduler.plan(5.0, 5.0)) == []


def test_run_that_is_being_stopped_on_a_lost_worker_is_waited_for_until_its_lease_is_over():
    """The worker falls dark while it stops: its run may go on until the lease ends."""
    scheduler = _make_scheduler_with_stale_run()
    _report(scheduler, "w1", 0.5, active=[_active(2)])
    scheduler.workers["w1"].lease_sent(0.5, 3.0)
    _report(scheduler, "w0", 0.7)
    scheduler.worker_unreachable("w1", 0.8)
    assert _starts(scheduler.plan(3.0, 3.0)) == []
    assert len(_starts(scheduler.plan(4.0, 4.0))) == 1
