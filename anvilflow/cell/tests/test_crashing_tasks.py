"""Tasks that crash their workers fail; other tasks on the same workers do not."""

import pytest

from anvilflow.standins import PlatformCell, make_platform_config

from ._helpers import JOB

OTHER_JOB = "00000000000000b2"

#: Maximum number of starts of a task after it has crashed three workers.
MAX_STARTS_AFTER_THIRD_CRASH = 2

#: Payloads of tasks that crash their worker 10 ms and 1.5 s after the start.
CRASH = "0.01 crash 1000"
LATE_CRASH = "1.5 crash 1000"


def _make_cell(*, n_instances=3, n_workers=8, refuses=False):
    cell = PlatformCell(n_instances=n_instances, n_workers=n_workers)
    cell.refuses_after_crash = refuses
    cell.start()
    return cell


def _crashes(cell, job_id=JOB):
    return [
        span.began_at
        for span in cell.spans
        if span.how == "crash" and span.task.startswith(f"{job_id}.")
    ]


def _lost_runs(cell, job_id):
    """Return the runs of a job that were active on a worker when it crashed."""
    return [
        span
        for span in cell.spans
        if span.how in ("crash", "crashed") and span.task.startswith(f"{job_id}.")
    ]


def _starts_after_third_crash(cell):
    """Return the highest number of starts of any task after its third crash."""
    most = 0
    for task in {span.task for span in cell.spans}:
        runs = cell.runs_of(task)
        crashed_at = [span.ended_at for span in runs if span.how == "crash"]
        if len(crashed_at) >= 3:
            most = max(most, sum(span.began_at > crashed_at[2] for span in runs))
    return most


@pytest.mark.parametrize("refuses", [False, True])
def test_task_that_crashes_two_workers_is_not_started_a_third_time(refuses):
    """Guards against restarting without limit a task that crashes each worker after 10 ms."""
    cell = _make_cell(refuses=refuses)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=CRASH)
    cell.advance(40.0)
    assert len(_crashes(cell)) == 2
    assert cell.state("a0", JOB) == "failed"


def test_task_that_crashes_its_worker_soon_after_the_start_fails():
    """Guards against counting only crashes right after the start: this task crashes after 1.5 s."""
    cell = _make_cell()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=LATE_CRASH)
    cell.advance(40.0)
    assert len(_crashes(cell)) == 2
    assert cell.state("a0", JOB) == "failed"


@pytest.mark.parametrize("seconds", [5.0, 8.0])
def test_task_that_always_crashes_its_worker_late_fails(seconds):
    """Guards against never attributing to their task crashes that occur seconds after the start."""
    cell = _make_cell()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=f"{seconds} crash 1000")
    cell.advance(150.0)
    assert _starts_after_third_crash(cell) <= MAX_STARTS_AFTER_THIRD_CRASH
    assert cell.state("a0", JOB) == "failed"


@pytest.mark.parametrize("kill_delay_s", [0.05, 1.0])
def test_crashes_are_counted_across_leaders(kill_delay_s):
    """Guards against losing the crash count when the leader is killed after each crash."""
    cell = _make_cell(n_instances=5)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=CRASH)
    kill_at = None
    n_seen = 0
    for _ in range(12_000):
        cell.advance(0.005)
        now = cell.clock.seconds()
        if len(_crashes(cell)) > n_seen:
            n_seen = len(_crashes(cell))
            kill_at = now + kill_delay_s
        if kill_at is not None and now >= kill_at:
            kill_at = None
            leader = cell.leader()
            cell.kill(leader)
            cell.clock.callLater(1.0, cell.start_instance, leader)
    cell.advance(3.0)
    assert _starts_after_third_crash(cell) <= MAX_STARTS_AFTER_THIRD_CRASH
    assert cell.state(next(iter(cell.daemons)), JOB) == "failed"


@pytest.mark.parametrize("step", [{"gang": True}, {"long-running": True}])
def test_gang_or_long_running_task_that_crashes_its_worker_fails_its_job(step):
    """Guards against ignoring crashes of gang and long-running tasks."""
    cell = PlatformCell(
        n_workers=8,
        sizes=lambda task, _: (
            (0.01, "crash", 1000) if task.endswith(".2") else (60.0, "done", 1000)
        ),
    )
    cell.start()
    cell.submit("a0", JOB, {"count": 4, "cpu": 1000, **step})
    cell.advance(40.0)
    assert len(_crashes(cell)) == 2
    assert cell.state("a0", JOB) == "failed"


