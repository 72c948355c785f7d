"""Numbers of runs over several leaders, and starts that workers refuse by their numbers."""

from random import Random

import pytest

from anvilflow.jobs import (
    JobRecord,
    JobRun,
    JobSpec,
    NoteRefusedNumber,
    RunEnd,
    RunReport,
    Scheduler,
    StartRun,
    StepSpec,
)
from anvilflow.jobs._run_numbers import RUNS_PER_TERM, RunNumbers
from anvilflow.utils import decode, encode

from .test_scheduler import QUEUE, add_job, make_report, make_scheduler

JOB = "00000000000000a1"
LASTING = StepSpec(n_tasks=1, cpu_milli=1000, long_running=True)


def _make_job(*, term, inherited, record=None):
    spec = JobSpec(job_id=JOB, queue="q", payload="", steps=(LASTING,))
    return JobRun(
        spec=spec,
        queue=QUEUE,
        version=1,
        now=0.0,
        wall_now=0.0,
        record=record,
        inherited=inherited,
        term=term,
    )


class Leaders:
    """Leaders that start one task in turn, with records that are late or never written."""

    def __init__(self, *, seed):
        self.random_state = Random(seed)
        self.record = None
        self.highest = 0
        self.n_reused = 0

    def play(self, n_leaders):
        """Let so many leaders start the task; return how often they used an earlier number."""
        for term in range(1, n_leaders + 1):
            job = _make_job(term=term, inherited=term > 1, record=self.record)
            job.reserve_run_numbers(0.0)
            self._lead(job)
        return self.n_reused

    def _lead(self, job):
        [task] = job.steps[0, 0].tasks
        write_share = self.random_state.choice([0.0, 0.01, 0.3, 1.0])
        for _ in range(self.random_state.choice([0, 1, 40, 2 * RUNS_PER_TERM, 4 * RUNS_PER_TERM])):
            if job.change > job.recorded_change and self.random_state.random() < write_share:
                self.record = job.to_record()
                job.recorded_change = job.change
                job.run_numbers.recorded(job.change)
            if not job.run_numbers.may_use_next:
                continue
            task.run_id = job.run_numbers.next_of(task)
            self.n_reused += task.run_id <= self.highest
            self.highest = task.run_id
            job.note_run_id(task.run_id, 0.0)


@pytest.mark.parametrize("safeguard", [True, False])
def test_no_leader_uses_a_number_that_an_earlier_one_has_used(monkeypatch, safeguard):
    """Guards against numbers past those of a leader's term that no record has reserved."""
    if not safeguard:
        monkeypatch.setattr(RunNumbers, "may_use_next", True)
    n_reused = sum(Leaders(seed=seed).play(6) for seed in range(40))
    assert (n_reused == 0) is safeguard


def test_thousands_of_runs_under_one_leader_need_few_records():
    """Guards against a write for each start of a task that fails often."""
    job = _make_job(term=1, inherited=False)
    [task] = job.steps[0, 0].tasks
    for _ in range(10 * RUNS_PER_TERM):
        job.run_numbers.recorded(job.change)
        assert job.run_numbers.may_use_next
        task.run_id = job.run_numbers.next_of(task)
        job.note_run_id(task.run_id, 0.0)
    assert job.change <= 20


def test_start_past_the_recorded_numbers_waits_for_the_record():
    """Guards against a number that the next leader, which reads the record, takes for unused."""
    scheduler = make_scheduler()
    job = _add_lasting_job(scheduler)
    job.note_run_id(RUNS_PER_TERM, 1.0)
    _end_run(scheduler, job, 1, 1.0)
    assert scheduler.plan(1.1, 1.1) == []
    assert scheduler.dirty_jobs() == [job]
    scheduler.recorded(JOB, job.change, 1.2)
    assert [type(action) for action in scheduler.plan(1.2, 1.2)] == [StartRun]


def _add_lasting_job(scheduler):
    [start] = add_job(scheduler, LASTING)
    scheduler.start_sent(start.worker_id, start.task, start.run_id)
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "started", 0.5)
    return scheduler.jobs[JOB]


def _end_run(scheduler, job, run_id, now, how="stopped"):
    [task] = job.steps[0, 0].tasks
    [worker_id] = task.runs
    end = RunEnd(number=run_id, task=task.name, run_id=run_id, how=how, checkpoint="")
    scheduler.report(worker_id, make_report((), [end]), requested_at=now, now=now)


def _refuse(scheduler, start, now):
    scheduler.start_sent(start.worker_id, start.task, start.run_id)
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "old", now)


def _report(scheduler, start, now, *, active=(), ended=()):
    """Report runs and ends; return the notes and the next starts, once changes are recorded."""
    report = make_report(active, ended, clock_s=now)
    notes = scheduler.report(start.worker_id, report, requested_at=now, now=now)
    for job in scheduler.dirty_jobs():
        scheduler.recorded(job.job_id, job.change, now)
    starts = [each for each in scheduler.plan(now, now) if isinstance(each, StartRun)]
    return [each for each in notes if isinstance(each, NoteRefusedNumber)], starts


@pytest.mark.parametrize("highest", [300, 60_000, 16_000_000])
def test_task_of_which_a_worker_knows_a_higher_number_starts_again(highest):
    """Guards against an outage of a task that lasts as long as there were runs unknown."""
    scheduler = make_scheduler(n_workers=1)
    [start] = add_job(scheduler, LASTING)
    refused = []
    now = 1.0
    while start.run_id <= highest:
        _refuse(scheduler, start, now)
        [note], [start] = _report(scheduler, start, now + 0.5)
        refused.append(note.run_id)
        assert note.next_run_id == start.run_id
        now += 1.0
    assert len(refused) <= 3


