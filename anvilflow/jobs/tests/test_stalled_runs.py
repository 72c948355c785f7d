"""Detection of stalled and slow runs by their progress, and runs that must be left alone."""

import pytest

from anvilflow.jobs import (
    JobSpec,
    RunEnd,
    RunReport,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
    _stalled_runs,
)

from .test_scheduler import (
    QUEUE,
    add_job,
    confirm_started,
    make_report,
    make_run_report,
    make_scheduler,
)


def report_all(scheduler, percents, now, *, clock_s=None):
    """Report the progress of each run, then plan; return all actions."""
    actions = []
    for start, percent in percents:
        report = make_report(
            [make_run_report(start, percent)], clock_s=now if clock_s is None else clock_s
        )
        actions += scheduler.report(start.worker_id, report, requested_at=now, now=now)
    return actions + scheduler.plan(now, now)


def stop_reasons(actions):
    """Return the reasons of the stops among some actions."""
    return [action.why for action in actions if isinstance(action, StopRun)]


def make_step(**values):
    """Return a step of three short tasks, at most one on each worker."""
    return StepSpec(n_tasks=3, cpu_milli=1000, estimate_s=1.0, max_per_worker=1, **values)


def test_stalled_run_is_stopped_at_the_first_report_without_progress():
    """Guards against detecting a stalled run too late on a worker that reports good health.

    Workers report every half second. With a limit of 1.4 s without progress, a task of 0.8 s was
    done 2.2 s after the stall began at the earliest.
    """
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    assert report_all(scheduler, [(start, 20)], 0.2) == []
    assert stop_reasons(report_all(scheduler, [(start, 20)], 0.85)) == ["stands still"]


def test_run_is_not_stalled_when_only_its_report_was_delayed():
    """Guards against judging progress by when reports arrive.

    A link loses packets: two reports made 0.01 s apart arrive more than a second apart.
    """
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    assert report_all(scheduler, [(start, 20)], 0.2, clock_s=0.20) == []
    assert report_all(scheduler, [(start, 20)], 1.3, clock_s=0.21) == []


def test_run_on_a_worker_that_became_slow_is_replaced_at_once():
    """Guards against comparing a run only with its estimate.

    One of three workers is six times as slow; the tasks on the others are nearly done after 0.75 s.
    With the estimate alone, the run stayed on the slow worker for 2.2 s, and the job was late.
    """
    scheduler = make_scheduler(n_workers=4)
    starts = add_job(scheduler, make_step())
    confirm_started(scheduler, starts, 0.0)
    slow, *others = starts
    actions = report_all(scheduler, [(slow, 9), *((s, 60) for s in others)], 0.6)
    assert stop_reasons(actions) == ["slow"]
    restarts = [a for a in scheduler.plan(1.0, 1.0) if isinstance(a, StartRun)]
    assert slow.worker_id not in {start.worker_id for start in restarts}