def test_suspect_task_is_not_started_while_the_store_is_unavailable():
    """Guards against restarting a suspect task while the store cannot record a further crash."""
    cell = _make_cell()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=CRASH)
    cell.advance(1.0)
    cell.store_faults.silent = True
    cell.advance(9.0)
    n_during_outage = len(_crashes(cell))
    cell.store_faults.clear()
    cell.advance(30.0)
    assert n_during_outage == 1
    assert len(_crashes(cell)) == 2
    assert cell.state("a0", JOB) == "failed"


def test_healthy_jobs_beside_crashing_jobs_complete():
    """Guards against failing healthy jobs whose tasks share workers with crashing tasks."""
    cell = _make_cell(n_workers=6)
    healthy_jobs = [f"{number:016x}" for number in range(16, 28)]
    for job_id in (JOB, OTHER_JOB):
        cell.submit("a0", job_id, {"count": 1, "cpu": 1000}, spec=CRASH)
    for job_id in healthy_jobs:
        cell.submit("a0", job_id, {"count": 2, "cpu": 2000}, spec="4.0 done 2000")
    cell.advance(60.0)
    assert [cell.state("a0", job_id) for job_id in healthy_jobs] == ["completed"] * 12
    assert len(_lost_runs(cell, JOB)) == len(_lost_runs(cell, OTHER_JOB)) == 2
    assert cell.state("a0", JOB) == cell.state("a0", OTHER_JOB) == "failed"
    assert cell.check() == []


@pytest.mark.parametrize("interval_s", [3.0, 4.0, 6.0])
def test_jobs_on_workers_that_crash_independently_complete(interval_s):
    """Guards against failing tasks for worker crashes that they did not cause."""
    cell = _make_cell(n_workers=6)
    jobs = [f"{number:016x}" for number in range(16, 22)]
    for job_id in jobs:
        cell.submit("a0", job_id, {"count": 1, "cpu": 8000}, spec="12.0 done 8000")
    for _ in range(3):
        cell.advance(interval_s)
        for worker_id in {span.worker for span in cell.spans if span.ended_at is None}:
            cell.crash_worker(worker_id)
    cell.advance(60.0)
    assert [cell.state("a0", job_id) for job_id in jobs] == ["completed"] * 6
    assert cell.check() == []


def test_cut_off_worker_is_not_counted_as_a_crash():
    """Guards against counting as a crash the time in which a worker is cut off and unregistered."""
    cell = _make_cell(n_workers=4)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="20.0 done 1000")
    for _ in range(3):
        cell.advance(0.3)
        [span] = [span for span in cell.spans if span.ended_at is None]
        cell.worker_faults[span.worker].silent = True
        cell.store.remove("servers", span.worker)
        cell.advance(7.0)
        cell.worker_faults[span.worker].clear()
        cell.store.put("servers", span.worker, cell.workers[span.worker].entry())
    cell.advance(30.0)
    assert cell.state("a0", JOB) == "completed"
    assert cell.check() == []


def test_drained_worker_that_stops_is_not_counted_as_a_crash():
    """Guards against counting it as a crash when a worker stops after it was set to draining."""
    cell = _make_cell(n_workers=4)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000, "long-running": True}, spec="99.0 done 1000")
    for _ in range(3):
        cell.advance(0.5)
        [span] = [span for span in cell.spans if span.ended_at is None]
        cell.store.put("servers", span.worker, cell.workers[span.worker].entry(state="draining"))
        cell.advance(1.0)
        cell.crash_worker(span.worker)
        cell.advance(5.0)
    assert cell.state("a0", JOB) == "running"


@pytest.mark.parametrize("reduced_cpu", [6000, 1000])
def test_reduced_capacity_limits_the_next_starts(reduced_cpu):
    """Guards against scheduling by the capacity of a worker at its registration."""
    config = make_platform_config()
    cell = PlatformCell(n_workers=1, config=config)
    cell.start()
    cell.submit("a0", JOB, {"count": 4, "cpu": 1000}, spec="2.0 done 1000")
    cell.advance(0.5)
    cell.set_capacity("i-0", reduced_cpu)
    cell.advance(0.5)
    cell.submit("a0", OTHER_JOB, {"count": 12, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(30.0)
    assert cell.check() == []
    assert cell.state("a0", OTHER_JOB) == "completed"


def test_increased_capacity_is_used_at_once():
    """Guards against leaving tasks waiting after the capacity of a worker was increased."""
    cell = PlatformCell(n_workers=1, cpu=2000)
    cell.start()
    cell.submit("a0", JOB, {"count": 12, "cpu": 1000}, spec="9.0 done 1000")
    cell.advance(0.5)
    cell.set_capacity("i-0", 16000)
    cell.advance(0.5)
    assert len(cell.spans) == 12
    assert cell.check() == []
