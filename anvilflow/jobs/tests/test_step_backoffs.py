"""Blame for failures of long-running tasks: the worker's, or the task's own."""

import pytest

from anvilflow.jobs import RunEnd, StartRun, StepSpec, Worker

from .test_scheduler import add_job, make_report, make_scheduler


def _fail_at_once(scheduler, start, number, now):
    end = RunEnd(number=number, task=start.task, run_id=start.run_id, how="failed", checkpoint="")
    scheduler.report(start.worker_id, make_report((), [end]), requested_at=now, now=now)


def _fail_two_services_on(scheduler, *, is_same_worker):
    """Let the tasks of two jobs fail once each; return the workers, the first one's first."""
    step = StepSpec(n_tasks=1, cpu_milli=1000, long_running=True)
    used = []
    for number, job_id in enumerate(("a" * 16, "b" * 16), start=1):
        for worker in scheduler.workers.values():
            worker.listed = not used or (worker is used[0]) is is_same_worker
        [start] = add_job(scheduler, step, now=float(number), job_id=job_id)
        used.append(scheduler.workers[start.worker_id])
        _fail_at_once(scheduler, start, number if is_same_worker else 1, number + 0.5)
        scheduler.cancel_job(job_id, number + 0.6)
    return used


@pytest.mark.parametrize("is_same_worker", [True, False])
def test_worker_that_fails_unlike_services_has_a_back_off(is_same_worker):
    """Guards against a faulty worker that goes on taking the tasks of one service after another."""
    used = _fail_two_services_on(make_scheduler(), is_same_worker=is_same_worker)
    assert (used[0].retry_at > 2.5) is is_same_worker


def test_service_that_failed_elsewhere_does_not_count_against_the_next_worker():
    """Guards against the blame of all workers that a broken service has been to."""
    scheduler = make_scheduler(n_workers=4)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True))
    for number in range(4):
        now = 1.0 + number
        worker = scheduler.workers[start.worker_id]
        _fail_at_once(scheduler, start, 1, now)
        assert worker.n_consecutive_failures == (number == 0)
        starts = [each for each in scheduler.plan(now, now) if isinstance(each, StartRun)]
        if starts:
            [start] = starts


def test_run_that_lasted_clears_the_blame_of_its_step():
    """Guards against a service that counts as broken for ever after one bad minute."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True))
    step = scheduler.jobs["00000000000000a1"].steps[0, 0]
    step.failed_on.update(("w8", "w9"))
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "started", 1.0)
    _fail_at_once(scheduler, start, 1, 30.0)
    assert step.failed_on == {start.worker_id}


def test_back_off_of_a_step_ends_with_a_success_on_its_worker():
    """Guards against a back-off of a step on a worker where other tasks do well."""
    worker = Worker(info=next(iter(make_scheduler().workers.values())).info, lease_over_at=0.0)
    for _ in range(3):
        worker.step_backoffs.note_failure("job.0.0", 1.0)
    assert worker.step_backoffs.holds("job.0.0", 1.5)
    assert not worker.step_backoffs.holds("job.0.1", 1.5)
    worker.step_backoffs.clear()
    assert not worker.step_backoffs.holds("job.0.0", 1.5)
