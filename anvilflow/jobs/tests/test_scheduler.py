"""Decisions about sick workers, shares of speed and copies, without any network."""

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
    """Return a worker of ten cores."""
    kept = {
        "worker_id": f"w{number}",
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
    """Return a scheduler whose workers have all answered."""
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
    """Submit a job; return the starts that follow."""
    spec = JobSpec(job_id=job_id, queue="q", payload="", steps=steps)
    scheduler.add_job(spec, QUEUE, version=1, now=now, wall_now=now)
    return [action for action in scheduler.plan(now, now) if isinstance(action, StartRun)]


def confirm_started(scheduler, starts, now):
    """Let workers say that they have started."""
    for start in starts:
        scheduler.start_answered(start.worker_id, start.task, start.run_id, "started", now)


def make_run_report(start, percent, load=0.0):
    """Return the report of a run in progress."""
    return RunReport(
        task=start.task, run_id=start.run_id, checkpoint="", percent=percent, load=load
    )


def report_progress(scheduler, start, percents, *, period=0.5, load=0.0):
    """Report a run's progress at a fixed period; return all that is decided meanwhile."""
    actions = []
    for number, percent in enumerate(percents, start=1):
        now = number * period
        report = make_report([make_run_report(start, percent, load)], clock_s=now)
        actions += scheduler.report(start.worker_id, report, requested_at=now, now=now)
        actions += scheduler.plan(now, now)
    return actions


def test_run_that_stands_still_is_stopped_and_its_worker_rests():
    """A worker with good health hangs: the run's progress stays at 30 percent."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    actions = report_progress(scheduler, start, [30, 30, 30, 30, 30])
    assert [action.why for action in actions if isinstance(action, StopRun)] == ["stands still"]
    assert scheduler.workers[start.worker_id].n_bad >= 1


def test_run_that_makes_progress_is_left_alone():
    """The run takes twice its estimate, as sound ones may."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, estimate_s=1.0))
    confirm_started(scheduler, [start], 0.0)
    assert report_progress(scheduler, start, [25, 50, 75, 99]) == []


def test_run_on_a_slow_worker_is_made_again_elsewhere():
    """After three times its estimate a run is at a tenth: stopping it is the shorter way.

    A run of the same step has long ended, so that it is the worker which is slow.
    """
    scheduler = make_scheduler()
    step = StepSpec(n_tasks=2, cpu_milli=1000, estimate_s=1.0, max_per_worker=1)
    [start, other] = add_job(scheduler, step)
    confirm_started(scheduler, [start, other], 0.0)
    end = RunEnd(number=1, task=other.task, run_id=1, how="done", checkpoint="")
    scheduler.report(other.worker_id, make_report(ended=[end]), requested_at=0.9, now=0.9)
    actions = report_progress(scheduler, start, [2, 4, 6, 8, 10, 12])
    assert [action.why for action in actions if isinstance(action, StopRun)] == ["slow"]


def test_job_far_larger_than_its_estimate_is_left_alone():
    """All its runs crawl, on every worker: to start them again would waste what is done."""
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


def test_step_that_allows_copies_gets_one_beside_the_run_that_stands_still():
    """The first copy to finish counts; the other is stopped."""
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


def test_long_running_tasks_are_not_judged_by_progress():
    """A task that serves stays at 100 percent for as long as it runs."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True))
    confirm_started(scheduler, [start], 0.0)
    assert report_progress(scheduler, start, [100] * 20) == []


def test_worker_that_fails_everything_gets_less_and_less_work():
    """Two ends in a row that failed: the worker rests, and for longer after each further one."""
    scheduler = make_scheduler(n_workers=1)
    worker = scheduler.workers["w0"]
    rests = []
    for number in range(1, 5):
        job_id = f"00000000000000b{number}"
        now = number * 20.0
        [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=now, job_id=job_id)
        end = RunEnd(
            number=number, task=start.task, run_id=start.run_id, how="failed", checkpoint=""
        )
        scheduler.report("w0", make_report(ended=[end]), requested_at=now, now=now)
        rests.append(max(0.0, worker.retry_at - now))
        scheduler.cancel_job(job_id, now)
    assert rests == [0.0, 0.5, 1.0, 2.0]


@pytest.mark.parametrize("late", [True, False])
def test_what_fills_stands_still_while_users_beside_it_wait(late):
    """A serving task's tail is over its target: what fills on that worker is paced to nothing.

    When the tail has been calm for a while its speed comes back in steps.
    """
    scheduler = make_scheduler(n_workers=1)
    [serve] = add_job(
        scheduler, StepSpec(n_tasks=1, cpu_milli=1000, long_running=True, target_s=0.1)
    )
    [fill] = add_job(
        scheduler,
        StepSpec(n_tasks=1, cpu_milli=4000, fills=True, estimate_s=60.0),
        job_id="00000000000000a2",
    )
    confirm_started(scheduler, [serve, fill], 0.0)

    def report(now, tail_ms):
        active = [make_run_report(serve, 100, tail_ms), make_run_report(fill, 10)]
        actions = scheduler.report("w0", make_report(active), requested_at=now, now=now)
        return [action.percent for action in actions if isinstance(action, SetPace)]

    assert report(1.0, 150.0 if late else 80.0) == ([0] if late else [])
    assert report(1.5, 30.0) == []
    paces = [report(now, 30.0) for now in (3.0, 5.0, 7.0, 9.0)]
    assert paces == ([[25], [50], [100], []] if late else [[]] * 4)


def test_end_that_is_told_again_after_a_take_over_counts_once():
    """A worker tells the next leader of a failure that the record counts already."""
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
def test_run_that_cannot_end_before_its_worker_is_moved(left_s, percent, moved):
    """A worker says how long it stays. After a second the run is at `percent` of its way."""
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
    """It serves as long as it can, and is started elsewhere before its users would miss it."""
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


@pytest.mark.parametrize("connection_refused", [True, False])
def test_worker_that_left_when_it_said_so_is_not_waited_for(connection_refused):
    """Its time is over, its entry is gone and it refuses connections: what ran there has ended.

    One that only does not answer may have stayed longer: its tasks wait for the lease.
    """
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    number = int(start.worker_id[1:])
    scheduler.workers[start.worker_id].lease_over_at = 99.0
    scheduler.worker_listed(make_worker_info(number, draining=True, leaves_in_s=2.0), 1.0)
    scheduler.worker_unreachable(start.worker_id, 0.0)
    scheduler.worker_unreachable(start.worker_id, 2.0, connection_refused=connection_refused)
    scheduler.worker_unlisted(start.worker_id)
    assert scheduler.plan(2.9, 2.9) == []
    if not connection_refused:
        assert scheduler.plan(98.9, 98.9) == []
    [again] = scheduler.plan(3.1 if connection_refused else 99.1, 99.1)
    assert again.worker_id != start.worker_id


def test_worker_that_answers_after_a_refused_connection_has_not_left():
    """It was started anew at its network, say; one more answer that is lost means nothing."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    number = int(start.worker_id[1:])
    scheduler.worker_listed(make_worker_info(number, draining=True, leaves_in_s=0.5), 0.0)
    scheduler.worker_unreachable(start.worker_id, 0.6, connection_refused=True)
    scheduler.report(
        start.worker_id, make_report([make_run_report(start, 10)]), requested_at=0.7, now=0.7
    )
    scheduler.worker_unlisted(start.worker_id)
    scheduler.workers[start.worker_id].lease_over_at = 99.0
    assert scheduler.plan(1.0, 1.0) == []


def test_failures_that_are_told_in_another_order_all_count():
    """A worker falls silent, its task fails elsewhere, and then it comes back with a failure, too.

    Counted by the highest run alone the older failure would be overlooked, and the task would be
    started once more than allowed.
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
def test_run_that_a_full_report_leaves_out_is_not_started_again(n_ends):
    """After a long outage a worker has more ends to tell of than fit into one report.

    A run that is neither running nor among them may have ended as done: only a report with room
    left says that it is gone.
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


def test_ended_job_is_not_taken_on_again_however_many_have_ended_since():
    """The store's history is gone, and the leader reads the rows of all jobs anew.

    They stay for minutes after their jobs' ends. A leader that remembered only the last 2,000 ends
    took the older rows for new jobs and ran them a second time.
    """
    scheduler = make_scheduler()
    for number in range(3000):
        scheduler.drop_job(f"{number:016x}", JobState.COMPLETED, 0.0)
    step = StepSpec(n_tasks=1, cpu_milli=1000)
    assert add_job(scheduler, step, job_id=f"{0:016x}") == []


def test_memory_of_ended_jobs_goes_with_their_rows():
    """What is remembered is bounded by the time for which rows are kept."""
    scheduler = make_scheduler()
    scheduler.drop_job("00000000000000a1", JobState.COMPLETED, 0.0)
    scheduler.drop_ended_job("00000000000000a1")
    assert scheduler.ended == {}


@pytest.mark.parametrize("safeguard", [True, False])
def test_plans_do_not_look_at_jobs_of_which_nothing_waits(monkeypatch, safeguard):
    """A hundred jobs run; one more event follows, and with it a plan.

    Looked at again after each event, the running tasks of a large cell took most of the leader's
    processor, and every lookup waited for it.
    """
    if not safeguard:
        monkeypatch.setattr(JobRun, "suspend_if_idle", lambda self: None)
    scheduler = make_scheduler(n_workers=20)
    for number in range(100):
        step = StepSpec(n_tasks=1, cpu_milli=100)
        confirm_started(scheduler, add_job(scheduler, step, job_id=f"{number:016x}"), 0.0)
    looked = []
    original = StepRun.waiting
    monkeypatch.setattr(StepRun, "waiting", lambda self: looked.append(self) or original(self))
    scheduler.plan(0.2, 0.2)
    assert (len(looked) <= 1) is safeguard


def test_job_that_rests_is_planned_again_when_a_task_of_it_waits():
    """A task fails while its job rests: it is started once more."""
    scheduler = make_scheduler()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    confirm_started(scheduler, [start], 0.0)
    assert scheduler.plan(0.01, 0.01) == []
    end = RunEnd(number=1, task=start.task, run_id=1, how="failed", checkpoint="")
    scheduler.report(start.worker_id, make_report(ended=[end]), requested_at=0.5, now=0.5)
    [again] = scheduler.plan(0.5, 0.5)
    assert again.run_id == 2


def test_end_of_a_task_waits_for_the_record_of_its_jobs_cancelling():
    """A job is cancelled while the store is away; one of its tasks is done before it is stopped.

    Then the leader goes. Nobody else knows of the cancelling, and the worker had been told to
    forget the end: the next leader ran the task a second time. The end stays with the worker until
    the job's own end is durable.
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
def test_rest_of_a_gang_is_stopped_when_one_member_is_not_started(outcome):
    """The others waited at work for the missing one until they ended alone."""
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
