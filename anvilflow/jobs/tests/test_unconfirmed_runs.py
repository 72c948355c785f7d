"""Runs that a former leader named on a worker that has not responded to this leader."""

import pytest

from anvilflow.jobs import JobSpec, RunEnd, RunReport, Scheduler, StartRun, StepSpec

from .test_scheduler import QUEUE, add_job, make_report, make_scheduler

JOB = "00000000000000a1"


def _starts(actions):
    return [action for action in actions if isinstance(action, StartRun)]


@pytest.mark.parametrize("safeguard", [True, False])
def test_run_of_an_occurrence_that_is_not_due_yet_keeps_its_task(monkeypatch, safeguard):
    """Guards against a second run where the former leader's clock was ahead of this one's."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_note_unconfirmed_orphan", lambda *_: None)
    scheduler = make_scheduler()
    spec = JobSpec(
        job_id=JOB,
        queue="q",
        payload="",
        steps=(StepSpec(n_tasks=1, cpu_milli=1000),),
        n_occurrences=2,
        first_at=0.0,
        interval_s=10.0,
    )
    scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    scheduler.plan(0.0, 0.0)
    task = f"{JOB}.1.0.0"
    assert scheduler.find_task(task) == (None, None)
    scheduler.adopt_unconfirmed_runs("w0", [(task, 1)], 0.0)
    assert (not any(start.task == task for start in _starts(scheduler.plan(10.5, 10.5)))) is (
        safeguard
    )


@pytest.mark.parametrize("safeguard", [True, False])
def test_second_run_of_a_task_on_one_worker_is_kept_apart(monkeypatch, safeguard):
    """Guards against capacity that stays in use after the end of both runs of a task."""
    if not safeguard:
        monkeypatch.setattr(Scheduler, "_note_unconfirmed_orphan", Scheduler._adopt_unconfirmed_run)
    scheduler = make_scheduler(1)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "late", 0.1)
    free = scheduler.workers["w0"].cpu_free
    scheduler.adopt_unconfirmed_runs("w0", [(start.task, 1001), (start.task, 7)], 0.2)
    run = RunReport(task=start.task, run_id=7, checkpoint="", percent=10.0, load=0.0)
    scheduler.report("w0", make_report([run]), requested_at=0.5, now=0.5)
    assert _starts(scheduler.plan(0.5, 0.5)) == []
    end = RunEnd(number=1, task=start.task, run_id=7, how="done", checkpoint="")
    scheduler.report("w0", make_report(ended=[end]), requested_at=1.0, now=1.0)
    assert _starts(scheduler.plan(1.0, 1.0)) == []
    assert (scheduler.workers["w0"].cpu_free == free) is safeguard
