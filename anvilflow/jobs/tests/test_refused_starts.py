"""Starts that a worker refuses since it has, or has had, a run of the task."""

import pytest

from anvilflow.jobs import RunEnd, RunReport, Scheduler, StartRun, StepSpec, StopRun

from .test_scheduler import add_job, make_report, make_scheduler


@pytest.fixture(params=[True, False])
def refused(request, monkeypatch):
    """Return a scheduler with a start refused as old, the start, and whether the run is kept."""
    if not request.param:
        monkeypatch.setattr(
            Scheduler, "_keep_until_report", lambda self, run, now: self._drop_run(run, "", now)
        )
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler.start_sent(start.worker_id, start.task, start.run_id)
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "old", 1.0)
    return scheduler, start, request.param


def _run(start, run_id):
    return RunReport(task=start.task, run_id=run_id, checkpoint="", percent=10.0, load=0.0)


def _report(scheduler, start, now, *, requested_at=None, active=(), ended=()):
    """Report runs and ends; return the starts and the stops, with those of the next plan."""
    requested_at = now if requested_at is None else requested_at
    report = make_report(active, ended, clock_s=now)
    actions = scheduler.report(start.worker_id, report, requested_at=requested_at, now=now)
    actions += scheduler.plan(now, now)
    return [each for each in actions if isinstance(each, StartRun)], [
        each for each in actions if isinstance(each, StopRun)
    ]


def test_task_refused_as_old_waits_for_a_report_that_was_requested_later(refused):
    """Guards against starting a task beside the run for which its worker refused another one."""
    scheduler, start, is_kept = refused
    starts, _ = _report(scheduler, start, 1.2, requested_at=0.9)
    assert (starts == []) is is_kept
    if is_kept:
        [again], _ = _report(scheduler, start, 1.6)
        assert again.run_id > start.run_id


def test_run_found_after_a_refusal_as_old_ends_before_the_task_starts_again(refused):
    """Guards against two runs of a task: that of an earlier leader and one of this leader."""
    scheduler, start, is_kept = refused
    starts, stops = _report(scheduler, start, 1.5, active=[_run(start, 7)])
    assert (starts == [] and [stop.run_id for stop in stops] == [7]) is is_kept
    if is_kept:
        assert _report(scheduler, start, 2.0, active=[_run(start, 7)]) == ([], [])
        end = RunEnd(number=1, task=start.task, run_id=7, how="stopped", checkpoint="")
        [again], _ = _report(scheduler, start, 2.3, ended=[end])
        assert again.run_id > 7


def test_end_that_a_refusal_as_old_hides_counts(refused):
    """Guards against running a task again whose end the worker lists in its next report."""
    scheduler, start, is_kept = refused
    end = RunEnd(number=1, task=start.task, run_id=7, how="done", checkpoint="")
    assert (scheduler.plan(1.1, 1.1) == []) is is_kept
    starts, _ = _report(scheduler, start, 1.5, ended=[end])
    assert starts == []
    assert scheduler.plan(5.0, 5.0) == []
