"""Completion, acknowledgement and restart of tasks that unanswered starts may run again."""

import pytest

from anvilflow.jobs import RunEnd, StepSpec, UnansweredStarts

from .test_scheduler import add_job, confirm_started, make_report, make_scheduler, make_worker_info

JOB_ID = "00000000000000a1"
TASK = f"{JOB_ID}.0.0.0"


def make_done(start, number=1):
    """Return the end of a run that is done."""
    return RunEnd(number=number, task=start.task, run_id=start.run_id, how="done", checkpoint="")


def report_done(scheduler, start, now):
    """Let a worker report that the run of a start has ended as done."""
    report = make_report(ended=[make_done(start)])
    return scheduler.report(start.worker_id, report, requested_at=now, now=now)


def record_all(scheduler, now):
    """Note that the progress of all jobs is durable."""
    for job in scheduler.dirty_jobs():
        scheduler.recorded(job.job_id, job.change, now)


def make_one_worker():
    """Return a scheduler with one worker, which states its start time."""
    scheduler = make_scheduler(0)
    info = make_worker_info(0, born_ms=5)
    scheduler.worker_listed(info, 0.0)
    scheduler.report(info.worker_id, make_report(), requested_at=0.0, now=0.0)
    return scheduler


def make_started(step):
    """Return a scheduler and the starts of a job, the first of which had an unanswered try."""
    scheduler = make_one_worker()
    starts = add_job(scheduler, step)
    scheduler.start_unanswered(starts[0].worker_id, starts[0].task, 0.0)
    confirm_started(scheduler, starts, 0.1)
    return scheduler, starts


def test_end_is_recorded_and_not_acknowledged_while_a_start_may_be_executed():
    """Guards against an end that is lost with the leader, and against one acknowledged early."""
    scheduler, [start] = make_started(StepSpec(n_tasks=1, cpu_milli=1000))
    report_done(scheduler, start, 0.5)
    [job] = scheduler.dirty_jobs()
    assert job.to_record().done_steps == ["0.0"]
    record_all(scheduler, 0.6)
    worker = scheduler.workers[start.worker_id]
    assert scheduler.acknowledged(worker) == 0
    assert scheduler.state_of(JOB_ID) == "running"
    scheduler.plan(12.1, 12.1)
    record_all(scheduler, 12.2)
    assert scheduler.acknowledged(worker) == 1
    assert scheduler.state_of(JOB_ID) == "completed"


def test_end_that_is_listed_again_is_not_acknowledged_by_the_next_leader():
    """Guards against an acknowledgement because the task is recorded as done already."""
    scheduler, [start] = make_started(StepSpec(n_tasks=1, cpu_milli=1000))
    report_done(scheduler, start, 0.5)
    [job] = scheduler.dirty_jobs()
    following = make_one_worker()
    following.unanswered_starts.adopt(scheduler.unanswered_starts.handover(1.0), 1.0)
    following.add_job(job.spec, job.queue, version=1, now=1.0, wall_now=1.0, record=job.to_record())
    report_done(following, start, 1.1)
    assert following.acknowledged(following.workers[start.worker_id]) == 0
    assert following.state_of(JOB_ID) == "running"
    following.plan(12.1, 12.1)
    record_all(following, 12.2)
    assert following.state_of(JOB_ID) == "completed"


def test_step_begins_while_a_preceding_task_may_run_again():
    """Guards against a wait at each step of a job."""
    first = StepSpec(n_tasks=1, cpu_milli=1000)
    scheduler = make_one_worker()
    [start] = add_job(scheduler, first, StepSpec(n_tasks=1, cpu_milli=1000, after=(0,)))
    scheduler.start_unanswered(start.worker_id, start.task, 0.0)
    confirm_started(scheduler, [start], 0.1)
    report_done(scheduler, start, 0.5)
    [following] = scheduler.plan(0.6, 0.6)
    assert following.task == f"{JOB_ID}.0.1.0"


def test_end_of_a_gang_is_not_acknowledged_while_any_member_may_run_again():
    """Guards against the end of another member than the one whose start is late."""
    scheduler, starts = make_started(StepSpec(n_tasks=2, cpu_milli=1000, gang=True))
    report_done(scheduler, starts[1], 0.5)
    record_all(scheduler, 0.6)
    assert scheduler.acknowledged(scheduler.workers[starts[1].worker_id]) == 0


