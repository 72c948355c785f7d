"""Decisions of the scheduler on stalled runs, pacing, copies, leaving workers and ended jobs."""

import pytest

from anvilflow.jobs import (
    CellConfig,
    JobRun,
    JobSpec,
    JobState,
    Queue,
    RunEnd,
    RunReport,
    Scheduler,
    SetPace,
    StartRun,
    StepSpec,
    StopRun,
    WorkerInfo,
    WorkerReport,
)
from anvilflow.jobs._job import StepRun

QUEUE = Queue(name="q", host="h", prefix="/q/", service="s", max_attempts=3, stretch=2.0)


def make_worker_info(number, **values):
    """Return the registration of a worker with ten cores."""
    kept = {
        "registry_id": f"w{number}",
        "address": f"w{number}:1",
        "service": "s",
        "failure_domain": "z",
        "kind": "a",
        "rack": "r1",
        "labels": ("a", "r1"),
        "cpu_milli": 10_000,
        "memory_mb": 10_000,
        "accelerators": 0,
    }
    return WorkerInfo(**{**kept, **values})


def make_scheduler(n_workers=2, **values):
    """Return a scheduler whose workers have all reported."""
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    scheduler.configure(CellConfig(version=1, queues=(QUEUE,)))
    for number in range(n_workers):
        scheduler.worker_listed(make_worker_info(number, **values), 0.0)
        scheduler.report(f"w{number}", make_report(), requested_at=0.0, now=0.0)
    return scheduler


def make_report(active=(), ended=(), clock_s=0.0):
    """Return a worker's report."""
    return WorkerReport(clock_s=clock_s, active=tuple(active), ended=tuple(ended))


def add_job(scheduler, *steps, now=0.0, job_id="00000000000000a1"):
    """Add a job and plan; return the starts."""
    spec = JobSpec(job_id=job_id, queue="q", payload="", steps=steps)
    scheduler.add_job(spec, QUEUE, version=1, now=now, wall_now=now)
    return [action for action in scheduler.plan(now, now) if isinstance(action, StartRun)]


def confirm_started(scheduler, starts, now):
    """Confirm starts on behalf of their workers."""
    for start in starts:
        scheduler.start_answered(start.worker_id, start.task, start.run_id, "started", now)


def make_run_report(start, percent, load=0.0):
    """Return the report of a run in progress, at `percent` of its work."""
    return RunReport(
        task=start.task, run_id=start.run_id, checkpoint="", percent=percent, load=load
    )


def report_progress(scheduler, start, percents, *, period=0.5, load=0.0):
    """Report a run's progress at a fixed period, planning after each report; return all actions."""
    actions = []
    for number, percent in enumerate(percents, start=1):
        now = number * period
        report = make_report([make_run_report(start, percent, load)], clock_s=now)
        actions += scheduler.report(start.worker_id, report, requested_at=now, now=now)
        actions += scheduler.plan(now, now)
    return actions


def test_stalled_run_is_stopped_and_counts_against_its_worker():
    """Guards against a worker that hangs but reports good health: progress stays at 30 percent."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    actions = report_progress(scheduler, start, [30, 30, 30, 30, 30])
    assert [action.why for action in actions if isinstance(action, StopRun)] == ["stands still"]
    assert scheduler.workers[start.worker_id].n_consecutive_failures >= 1


def test_run_that_takes_twice_its_estimate_is_not_stopped():
    """Guards against stopping healthy runs, which may take twice their estimated duration."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    assert report_progress(scheduler, start, [25, 50, 75, 99]) == []


def test_run_on_a_slow_worker_is_stopped():
    """Guards against leaving a run on a slow worker when a new run would end earlier.

    After three times its estimate the run has done a tenth of its work. Another run of the step has
    long ended, which shows that the worker is slow rather than the step.
    """
    scheduler = make_scheduler()
    step = StepSpec(n_tasks=2, cpu_milli=1000, estimate_s=1.0, max_per_worker=1)
    [start, other] = add_job(scheduler, step)
    confirm_started(scheduler, [start, other], 0.0)
    end = RunEnd(number=1, task=other.task, run_id=1, how="done", checkpoint="")
    scheduler.report(other.worker_id, make_report(ended=[end]), requested_at=0.9, now=0.9)
    actions = report_progress(scheduler, start, [2, 4, 6, 8, 10, 12])
    assert [action.why for action in actions if isinstance(action, StopRun)] == ["slow"]


def test_runs_of_a_job_far_larger_than_its_estimate_are_not_stopped():
    """Guards against restarting runs that are slow on every worker, which wastes their work."""
    scheduler = make_scheduler()
    step = StepSpec(n_tasks=2, cpu_milli=1000, estimate_s=1.0, max_per_worker=1)
    starts = add_job(scheduler, step)
    confirm_started(scheduler, starts, 0.0)
    for number in range(1, 12):
        now = number * 0.5
        for start in starts:
            report = make_report([make_run_report(start, 2 * number)], clock_s=now)
            scheduler.report(start.worker_id, report, requested_at=now, now=now)
        assert scheduler.plan(now, now) == []