@pytest.mark.parametrize("percent", [25, 35, 90])
def test_run_that_is_only_a_little_slower_is_not_stopped(percent):
    """Guards against stopping a longer task on a slower but healthy worker."""
    scheduler = make_scheduler(n_workers=4)
    starts = add_job(scheduler, make_step())
    confirm_started(scheduler, starts, 0.0)
    slow, *others = starts
    assert report_all(scheduler, [(slow, percent), *((s, 60) for s in others)], 0.6) == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_resumed_run_that_reads_its_checkpoint_is_not_stalled(monkeypatch, safeguard):
    """Guards against stopping a resumed run, which reports no progress for 0.6 s.

    It would be stopped after each resumption and never end.
    """
    if not safeguard:
        monkeypatch.setattr(_stalled_runs, "RESTORE_S", 0.0)
    scheduler = make_scheduler()
    step = StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=2.0, checkpointing=True)
    scheduler.worker_unreachable("w0", 0.0)
    [start] = add_job(scheduler, step)
    _, task = scheduler.find_task(start.task)
    run = task.runs[start.worker_id]
    run.resumes = True
    confirm_started(scheduler, [start], 0.0)
    assert report_all(scheduler, [(start, 40)], 0.05) == []
    stopped = stop_reasons(report_all(scheduler, [(start, 40)], 0.68))
    assert (stopped == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_that_stalls_on_every_worker_gets_more_time_each_time(monkeypatch, safeguard):
    """Guards against endless restarts of a task that stalls at 30 percent wherever it runs.

    The time allowed doubles with each run, which limits the starts to four in 20 s instead of 30.
    """
    scheduler = make_scheduler(n_workers=40)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    _, task = scheduler.find_task(start.task)
    n_starts, now = 1, 0.0
    confirm_started(scheduler, [start], 0.0)
    while now < 20.0:
        now += 0.25
        actions = report_all(scheduler, [(start, 30)], now)
        if not safeguard:
            task.n_stalled_runs = 0
        if stop_reasons(actions):
            scheduler.stop_answered(start.worker_id, start.task, start.run_id, now)
            report = make_report(clock_s=now + 0.1)
            scheduler.report(start.worker_id, report, requested_at=now + 0.1, now=now + 0.1)
            actions = scheduler.plan(now + 0.2, now + 0.2)
        for action in actions:
            if isinstance(action, StartRun):
                start = action
                n_starts += 1
                confirm_started(scheduler, [start], now + 0.2)
    assert (n_starts <= 6) is safeguard


def test_checks_for_stalled_runs_are_limited_in_rate():
    """Guards against a check of all runs in each plan, of which one follows each event.

    The check is made at most ten times a second.
    """
    scheduler = make_scheduler()
    assert isinstance(scheduler, Scheduler)
    lookups = []
    scheduler.find_task = lambda name: lookups.append(name) or (None, None)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    scheduler.workers[start.worker_id].runs[start.task].state = "running"
    lookups.clear()
    for number in range(100):
        scheduler.plan(1.0 + number * 0.01, 1.0)
    assert len(lookups) <= 11


@pytest.mark.parametrize("kind", ["taken on", "resumed"])
def test_remainder_of_a_run_does_not_count_as_the_duration_of_its_task(kind):
    """Guards against comparing runs with the remainder of a run that was adopted or resumed.

    A leader adopts runs that are nearly done, and some of them end after 0.1 s. When that counted
    as their duration, all other runs of the step seemed slow after each change of leaders and were
    stopped again and again.
    """
    scheduler = make_scheduler(n_workers=5)
    step = StepSpec(n_tasks=5, cpu_milli=1000, estimate_s=4.0, max_per_worker=1)
    starts = add_job(scheduler, step)
    confirm_started(scheduler, starts, 0.0)
    *ended, first, second = starts
    for start in ended:
        run = scheduler.find_task(start.task)[1].runs[start.worker_id]
        run.is_full_run = False
        run.resumes = kind == "resumed"
        end = RunEnd(number=1, task=start.task, run_id=1, how="done", checkpoint="")
        scheduler.report(start.worker_id, make_report(ended=[end]), requested_at=0.1, now=0.1)
    assert report_all(scheduler, [(first, 5), (second, 5)], 0.3) == []
    assert report_all(scheduler, [(first, 12), (second, 12)], 0.7) == []


def test_adopted_or_resumed_run_is_not_a_full_run():
    """Guards against taking an adopted or resumed run for the whole duration of its task."""
    scheduler = make_scheduler()
    spec = JobSpec(
        job_id="00000000000000a1", queue="q", payload="", steps=(StepSpec(n_tasks=2, cpu_milli=1),)
    )
    scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    listed = RunReport(task="00000000000000a1.0.0.0", run_id=1, checkpoint="", percent=90, load=0.0)
    scheduler.report("w0", make_report([listed]), requested_at=0.1, now=0.1)
    _, task = scheduler.find_task("00000000000000a1.0.0.1")
    task.checkpoint = "c"
    scheduler.plan(0.2, 0.2)
    runs = [run for worker in scheduler.workers.values() for run in worker.runs.values()]
    assert [run.is_full_run for run in runs] == [False, False]
    assert len(runs) == 2


def test_back_off_of_a_worker_with_very_many_failures_is_bounded():
    """Guards against an overflow of the back-off, which doubles with each failure.

    A worker fails some 1,100 tasks in a row. The power of two exceeded the range of a float, and
    the leader ended with an OverflowError at the next failure, as did each later leader that
    counted as many.
    """
    scheduler = make_scheduler(n_workers=1)
    worker = scheduler.workers["w0"]
    for _ in range(1_100):
        scheduler._note_worker_failure(worker, 0.0)
    assert worker.retry_at == 8.0
