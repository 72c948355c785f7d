"""Plans between two full plans: they cover little, and no due start waits for a full plan."""

import pytest

from anvilflow.jobs import JobSpec, Queue, RunEnd, StartRun, StepSpec, _placement

from .test_reservations import FIRST, LAST, make_cell, submit
from .test_scheduler import QUEUE, confirm_started, make_report, make_run_report, make_scheduler

#: A worker of ten cores has capacity for one task of this step.
LARGE = StepSpec(n_tasks=1, cpu_milli=6_000, estimate_s=5.0)


def fill_workers(scheduler, n_waiting):
    """Occupy each worker with one task and submit `n_waiting` jobs more; return the starts."""
    starts = []
    for number in range(len(scheduler.workers) + n_waiting):
        starts += submit(scheduler, f"{number:016x}", FIRST, LARGE, 0.0)
    starts = [action for action in starts if isinstance(action, StartRun)]
    confirm_started(scheduler, starts, 0.0)
    return starts


def report_end(scheduler, start, now):
    """Report a run as done on behalf of its worker."""
    end = RunEnd(number=1, task=start.task, run_id=start.run_id, how="done", checkpoint="")
    report = make_report([], [end], clock_s=now)
    scheduler.report(start.worker_id, report, requested_at=now, now=now)


def plan_starts(scheduler, now):
    """Plan; return the starts."""
    return [action for action in scheduler.plan(now, now) if isinstance(action, StartRun)]


@pytest.mark.parametrize("safeguard", [True, False])
def test_plan_after_an_event_does_not_match_all_waiting_steps_with_all_workers(
    monkeypatch, safeguard
):
    """Guards against a leader that is too busy with plans to send its heartbeats in time.

    A full plan after every event took most of the leader's processor time at 270 workers and 441
    plans a second. On an instance with an eighth of a core its heartbeats were late, it was
    replaced, and the same happened to its successor. Here, jobs arrive while thirty others wait for
    thirty full workers.
    """
    if not safeguard:
        monkeypatch.setattr(_placement, "FULL_PLAN_INTERVAL_S", 0.0)
    scheduler = make_cell(30)
    fill_workers(scheduler, 30)
    checked = []
    original = _placement._is_eligible
    monkeypatch.setattr(
        _placement, "_is_eligible", lambda *args: checked.append(args) or original(*args)
    )
    for number in range(10):
        submit(scheduler, f"{900 + number:016x}", LAST, LARGE, 0.01)
    assert (len(checked) <= 10 * 30) is safeguard


def test_freed_capacity_is_used_by_the_next_plan():
    """Guards against a job that waits for the next full plan, after a task ended between two."""
    scheduler = make_cell(3)
    starts = fill_workers(scheduler, 1)
    assert scheduler.plan(0.0, 0.0) == []
    report_end(scheduler, starts[0], 0.01)
    [started] = plan_starts(scheduler, 0.01)
    assert started.worker_id == starts[0].worker_id


def test_freed_capacity_goes_to_the_most_urgent_job():
    """Guards against serving waiting jobs in the order of arrival: the urgent job arrives last."""
    scheduler = make_cell(2)
    starts = fill_workers(scheduler, 0)
    submit(scheduler, "00000000000000c1", LAST, LARGE, 0.0)
    submit(scheduler, "00000000000000c2", FIRST, LARGE, 0.0)
    report_end(scheduler, starts[0], 0.01)
    [started] = plan_starts(scheduler, 0.01)
    assert started.task.startswith("00000000000000c2")


def test_reservation_of_a_worker_holds_between_full_plans():
    """Guards against a small task that takes a worker reserved for a large urgent one.

    The small task would run for a long time, and the large one would have to wait again.
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


def test_worker_that_becomes_reachable_is_used_by_the_next_plan():
    """Guards against a job that waits for the next full plan, after its worker responded again."""
    scheduler = make_cell(1)
    scheduler.worker_unreachable("w0", 0.0)
    assert submit(scheduler, "00000000000000e1", FIRST, LARGE, 0.0) == []
    scheduler.report("w0", make_report(), requested_at=0.01, now=0.01)
    assert len(plan_starts(scheduler, 0.01)) == 1


def test_due_occurrence_is_planned_by_the_periodic_check_that_finds_it():
    """An occurrence of a timed job begins within one period of the checks after its due time."""
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


def test_plan_decides_no_more_starts_than_wanted():
    """Guards against starts decided long before they can be sent: they occupy free capacity."""
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


def test_long_running_task_waits_behind_urgent_jobs_only_for_a_limited_time():
    """Guards against users without service for as long as a burst of more urgent jobs lasts."""
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