def test_speculative_step_gets_a_copy_beside_a_stalled_run():
    """The run that finishes first counts, and the other one is stopped."""
    scheduler = make_scheduler()
    step = StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0, speculative=True)
    [start] = add_job(scheduler, step)
    confirm_started(scheduler, [start], 0.0)
    actions = report_progress(scheduler, start, [30, 30, 30, 30])
    [copy] = [action for action in actions if isinstance(action, StartRun)]
    assert copy.worker_id != start.worker_id
    assert not [action for action in actions if isinstance(action, StopRun)]
    end = RunEnd(number=1, task=copy.task, run_id=copy.run_id, how="done", checkpoint="")
    stops = scheduler.report(copy.worker_id, make_report(ended=[end]), requested_at=3.0, now=3.0)
    assert [stop.worker_id for stop in stops] == [start.worker_id]


def test_long_running_task_without_progress_is_not_stopped():
    """Guards against stopping serving tasks, which report 100 percent for as long as they run."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True))
    confirm_started(scheduler, [start], 0.0)
    assert report_progress(scheduler, start, [100] * 20) == []


def test_backoff_of_a_worker_doubles_with_each_further_failure():
    """The back-off begins after two failed runs in a row, for a worker that fails every run."""
    scheduler = make_scheduler(n_workers=1)
    worker = scheduler.workers["w0"]
    backoffs = []
    for number in range(1, 5):
        job_id = f"00000000000000b{number}"
        now = number * 20.0
        [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=now, job_id=job_id)
        end = RunEnd(
            number=number, task=start.task, run_id=start.run_id, how="failed", checkpoint=""
        )
        scheduler.report("w0", make_report(ended=[end]), requested_at=now, now=now)
        backoffs.append(max(0.0, worker.retry_at - now))
        scheduler.cancel_job(job_id, now)
    assert backoffs == [0.0, 0.5, 1.0, 2.0]


@pytest.mark.parametrize("late", [True, False])
def test_background_task_is_paused_while_a_serving_task_exceeds_its_target(late):
    """Guards against background tasks that delay the users of a serving task on the same worker.

    When the tail latency of the serving task exceeds its target, the background task is paced to 0
    percent. Once the latency has been below the target for a while, its speed returns in steps.
    """
    scheduler = make_scheduler(n_workers=1)
    [serve] = add_job(
        scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True, target_s=0.1)
    )
    [background] = add_job(
        scheduler,
        StepSpec(n_tasks=1, cpu_milli=4000, fills=True, estimate_s=60.0),
        job_id="00000000000000a2",
    )
    confirm_started(scheduler, [serve, background], 0.0)

    def report(now, tail_ms):
        active = [make_run_report(serve, 100, tail_ms), make_run_report(background, 10)]
        actions = scheduler.report("w0", make_report(active), requested_at=now, now=now)
        return [action.percent for action in actions if isinstance(action, SetPace)]

    assert report(1.0, 150.0 if late else 80.0) == ([0] if late else [])
    assert report(1.5, 30.0) == []
    paces = [report(now, 30.0) for now in (3.0, 5.0, 7.0, 9.0)]
    assert paces == ([[25], [50], [100], []] if late else [[]] * 4)


def test_failure_reported_again_after_a_take_over_counts_once():
    """Guards against failing a job early when a worker reports a recorded failure once more."""
    from anvilflow.jobs import JobRecord

    scheduler = make_scheduler(n_workers=1)
    spec = JobSpec(
        job_id="00000000000000a1", queue="q", payload="", steps=(StepSpec(n_tasks=1, cpu_milli=1),)
    )
    record = JobRecord(begun=True, failures={"0.0.0": [1, 2]})
    scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0, record=record)
    task = "00000000000000a1.0.0.0"
    again = RunEnd(number=7, task=task, run_id=2, how="failed", checkpoint="")
    scheduler.report("w0", make_report(ended=[again]), requested_at=0.1, now=0.1)
    assert str(scheduler.state_of("00000000000000a1")) == "running"
    last = RunEnd(number=8, task=task, run_id=3, how="failed", checkpoint="")
    scheduler.report("w0", make_report(ended=[last]), requested_at=0.2, now=0.2)
    assert str(scheduler.jobs["00000000000000a1"].state) == "failed"


@pytest.mark.parametrize(
    ("left_s", "percent", "moved"),
    [(4.0, 10, True), (4.0, 60, False), (0.5, 60, True), (10.0, 10, False)],
)
def test_run_that_cannot_end_before_its_worker_leaves_is_moved(left_s, percent, moved):
    """A worker announces that it leaves in `left_s` when its run has done `percent` of its work."""
    scheduler = make_scheduler()
    step = StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=5.0, checkpointing=True)
    [start] = add_job(scheduler, step)
    confirm_started(scheduler, [start], 0.0)
    report = make_report([make_run_report(start, percent)], clock_s=1.0)
    scheduler.report(start.worker_id, report, requested_at=1.0, now=1.0)
    number = int(start.worker_id[1:])
    scheduler.worker_listed(make_worker_info(number, draining=True, leaves_in_s=left_s), 1.0)
    stops = [action.why for action in scheduler.plan(1.0, 1.0) if isinstance(action, StopRun)]
    assert stops == (["worker leaves"] if moved else [])


def test_long_running_task_is_moved_shortly_before_its_worker_leaves():
    """The task serves as long as possible and is restarted before its users lose the service."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True))
    confirm_started(scheduler, [start], 0.0)
    number = int(start.worker_id[1:])
    scheduler.worker_listed(make_worker_info(number, draining=True, leaves_in_s=4.0), 1.0)
    assert scheduler.plan(2.0, 2.0) == []
    [stop] = scheduler.plan(3.1, 3.1)
    assert stop.why == "worker leaves"
    end = RunEnd(number=1, task=start.task, run_id=1, how="stopped", checkpoint="")
    scheduler.report(start.worker_id, make_report(ended=[end]), requested_at=3.5, now=3.5)
    [again] = scheduler.plan(3.5, 3.5)
    assert again.worker_id != start.worker_id


