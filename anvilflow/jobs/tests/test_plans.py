"""What a plan between two whole ones looks at, and that nothing waits for the next whole one."""

import pytest

from anvilflow.jobs import JobSpec, Queue, RunEnd, StartRun, StepSpec, _placement

from .test_reservations import FIRST, LAST, make_cell, submit
from .test_scheduler import QUEUE, confirm_started, make_report, make_run_report, make_scheduler

#: A worker of ten cores holds one of these.
LARGE = StepSpec(n_tasks=1, cpu_milli=6_000, estimate_s=5.0)


def fill_workers(scheduler, n_waiting):
    """Fill each worker with one task, and let as many jobs wait; return the starts."""
    starts = []
    for number in range(len(scheduler.workers) + n_waiting):
        starts += submit(scheduler, f"{number:016x}", FIRST, LARGE, 0.0)
    starts = [action for action in starts if isinstance(action, StartRun)]
    confirm_started(scheduler, starts, 0.0)
    return starts


def report_end(scheduler, start, now):
    """Let the worker of a run tell that the run is done."""
    end = RunEnd(number=1, task=start.task, run_id=start.run_id, how="done", checkpoint="")
    report = make_report([], [end], clock_s=now)
    scheduler.report(start.worker_id, report, requested_at=now, now=now)


def plan_starts(scheduler, now):
    """Return the starts of a plan."""
    return [action for action in scheduler.plan(now, now) if isinstance(action, StartRun)]


@pytest.mark.parametrize("safeguard", [True, False])
def test_event_does_not_look_at_every_waiting_step_with_every_worker(monkeypatch, safeguard):
    """Thirty jobs wait on thirty full workers; jobs come, each with a plan behind it.

    Each plan went through all waiting steps and for each of them through all workers. At 270
    workers and 441 plans a second that was most of what the deciding instance did, and on one with
    an eighth of a core it was late with its heartbeats, was taken for dead, and so was the next.
    """
    if not safeguard:
        monkeypatch.setattr(_placement, "FULL_PLAN_INTERVAL_S", 0.0)
    scheduler = make_cell(30)
    fill_workers(scheduler, 30)
    looked = []
    original = _placement._is_eligible
    monkeypatch.setattr(
        _placement, "_is_eligible", lambda *args: looked.append(args) or original(*args)
    )
    for number in range(10):
        submit(scheduler, f"{900 + number:016x}", LAST, LARGE, 0.01)
    assert (len(looked) <= 10 * 30) is safeguard


def test_room_that_comes_is_used_by_the_next_plan():
    """A task ends a moment after a whole plan: the job that waits does not wait for the next."""
    scheduler = make_cell(3)
    starts = fill_workers(scheduler, 1)
    assert scheduler.plan(0.0, 0.0) == []
    report_end(scheduler, starts[0], 0.01)
    [started] = plan_starts(scheduler, 0.01)
    assert started.worker_id == starts[0].worker_id


def test_room_that_comes_goes_to_the_most_urgent_job():
    """An urgent job comes after others that wait: the next room is its own."""
    scheduler = make_cell(2)
    starts = fill_workers(scheduler, 0)
    submit(scheduler, "00000000000000c1", LAST, LARGE, 0.0)
    submit(scheduler, "00000000000000c2", FIRST, LARGE, 0.0)
    report_end(scheduler, starts[0], 0.01)
    [started] = plan_starts(scheduler, 0.01)
    assert started.task.startswith("00000000000000c2")


def test_worker_that_is_kept_stays_kept_between_whole_plans():
    """A worker is kept for a large urgent task; a small one that comes then must not take it.

    The small task would run for long, and the large one would find its room gone once more.
    """
    scheduler = make_cell(1)
    small = StepSpec(n_tasks=2, cpu_milli=4_500, estimate_s=60.0)
    running = submit(scheduler, "00000000000000d1", LAST, small, 0.0)
    confirm_started(scheduler, running, 0.0)
    whole = StepSpec(n_tasks=1, cpu_milli=10_000, estimate_s=1.0)
    submit(scheduler, "00000000000000d2", FIRST, whole, 0.0)
    end = RunEnd(number=1, task=running[0].task, run_id=1, how="done", checkpoint="")
    report = make_report([make_run_report(running[1], 10)], [end], clock_s=0.01)
    scheduler.report("w0", report, requested_at=0.01, now=0.01)
    assert plan_starts(scheduler, 0.01) == []
    assert submit(scheduler, "00000000000000d3", LAST, small, 0.02) == []


def test_worker_that_answers_again_is_used_by_the_next_plan():
    """A worker falls silent and answers between two whole plans: what waits for it starts."""
    scheduler = make_cell(1)
    scheduler.worker_unreachable("w0", 0.0)
    assert submit(scheduler, "00000000000000e1", FIRST, LARGE, 0.0) == []
    scheduler.report("w0", make_report(), requested_at=0.01, now=0.01)
    assert len(plan_starts(scheduler, 0.01)) == 1


def test_occurrence_that_falls_due_is_planned_with_the_look_that_finds_it():
    """A job with times begins within one look of its due time."""
    scheduler = make_cell(1)
    step = StepSpec(n_tasks=1, cpu_milli=1_000)
    spec = JobSpec(
        job_id="00000000000000f1",
        queue="first",
        payload="",
        steps=(step,),
        n_occurrences=2,
        first_at=0.0,
        interval_s=1.0,
    )
    scheduler.add_job(spec, FIRST, version=1, now=0.0, wall_now=0.0)
    assert len(plan_starts(scheduler, 0.0)) == 1
    assert len(plan_starts(scheduler, 1.1)) == 1


def _starts_wanted(scheduler, now, n_wanted):
    actions = scheduler.plan(now, now, n_wanted=n_wanted)
    return [action for action in actions if isinstance(action, StartRun)]


def test_no_more_starts_are_decided_than_are_wanted():
    """A start that is decided long before it can be sent takes room that others could use."""
    scheduler = make_scheduler(4)
    for number in range(3):
        step = StepSpec(n_tasks=1, cpu_milli=100)
        spec = JobSpec(job_id=f"{number:016x}", queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=1.0, wall_now=1.0)
    assert len(_starts_wanted(scheduler, 1.0, 2)) == 2
    assert _starts_wanted(scheduler, 1.2, 0) == []
    assert scheduler.starts_deferred_s(1.5) == 0.5
    assert len(_starts_wanted(scheduler, 1.6, 9)) == 1
    assert scheduler.starts_deferred_s(1.6) == 0.0


def test_task_that_is_to_last_does_not_wait_behind_urgent_jobs_for_long():
    """Its users had nobody for as long as a burst of more urgent jobs went on."""
    scheduler = make_scheduler(1)
    lasting = StepSpec(n_tasks=1, cpu_milli=1_000, long_running=True)
    usual = Queue(name="u", host="h", prefix="/u/", service="s", priority=1)
    spec = JobSpec(job_id="00000000000000f1", queue="u", payload="", steps=(lasting,))
    scheduler.add_job(spec, usual, version=1, now=0.0, wall_now=0.0)
    for number in range(2):
        urgent = StepSpec(n_tasks=1, cpu_milli=1_000)
        spec = JobSpec(job_id=f"{number:016x}", queue="q", payload="", steps=(urgent,))
        scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    [first] = _starts_wanted(scheduler, 1.0, 1)
    assert first.task.startswith(f"{0:016x}")
    [second] = _starts_wanted(scheduler, 2.5, 1)
    assert second.task.startswith("00000000000000f1")
