"""Tasks that crash their workers fail; other tasks on the same workers do not."""

import pytest

from anvilflow.standins import PlatformCell, make_platform_config

from ._helpers import JOB

OTHER_JOB = "00000000000000b2"

#: Maximum number of starts of a task after it has crashed three workers.
MAX_STARTS_AFTER = 2

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
    """Guards against restarting a crashing task without limit."""
    cell = _make_cell(refuses=refuses)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=CRASH)
    cell.advance(40.0)
    assert len(_crashes(cell)) == 2
    assert cell.state("a0", JOB) == "failed"


def test_task_that_crashes_its_worker_a_while_after_the_start_is_given_up():
    """Guards against counting only crashes right after the start."""
    cell = _make_cell()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=LATE_CRASH)
    cell.advance(40.0)
    assert len(_crashes(cell)) == 2
    assert cell.state("a0", JOB) == "failed"


@pytest.mark.parametrize("seconds", [5.0, 8.0])
def test_task_that_always_crashes_its_worker_late_is_given_up(seconds):
    """Guards against never attributing late crashes to their task."""
    cell = _make_cell()
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec=f"{seconds} crash 1000")
    cell.advance(150.0)
    assert _starts_after_third_crash(cell) <= MAX_STARTS_AFTER
    assert cell.state("a0", JOB) == "failed"


@pytest.mark.parametrize("kill_delay_s", [0.05, 1.0])
def test_crashes_are_counted_across_leaders(kill_delay_s):
    """Guards against losing the crash count when the leader fails after each crash."""
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
    assert _starts_after_third_crash(cell) <= MAX_STARTS_AFTER
    assert cell.state(next(iter(cell.daemons)), JOB) == "failed"


@pytest.mark.parametrize("step", [{"gang": True}, {"long-running": True}])
def test_member_that_crashes_its_worker_ends_its_job(step):
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


def test_suspect_is_not_started_while_the_store_is_away():
    """Guards against starts whose crashes cannot be recorded in the store."""
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


def test_good_jobs_beside_crashing_ones_are_done():
    """Guards against failing jobs whose tasks share workers with crashing tasks."""
    cell = _make_cell(n_workers=6)
    good_jobs = [f"{number:016x}" for number in range(16, 28)]
    for job_id in (JOB, OTHER_JOB):
        cell.submit("a0", job_id, {"count": 1, "cpu": 1000}, spec=CRASH)
    for job_id in good_jobs:
        cell.submit("a0", job_id, {"count": 2, "cpu": 2000}, spec="4.0 done 2000")
    cell.advance(60.0)
    assert [cell.state("a0", job_id) for job_id in good_jobs] == ["completed"] * 12
    assert len(_lost_runs(cell, JOB)) == len(_lost_runs(cell, OTHER_JOB)) == 2
    assert cell.state("a0", JOB) == cell.state("a0", OTHER_JOB) == "failed"
    assert cell.check() == []


@pytest.mark.parametrize("interval_s", [3.0, 4.0, 6.0])
def test_jobs_on_workers_that_crash_by_themselves_are_done(interval_s):
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


def test_worker_that_is_cut_off_is_no_crash():
    """Guards against counting a temporary loss of connection as a crash."""
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


def test_worker_that_drains_and_leaves_is_no_crash():
    """Guards against counting the removal of a drained worker as a crash."""
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


@pytest.mark.parametrize("shrunk", [6000, 1000])
def test_capacity_that_shrinks_binds_the_next_start(shrunk):
    """Guards against scheduling by the capacity that a worker had when it registered."""
    config = make_platform_config()
    cell = PlatformCell(n_workers=1, config=config)
    cell.start()
    cell.submit("a0", JOB, {"count": 4, "cpu": 1000}, spec="2.0 done 1000")
    cell.advance(0.5)
    cell.set_capacity("i-0", shrunk)
    cell.advance(0.5)
    cell.submit("a0", OTHER_JOB, {"count": 12, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(30.0)
    assert cell.check() == []
    assert cell.state("a0", OTHER_JOB) == "completed"


def test_capacity_that_grows_is_used_at_once():
    """Guards against tasks that wait although a worker's capacity was increased."""
    cell = PlatformCell(n_workers=1, cpu=2000)
    cell.start()
    cell.submit("a0", JOB, {"count": 12, "cpu": 1000}, spec="9.0 done 1000")
    cell.advance(0.5)
    cell.set_capacity("i-0", 16000)
    cell.advance(0.5)
    assert len(cell.spans) == 12
    assert cell.check() == []