def test_tasks_of_a_worker_that_seems_to_have_left_wait_for_its_lease():
    """Guards against second runs beside those of a worker that is still shutting down.

    The announced time is over, the registry entry removed, and calls to the worker fail.
    """
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    number = int(start.worker_id[1:])
    scheduler.workers[start.worker_id].lease_over_at = 99.0
    scheduler.worker_listed(make_worker_info(number, draining=True, leaves_in_s=2.0), 1.0)
    scheduler.worker_unreachable(start.worker_id, 0.0)
    scheduler.worker_unreachable(start.worker_id, 2.0)
    scheduler.worker_unlisted(start.worker_id)
    for now in (2.9, 3.1, 98.9):
        assert scheduler.plan(now, now) == []
    [again] = scheduler.plan(99.1, 99.1)
    assert again.worker_id != start.worker_id


def test_worker_that_answers_after_a_failed_call_keeps_its_tasks():
    """Guards against second runs of the tasks of a worker that runs past its announced time."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    number = int(start.worker_id[1:])
    scheduler.worker_listed(make_worker_info(number, draining=True, leaves_in_s=0.5), 0.0)
    scheduler.worker_unreachable(start.worker_id, 0.6)
    scheduler.report(
        start.worker_id, make_report([make_run_report(start, 10)]), requested_at=0.7, now=0.7
    )
    scheduler.worker_unlisted(start.worker_id)
    scheduler.workers[start.worker_id].lease_over_at = 99.0
    assert scheduler.plan(1.0, 1.0) == []


def test_failures_reported_out_of_order_all_count():
    """Guards against starting a task more often than allowed.

    A worker becomes unreachable, its task fails elsewhere, and then the worker reports a failure of
    the older run. Counting by the highest run number alone would miss that failure.
    """
    scheduler = make_scheduler(n_workers=2)
    [first] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [first], 0.0)
    scheduler.worker_unreachable(first.worker_id, 0.0)
    [second] = [action for action in scheduler.plan(9.0, 9.0) if isinstance(action, StartRun)]
    for start, now in ((second, 10.0), (first, 11.0)):
        end = RunEnd(number=1, task=start.task, run_id=start.run_id, how="failed", checkpoint="")
        scheduler.report(start.worker_id, make_report(ended=[end]), requested_at=now, now=now)
    _, task = scheduler.find_task(first.task)
    assert task.failed_runs == {1, 2}


@pytest.mark.parametrize("n_ends", [499, 500])
def test_task_whose_run_is_missing_from_a_full_report_is_not_restarted(n_ends):
    """Guards against running a completed task again, after an outage with more than 500 ends.

    One report holds at most 500 ends. A run that is missing from a full report may have ended as
    done; only a report with fewer ends shows that the run no longer exists.
    """
    scheduler = make_scheduler(n_workers=1)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    ends = [
        RunEnd(number=number, task="f" * 16 + ".0.0.0", run_id=1, how="done", checkpoint="")
        for number in range(1, n_ends + 1)
    ]
    scheduler.report("w0", make_report(ended=ends), requested_at=1.0, now=1.0)
    again = [action for action in scheduler.plan(1.0, 1.0) if isinstance(action, StartRun)]
    assert bool(again) is (n_ends < 500)


def test_ended_job_is_not_added_again_after_thousands_of_other_ends():
    """Guards against running ended jobs again when the leader reads the rows of all jobs again.

    The leader does so when the store's history is lost. Rows stay for minutes after the end of
    their jobs. A leader that kept only the last 2,000 ends treated the older rows as new jobs.
    """
    scheduler = make_scheduler()
    for number in range(3000):
        scheduler.drop_job(f"{number:016x}", JobState.COMPLETED, 0.0)
    step = StepSpec(n_tasks=1, cpu_milli=1000)
    assert add_job(scheduler, step, job_id=f"{0:016x}") == []


def test_ended_job_is_dropped_when_its_rows_are_deleted():
    """Guards against unbounded growth: ended jobs are kept no longer than their rows."""
    scheduler = make_scheduler()
    scheduler.drop_job("00000000000000a1", JobState.COMPLETED, 0.0)
    scheduler.drop_ended_job("00000000000000a1")
    assert scheduler.ended == {}


@pytest.mark.parametrize("safeguard", [True, False])
def test_plan_skips_jobs_without_waiting_tasks(monkeypatch, safeguard):
    """Guards against plans that check every running task, here those of a hundred jobs.

    Checking them after each event took most of the leader's processor time in a large cell and
    delayed every lookup.
    """
    if not safeguard:
        monkeypatch.setattr(JobRun, "suspend_if_idle", lambda self: None)
    scheduler = make_scheduler(n_workers=20)
    for number in range(100):
        step = StepSpec(n_tasks=1, cpu_milli=100)
        confirm_started(scheduler, add_job(scheduler, step, job_id=f"{number:016x}"), 0.0)
    checked = []
    original = StepRun.waiting
    monkeypatch.setattr(StepRun, "waiting", lambda self: checked.append(self) or original(self))
    scheduler.plan(0.2, 0.2)
    assert (len(checked) <= 1) is safeguard


def test_idle_job_is_planned_again_when_one_of_its_tasks_fails():
    """Guards against leaving a failed task waiting because its job was left out of plans."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    assert scheduler.plan(0.01, 0.01) == []
    end = RunEnd(number=1, task=start.task, run_id=1, how="failed", checkpoint="")
    scheduler.report(start.worker_id, make_report(ended=[end]), requested_at=0.5, now=0.5)
    [again] = scheduler.plan(0.5, 0.5)
    assert again.run_id == 2


