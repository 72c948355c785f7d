"""Ends and runs of tasks that a new home does not know yet, without any network."""

from anvilflow.jobs import RunEnd, StepSpec

from .test_scheduler import add_job, make_report, make_scheduler

TASK = "00000000000000a1.0.0.0"


def end_of(task, *, number=1, how="done"):
    """Return the end of a first run."""
    return RunEnd(number=number, task=task, run_id=1, how=how, checkpoint="")


def tell(scheduler, *ends, now=0.1, worker_id="w0"):
    """Let a worker tell of ends; return the number up to which it may forget them."""
    scheduler.report(worker_id, make_report(ended=ends), asked_at=now, now=now)
    return scheduler.acknowledged(scheduler.workers[worker_id])


def test_end_of_a_job_that_is_heard_of_later_is_kept_and_counts():
    """A job is accepted while homes change: the former home starts it, and it is done at once.

    The next home has read the jobs before. It hears of the end first, then of the job. Were the end
    forgotten, the task would be started a second time.
    """
    scheduler = make_scheduler()
    assert tell(scheduler, end_of(TASK)) == 0
    assert add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=0.2) == []
    worker = scheduler.workers["w0"]
    assert scheduler.acknowledged(worker) == 0
    [job] = scheduler.dirty_jobs()
    scheduler.recorded(job.job_id, job.change, 0.3)
    assert scheduler.acknowledged(worker) == 1
