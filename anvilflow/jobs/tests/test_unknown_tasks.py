"""Tests of ends and runs of tasks that are still unknown to a new leader, without a network."""

import pytest

from anvilflow.jobs import JobSpec, RunEnd, RunReport, StartRun, StepSpec

from .test_scheduler import QUEUE, add_job, make_report, make_scheduler

TASK = "00000000000000a1.0.0.0"
OTHER_JOB = "00000000000000b2"

#: A job with three occurrences, 10 s apart, the first at 100 s.
TIMED = JobSpec(
    job_id="00000000000000a1",
    queue="q",
    payload="",
    steps=(StepSpec(n_tasks=1, cpu_milli=1000),),
    first_at=100.0,
    interval_s=10.0,
    n_occurrences=3,
)


def make_end(task, *, number=1, how="done"):
    """Return the end of a task's first run."""
    return RunEnd(number=number, task=task, run_id=1, how=how, checkpoint="")


def report_ends(scheduler, *ends, now=0.1, worker_id="w0"):
    """Report ends of a worker; return the number up to which they are acknowledged."""
    scheduler.report(worker_id, make_report(ended=ends), requested_at=now, now=now)
    return scheduler.acknowledged(scheduler.workers[worker_id])


def test_end_reported_before_its_job_is_known_is_kept_and_counts():
    """Guards against a second start of a task whose end is reported before its job is known.

    The job is accepted during a change of leaders. The former leader starts it, and its task is
    done at once. The next leader has read the jobs before that: it receives the end first, then
    the job.
    """
    scheduler = make_scheduler()
    assert report_ends(scheduler, make_end(TASK)) == 0
    assert add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=0.2) == []
    worker = scheduler.workers["w0"]
    assert scheduler.acknowledged(worker) == 0
    [job] = scheduler.dirty_jobs()
    scheduler.recorded(job.job_id, job.change, 0.3)
    assert scheduler.acknowledged(worker) == 1


def test_end_of_an_unknown_job_is_acknowledged_once_the_jobs_have_been_read_again():
    """Guards against keeping ends of deleted jobs forever, and acknowledging ends too early.

    The job's rows are deleted, and a worker that was unreachable reports its run. A job is in the
    store before it is started, so a read that began after the end was received shows the job if it
    exists. A read that began earlier proves nothing.
    """
    scheduler = make_scheduler()
    assert report_ends(scheduler, make_end(TASK), now=5.0) == 0
    scheduler.jobs_read(4.9)
    assert scheduler.acknowledged(scheduler.workers["w0"]) == 0
    scheduler.jobs_read(5.1)
    assert scheduler.acknowledged(scheduler.workers["w0"]) == 1


def test_ends_after_a_kept_end_are_not_acknowledged():
    """Guards against losing a kept end: a worker drops all ends up to the acknowledged number."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), job_id=OTHER_JOB)
    ends = [make_end(TASK, number=1), make_end(start.task, number=2)]
    assert report_ends(scheduler, *ends, worker_id=start.worker_id) == 0
    worker = scheduler.workers[start.worker_id]
    scheduler.recorded(OTHER_JOB, scheduler.jobs[OTHER_JOB].change, 0.2)
    assert scheduler.acknowledged(worker) == 0
    scheduler.jobs_read(0.3)
    assert scheduler.acknowledged(worker) == 2


def test_end_of_a_job_that_has_ended_durably_is_not_kept():
    """Guards against keeping ends needlessly: a job whose end is durable is never started again."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler.cancel_job("00000000000000a1", 0.1)
    scheduler.recorded("00000000000000a1", scheduler.jobs["00000000000000a1"].change, 0.2)
    assert report_ends(scheduler, make_end(start.task), worker_id=start.worker_id) == 1