@pytest.mark.parametrize(
    ("values", "is_started"),
    [({}, False), ({"speculative": True}, True), ({"long_running": True}, True)],
)
def test_task_of_an_unreachable_worker_waits_for_its_late_start(values, is_started):
    """Guards against two runs of a task, one of them on the next incarnation of a lost worker."""
    scheduler = make_one_worker()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, **values))
    scheduler.start_unanswered(start.worker_id, start.task, 0.0)
    scheduler.worker_unreachable(start.worker_id, 0.5)
    scheduler.worker_listed(make_worker_info(1), 0.5)
    scheduler.report("w1", make_report(), requested_at=0.5, now=0.5)
    assert bool(scheduler.plan(6.0, 6.0)) is is_started
    assert is_started or len(scheduler.plan(12.1, 12.1)) == 1


def test_task_of_a_replaced_worker_waits_for_its_late_start():
    """Guards against a second run beside one on the next incarnation, which nothing refuses yet."""
    scheduler, [start] = make_started(StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler.worker_ended(start.worker_id, 0.5, is_replaced=True)
    scheduler.worker_listed(make_worker_info(1), 0.5)
    scheduler.report("w1", make_report(), requested_at=0.5, now=0.5)
    _, task = scheduler.find_task(start.task)
    scheduler.plan(0.6, 0.6)
    assert task.state == "waiting"
    scheduler.plan(12.1, 12.1)
    assert task.state == "running"


def test_answered_stop_of_a_start_ends_the_wait_for_it():
    """Guards against a wait after a worker did not answer any try of a start."""
    scheduler = make_one_worker()
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler.start_unanswered(start.worker_id, start.task, 0.0)
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "unknown", 0.5)
    scheduler.stop_answered(start.worker_id, start.task, start.run_id, 0.6)
    assert not scheduler.unanswered_starts


def test_answered_stop_of_a_run_does_not_end_the_wait_for_another_try():
    """Guards against a preempted task that a late start runs again after it was done elsewhere."""
    scheduler, [start] = make_started(StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler.preempt(scheduler.workers[start.worker_id].runs[start.task], 0.5)
    scheduler.stop_answered(start.worker_id, start.task, start.run_id, 0.6)
    assert scheduler.unanswered_starts.worker_ids(TASK) == [start.worker_id]


def test_starts_are_removed_once_a_later_incarnation_has_a_higher_token():
    """Guards against a wait for starts that the next incarnation refuses."""
    starts = UnansweredStarts()
    starts.add(TASK, make_worker_info(0, born_ms=5), 12.0)
    starts.add(TASK, make_worker_info(1, born_ms=5), 12.0)
    starts.remove_fenced(make_worker_info(0, born_ms=5))
    starts.remove_fenced(make_worker_info(2, born_ms=6))
    assert len(starts) == 2
    starts.remove_fenced(make_worker_info(0, born_ms=6))
    starts.remove_fenced(make_worker_info(1, born_ms=6))
    assert not starts.worker_ids(TASK)


def test_handover_keeps_the_remaining_time_and_skips_what_is_not_understood():
    """Guards against a leader that ends because of a row of another release."""
    starts = UnansweredStarts()
    starts.add(TASK, make_worker_info(0, born_ms=5), 12.0)
    handover = {**starts.handover(4.0), "x": 5, f"{TASK}@w1@": 5}
    following = UnansweredStarts()
    following.adopt(handover, 100.0)
    following.remove_expired(107.9)
    assert len(following) == 1
    following.remove_expired(108.0)
    assert not following


def test_next_leader_waits_for_the_late_start_to_a_worker_that_it_does_not_know():
    """Guards against a second run of a task after the leader and the worker were lost together."""
    former, [start] = make_started(StepSpec(n_tasks=1, cpu_milli=1000))
    scheduler = make_scheduler(1)
    scheduler.unanswered_starts.adopt(former.unanswered_starts.handover(1.0), 1.0)
    assert add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000), now=1.0) == []
    [again] = scheduler.plan(12.1, 12.1)
    assert again.task == start.task
