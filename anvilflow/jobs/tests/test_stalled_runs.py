"""How soon sick workers are seen by the progress of their runs, and what is left alone."""

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
    """Let each worker report its runs' progress, then plan; return what is decided."""
    actions = []
    for start, percent in percents:
        report = make_report(
            [make_run_report(start, percent)], clock_s=now if clock_s is None else clock_s
        )
        actions += scheduler.report(start.worker_id, report, requested_at=now, now=now)
    return actions + scheduler.plan(now, now)


def stops(actions):
    """Return why runs were stopped."""
    return [action.why for action in actions if isinstance(action, StopRun)]


def make_step(**values):
    """Return a step of three quick tasks, each on a worker of its own."""
    return StepSpec(n_tasks=3, cpu_milli=1000, estimate_s=1.0, max_per_worker=1, **values)


def test_hung_run_is_stopped_by_the_second_report_without_progress():
    """A worker hangs while its health is good; a clerk waits for its only task.

    Workers report each half second. Waiting for 1.4 s without progress, a quick lookup of 0.8 s
    was answered 2.2 s after the hang began at the earliest.
    """
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    assert report_all(scheduler, [(start, 20)], 0.2) == []
    assert stops(report_all(scheduler, [(start, 20)], 0.85)) == ["stands still"]


def test_report_that_was_late_on_the_way_says_nothing_of_the_run():
    """A link loses packets: two reports of neighbouring moments arrive a second apart."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    assert report_all(scheduler, [(start, 20)], 0.2, clock_s=0.20) == []
    assert report_all(scheduler, [(start, 20)], 1.3, clock_s=0.21) == []


def test_run_on_a_worker_that_turned_slow_is_made_again_at_once():
    """One of three workers is six times as slow; its siblings are nearly done after 0.75 s.

    Judged by its estimate alone the run was left where it is for 2.2 s, and the job was late.
    """
    scheduler = make_scheduler(n_workers=4)
    starts = add_job(scheduler, make_step())
    confirm_started(scheduler, starts, 0.0)
    slow, *others = starts
    actions = report_all(scheduler, [(slow, 9), *((s, 60) for s in others)], 0.6)
    assert stops(actions) == ["slow"]
    end_of_stop = [a for a in scheduler.plan(1.0, 1.0) if isinstance(a, StartRun)]
    assert slow.worker_id not in {start.worker_id for start in end_of_stop}


@pytest.mark.parametrize("percent", [25, 35, 90])
def test_run_that_is_a_little_slower_is_left_alone(percent):
    """What a sound worker of the slower kind does with a task of the longer kind."""
    scheduler = make_scheduler(n_workers=4)
    starts = add_job(scheduler, make_step())
    confirm_started(scheduler, starts, 0.0)
    slow, *others = starts
    assert report_all(scheduler, [(slow, percent), *((s, 60) for s in others)], 0.6) == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_resumed_run_that_reads_its_checkpoint_does_not_stand_still(monkeypatch, safeguard):
    """A run that was moved shows no progress for 0.6 s; stopped for it, it would never end."""
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
    stopped = stops(report_all(scheduler, [(start, 40)], 0.68))
    assert (stopped == []) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_task_that_stands_still_everywhere_is_tried_ever_longer(monkeypatch, safeguard):
    """A job's own work stands still at 30 percent, wherever it runs.

    Each time it is given twice as long, so that it costs the cell four starts in 20 s, not 30.
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
        if stops(actions):
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


def test_looks_for_sick_runs_are_bounded():
    """A plan follows each event; the look at all runs happens ten times a second at the most."""
    scheduler = make_scheduler()
    assert isinstance(scheduler, Scheduler)
    looks = []
    scheduler.find_task = lambda name: looks.append(name) or (None, None)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    scheduler.workers[start.worker_id].runs[start.task].state = "running"
    looks.clear()
    for number in range(100):
        scheduler.plan(1.0 + number * 0.01, 1.0)
    assert len(looks) <= 11


@pytest.mark.parametrize("kind", ["taken on", "resumed"])
def test_what_is_left_of_a_run_is_not_taken_for_a_whole_one(kind):
    """A leader takes runs on that are nearly done, and one of them ends a moment later.

    Its length here, 0.1 s, is no measure for its siblings. Taken for one, it made all of them look
    slow after each change of leaders, and they were stopped again and again.
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


def test_run_that_is_taken_on_or_resumes_is_no_whole_one():
    """Only a run that this leader started from nothing has its whole length measured."""
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


def test_worker_that_fails_for_very_long_goes_on_resting():
    """A worker fails all that it is given, some 1,100 tasks in a row.

    Its rest is doubled each time; the power outgrew a float, and the leader ended with an
    OverflowError at the next end, as did each one after it that saw as many.
    """
    scheduler = make_scheduler(n_workers=1)
    worker = scheduler.workers["w0"]
    for _ in range(1_100):
        scheduler._note_worker_failure(worker, 0.0)
    assert worker.retry_at == 8.0
