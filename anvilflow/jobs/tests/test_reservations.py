"""Reservation and preemption for urgent tasks on workers that are full of less urgent ones."""

import pytest

from anvilflow.jobs import (
    CellConfig,
    JobSpec,
    Queue,
    RunEnd,
    Scheduler,
    SchedulingPolicy,
    StartRun,
    StepSpec,
    StopRun,
)

from .test_scheduler import confirm_started, make_report, make_run_report, make_worker_info

FIRST = Queue(name="first", host="h", prefix="/f/", service="s", priority=0, max_attempts=3)
LAST = Queue(name="last", host="h", prefix="/l/", service="s", priority=2, max_attempts=3)


def make_cell(n_workers=1, policy=None):
    """Return a scheduler with two queues, whose workers have ten cores each."""
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0, policy=policy)
    scheduler.configure(CellConfig(version=1, queues=(FIRST, LAST)))
    for number in range(n_workers):
        scheduler.worker_listed(make_worker_info(number), 0.0)
        scheduler.report(f"w{number}", make_report(), requested_at=0.0, now=0.0)
    return scheduler


def submit(scheduler, job_id, queue, step, now):
    """Submit a job; return the actions of the next plan."""
    spec = JobSpec(job_id=job_id, queue=queue.name, payload="", steps=(step,))
    scheduler.add_job(spec, queue, version=1, now=now, wall_now=now)
    return scheduler.plan(now, now)


def starts_of(actions):
    """Return the starts among some actions."""
    return [action for action in actions if isinstance(action, StartRun)]


def end_run(scheduler, run, others, now, number):
    """Report the end of a run, with the other runs in progress; return the starts that follow."""
    end = RunEnd(number=number, task=run.task, run_id=run.run_id, how="done", checkpoint="")
    active = [make_run_report(other, 10) for other in others]
    report = make_report(active, [end], clock_s=now)
    scheduler.report("w0", report, requested_at=now, now=now)
    started = starts_of(scheduler.plan(now, now))
    confirm_started(scheduler, started, now)
    return started


@pytest.mark.parametrize("safeguard", [True, False])
def test_large_urgent_task_is_not_overtaken_by_small_ones(safeguard):
    """Guards against an urgent task of six cores that waits while small tasks keep starting.

    A worker is full of tasks of one core, which end one after the other while more are waiting.
    Unless the worker is reserved, each core is taken as it becomes free, and six cores are never
    free at the same time. With a reservation, the urgent task starts when six tasks have ended.
    """
    policy = SchedulingPolicy() if safeguard else SchedulingPolicy(max_reserved=0)
    scheduler = make_cell(policy=policy)
    small_step = StepSpec(n_tasks=40, cpu_milli=1000, estimate_s=1.0)
    running = starts_of(submit(scheduler, "00000000000000b1", LAST, small_step, 0.0))
    confirm_started(scheduler, running, 0.0)
    large_step = StepSpec(n_tasks=1, cpu_milli=6000, estimate_s=1.0)
    submit(scheduler, "00000000000000a1", FIRST, large_step, 0.1)
    urgent = []
    for number in range(1, 13):
        ended, *running = running
        started = end_run(scheduler, ended, running, 0.1 + number * 0.1, number)
        urgent += [start for start in started if start.task.startswith("00000000000000a1")]
        running += [start for start in started if start.task.startswith("00000000000000b1")]
    assert bool(urgent) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_run_that_can_resume_is_stopped_for_an_urgent_task(safeguard):
    """Guards against an urgent task that waits for half a minute for less urgent runs to end.

    A worker is full of runs of 30 s that write checkpoints. One of them is stopped, to resume
    later.
    """
    policy = SchedulingPolicy() if safeguard else SchedulingPolicy(preempt_s=None)
    scheduler = make_cell(policy=policy)
    low_priority_step = StepSpec(n_tasks=3, cpu_milli=3000, estimate_s=30.0, checkpointing=True)
    running = starts_of(submit(scheduler, "00000000000000b1", LAST, low_priority_step, 0.0))
    confirm_started(scheduler, running, 0.0)
    urgent_step = StepSpec(n_tasks=1, cpu_milli=2000, estimate_s=1.0)
    actions = submit(scheduler, "00000000000000a1", FIRST, urgent_step, 1.0)
    stops = [action for action in actions if isinstance(action, StopRun)]
    assert [stop.why for stop in stops] == (["preempted"] if safeguard else [])
    # While the first stop is in progress, no second run is stopped for the same task.
    assert [a for a in scheduler.plan(1.1, 1.1) if isinstance(a, StopRun)] == []


@pytest.mark.parametrize(
    "values",
    [
        {"checkpointing": False},
        {"checkpointing": True, "gang": True},
        {"checkpointing": True, "long_running": True},
    ],
)
def test_runs_that_would_lose_their_work_are_not_stopped(values):
    """Guards against preempting runs without checkpoints, gang members and long-running tasks."""
    scheduler = make_cell()
    low_priority_step = StepSpec(n_tasks=3, cpu_milli=3000, estimate_s=30.0, **values)
    running = starts_of(submit(scheduler, "00000000000000b1", LAST, low_priority_step, 0.0))
    confirm_started(scheduler, running, 0.0)
    urgent_step = StepSpec(n_tasks=1, cpu_milli=2000, estimate_s=1.0)
    actions = submit(scheduler, "00000000000000a1", FIRST, urgent_step, 1.0)
    assert [action for action in actions if isinstance(action, StopRun)] == []


def test_no_run_is_stopped_where_capacity_is_free_soon():
    """Guards against preempting runs that end earlier by themselves than a stop would take."""
    scheduler = make_cell()
    low_priority_step = StepSpec(n_tasks=3, cpu_milli=3000, estimate_s=2.0, checkpointing=True)
    running = starts_of(submit(scheduler, "00000000000000b1", LAST, low_priority_step, 0.0))
    confirm_started(scheduler, running, 0.0)
    report = make_report([make_run_report(start, 80) for start in running], clock_s=1.6)
    scheduler.report("w0", report, requested_at=1.6, now=1.6)
    urgent_step = StepSpec(n_tasks=1, cpu_milli=2000, estimate_s=1.0)
    actions = submit(scheduler, "00000000000000a1", FIRST, urgent_step, 1.6)
    assert [action for action in actions if isinstance(action, StopRun)] == []


def test_runs_of_the_same_queue_are_never_stopped_for_each_other():
    """Guards against preemption within a queue, which would only lose work."""
    scheduler = make_cell()
    low_priority_step = StepSpec(n_tasks=3, cpu_milli=3000, estimate_s=30.0, checkpointing=True)
    running = starts_of(submit(scheduler, "00000000000000b1", LAST, low_priority_step, 0.0))
    confirm_started(scheduler, running, 0.0)
    actions = submit(scheduler, "00000000000000b2", LAST, low_priority_step, 1.0)
    assert [action for action in actions if isinstance(action, StopRun)] == []