@pytest.mark.parametrize("is_active", [True, False])
def test_refusal_that_another_run_explains_skips_no_numbers(is_active):
    """Guards against skipped numbers where the worker has, or has just had, another run."""
    scheduler = make_scheduler(n_workers=1)
    [start] = add_job(scheduler, LASTING)
    _refuse(scheduler, start, 1.0)
    end = RunEnd(number=1, task=start.task, run_id=7, how="stopped", checkpoint="")
    if is_active:
        run = RunReport(task=start.task, run_id=7, checkpoint="", percent=0.0, load=0.0)
        assert _report(scheduler, start, 1.5, active=[run]) == ([], [])
    notes, [again] = _report(scheduler, start, 2.0, ended=[end])
    assert (notes, again.run_id) == ([], 8)


def test_start_refused_after_its_stop_skips_no_numbers():
    """Guards against skipped numbers where the leader's own stop bars the run."""
    scheduler = make_scheduler(n_workers=1)
    [start] = add_job(scheduler, LASTING)
    [run] = scheduler.workers["w0"].runs.values()
    run.stopped_at = 0.9
    _refuse(scheduler, start, 1.0)
    assert _report(scheduler, start, 1.5)[0] == []


def test_run_that_begins_ends_the_row_of_refusals():
    """Guards against skips that grow with refusals long before."""
    scheduler = make_scheduler(n_workers=1)
    [start] = add_job(scheduler, LASTING)
    _refuse(scheduler, start, 1.0)
    _, [start] = _report(scheduler, start, 1.5)
    scheduler.start_answered(start.worker_id, start.task, start.run_id, "started", 1.6)
    end = RunEnd(number=1, task=start.task, run_id=start.run_id, how="stopped", checkpoint="")
    _, [again] = _report(scheduler, start, 2.0, ended=[end])
    assert again.run_id == start.run_id + 1


def test_failures_count_once_each_where_numbers_are_skipped():
    """Guards against an attempt that counts twice, or not at all, after skipped numbers."""
    scheduler = make_scheduler(n_workers=1)
    [start] = add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000))
    _refuse(scheduler, start, 1.0)
    _, [start] = _report(scheduler, start, 1.5)
    now = 2.0
    for number in range(1, QUEUE.max_attempts + 1):
        assert not scheduler.jobs[JOB].is_ended
        scheduler.start_answered(start.worker_id, start.task, start.run_id, "started", now)
        end = RunEnd(
            number=number, task=start.task, run_id=start.run_id, how="failed", checkpoint=""
        )
        # The worker repeats an end until it is acknowledged.
        _, starts = _report(scheduler, start, now + 1.0, ended=[end])
        _, more = _report(scheduler, start, now + 20.0, ended=[end])
        now += 40.0
        [start, *_] = [*starts, *more, start]
    assert scheduler.state_of(JOB) == "failed"


def test_members_of_a_gang_share_a_number_after_a_refusal():
    """Guards against a gang that never assembles, as one member skips numbers alone."""
    scheduler = make_scheduler(n_workers=2)
    starts = add_job(scheduler, StepSpec(n_tasks=2, cpu_milli=6000, gang=True, long_running=True))
    for start in starts:
        scheduler.start_sent(start.worker_id, start.task, start.run_id)
    refused, taken = starts
    scheduler.start_answered(refused.worker_id, refused.task, refused.run_id, "old", 1.0)
    scheduler.stop_answered(refused.worker_id, refused.task, refused.run_id, 1.1)
    scheduler.start_answered(taken.worker_id, taken.task, taken.run_id, "started", 1.0)
    end = RunEnd(number=1, task=taken.task, run_id=taken.run_id, how="stopped", checkpoint="")
    _, starts = _report(scheduler, taken, 1.5, ended=[end])
    _, more = _report(scheduler, refused, 1.6)
    numbers = {start.run_id for start in [*starts, *more]}
    assert len([*starts, *more]) == 2
    assert len(numbers) == 1 and numbers.pop() > refused.run_id + 1


def test_record_of_an_earlier_release_reserves_nothing():
    """Guards against a record without reserved numbers that stops a leader."""
    record = decode(encode({"begun": True}), JobRecord, error=ValueError)
    job = _make_job(term=3, inherited=True, record=record)
    [task] = job.steps[0, 0].tasks
    assert job.run_numbers.next_of(task) == 2 * RUNS_PER_TERM + 1
    assert job.run_numbers.may_use_next


def test_leader_whose_term_is_not_above_the_record_s_reserves_before_it_starts():
    """Guards against a task that waits for numbers that nobody reserves, after a lost row."""
    record = _make_job(term=5, inherited=False).to_record()
    record.max_run_id, record.max_run_id_term = 9000, 5
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    spec = JobSpec(job_id=JOB, queue="q", payload="", steps=(LASTING,))
    scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0, record=record)
    [job] = scheduler.dirty_jobs()
    scheduler.recorded(JOB, job.change, 0.1)
    [task] = job.steps[0, 0].tasks
    assert job.run_numbers.may_use_next
    assert job.run_numbers.next_of(task) == 9001