def test_full_report_of_unknown_ends_is_kept_and_counts():
    """Guards against losing some of 500 ends that are reported before their job is known."""
    scheduler = make_scheduler(n_workers=1)
    ends = [make_end(f"00000000000000a1.0.0.{each}", number=each + 1) for each in range(500)]
    assert report_ends(scheduler, *ends) == 0
    starts = add_job(scheduler, StepSpec(n_tasks=502, cpu_milli=1000), now=0.2)
    assert [start.task for start in starts] == [
        f"00000000000000a1.0.0.{each}" for each in (500, 501)
    ]


def test_failures_reported_before_their_job_is_known_count_once():
    """Guards against counting a failure twice: of three early ends, one is reported twice."""
    scheduler = make_scheduler()
    ends = [
        RunEnd(number=number, task=TASK, run_id=number, how="failed", checkpoint="")
        for number in (1, 2, 3)
    ]
    assert report_ends(scheduler, *ends[:1]) == 0
    assert report_ends(scheduler, *ends, now=0.15) == 0
    assert add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=0.2) == []
    [job] = scheduler.dirty_jobs()
    assert job.is_ended and len(job.steps[0, 0].tasks[0].failed_runs) == 3


def test_run_known_only_by_its_end_raises_the_run_number():
    """Guards against reusing a run number.

    A worker refuses a number that is not higher, and two failures of run 1 would count once.
    """
    scheduler = make_scheduler()
    end = RunEnd(number=1, task=TASK, run_id=3, how="failed", checkpoint="")
    assert report_ends(scheduler, end) == 0
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=0.2)
    assert start.run_id == 4


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_end_of_an_occurrence_that_is_not_due_yet_by_this_leaders_clock_is_kept(is_cancelled):
    """Guards against a second start of a task when the former leader's clock was ahead.

    The former leader has begun an occurrence that is due only in one second by the next leader's
    clock. If the end were acknowledged, the task would be started again then, also when a
    cancellation is not durable yet.
    """
    scheduler = make_scheduler()
    scheduler.add_job(TIMED, QUEUE, version=1, now=0.0, wall_now=99.0)
    assert report_ends(scheduler, make_end(TASK)) == 0
    worker = scheduler.workers["w0"]
    scheduler.jobs_read(0.2)
    assert scheduler.acknowledged(worker) == 0
    if is_cancelled:
        scheduler.cancel_job(TIMED.job_id, 0.3)
        assert scheduler.acknowledged(worker) == 0
    else:
        assert not _starts(scheduler.plan(1.0, 100.0))
        assert [start.task for start in _starts(scheduler.plan(11.0, 110.0))] == [
            "00000000000000a1.1.0.0"
        ]
    scheduler.recorded(TIMED.job_id, scheduler.jobs[TIMED.job_id].change, 12.0)
    assert scheduler.acknowledged(worker) == 1


def _starts(actions):
    return [action for action in actions if isinstance(action, StartRun)]


def test_run_of_an_occurrence_that_is_not_due_yet_by_this_leaders_clock_is_adopted():
    """Guards against stopping a run when the former leader's clock was ahead, by 0.5 s.

    The occurrence becomes due shortly afterwards for this leader too, and a stop would discard the
    run's work.
    """
    scheduler = make_scheduler()
    scheduler.add_job(TIMED, QUEUE, version=1, now=0.0, wall_now=99.5)
    run = RunReport(task=TASK, run_id=1, checkpoint="", percent=5, load=0.0)
    assert scheduler.report("w0", make_report([run]), requested_at=0.1, now=0.1) == []
    assert not _starts(scheduler.plan(0.6, 100.1))
    assert list(scheduler.workers["w0"].runs) == [TASK]


def test_end_of_a_task_that_cannot_exist_is_not_kept():
    """Guards against keeping ends of tasks beyond the last occurrence, or with invalid names."""
    scheduler = make_scheduler()
    scheduler.add_job(TIMED, QUEUE, version=1, now=0.0, wall_now=99.0)
    ends = [make_end(f"{TIMED.job_id}.3.0.0", number=1), make_end(TIMED.job_id, number=2)]
    assert report_ends(scheduler, *ends) == 2