def test_end_of_a_task_is_not_acknowledged_before_its_jobs_cancellation_is_durable():
    """Guards against the next leader running a task of a cancelled job a second time.

    The job is cancelled while the store is unavailable, one of its tasks is done before it is
    stopped, and the leader fails. No other instance has the cancellation, so that the worker must
    keep the task's end until the job's own end is durable.
    """
    scheduler = make_scheduler(n_workers=1)
    [start, other] = add_job(scheduler, StepSpec(n_tasks=2, cpu_milli=1000))
    confirm_started(scheduler, [start, other], 0.0)
    job_id = start.task.split(".")[0]
    scheduler.cancel_job(job_id, 0.5)
    end = RunEnd(number=1, task=start.task, run_id=1, how="done", checkpoint="")
    scheduler.report(
        "w0", make_report([make_run_report(other, 10)], [end]), requested_at=0.6, now=0.6
    )
    worker = scheduler.workers["w0"]
    assert scheduler.acknowledged(worker) == 0
    scheduler.recorded(job_id, scheduler.jobs[job_id].change, 0.7)
    assert scheduler.acknowledged(worker) == 1


@pytest.mark.parametrize("outcome", ["unknown", "room", "unreached"])
def test_other_members_of_a_gang_are_stopped_when_one_is_not_started(outcome):
    """Guards against members that run without the missing one until they end as ``alone``."""
    scheduler = make_scheduler(3)
    starts = add_job(scheduler, StepSpec(n_tasks=3, cpu_milli=6_000, gang=True))
    confirm_started(scheduler, starts[:2], 0.1)
    last = starts[2]
    actions = scheduler.start_answered(last.worker_id, last.task, last.run_id, outcome, 0.2)
    stopped = {action.task for action in actions if isinstance(action, StopRun)}
    assert stopped >= {start.task for start in starts[:2]}
    ends = [
        RunEnd(number=1, task=start.task, run_id=start.run_id, how="stopped", checkpoint="")
        for start in starts
    ]
    for start, end in zip(starts, ends, strict=True):
        report = make_report((), (end,) if start is not last or outcome == "unknown" else ())
        scheduler.report(start.worker_id, report, requested_at=0.5, now=0.5)
    again = [each for each in scheduler.plan(9.0, 9.0) if isinstance(each, StartRun)]
    assert {start.task for start in again} == {start.task for start in starts}
    assert {start.run_id for start in again} == {2}
