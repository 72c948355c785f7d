"""Maxima of accounts: what an account has running never exceeds them, under any leader."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilflow.jobs import (
    AdviceRules,
    CellConfig,
    ClientAccount,
    GracePeriod,
    JobSpec,
    NoteWait,
    Queue,
    RequestAdvice,
    RunEnd,
    RunReport,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
)
from anvilflow.jobs._account_usage import AccountUsage, max_concurrent_demand
from anvilflow.jobs._scheduler import Scheduler as _Scheduler
from anvilflow.jobs._worker_tracker import WorkerTracker

from .test_scheduler import make_report, make_worker_info

URGENT = Queue(name="u", host="h", prefix="/u/", service="s", max_attempts=3, stretch=2.0)
BULK = Queue(name="q", host="h", prefix="/q/", service="s", priority=2, max_attempts=3)
ADVISED = Queue(
    name="v",
    host="h",
    prefix="/v/",
    service="s",
    advice=AdviceRules(base_s=0.05, per_worker_s=0.001, valid_s=2.0),
)

#: Limits of the account in these tests: four tasks of one core.
LIMITED = ClientAccount(name="a", max_cpu_milli=4000, max_memory_mb=4000)
OTHER = ClientAccount(name="b")

TASK = {"cpu_milli": 1000, "memory_mb": 100, "estimate_s": 1.0}


class Cell:
    """A scheduler whose workers carry out and report what it plans."""

    def __init__(self, *, n_workers=4, term=1, now=0.0, accounts=(LIMITED, OTHER), **values):
        self.now = now
        self.scheduler = Scheduler(term=term, lease_s=3.0, now=now, **values)
        self.version = 0
        self.configure(*accounts)
        self.n_jobs = 0
        for number in range(n_workers):
            self.scheduler.worker_listed(make_worker_info(number), now)

    def configure(self, *accounts):
        """Apply a configuration with these accounts."""
        self.version += 1
        self.scheduler.configure(
            CellConfig(version=self.version, queues=(URGENT, BULK, ADVISED), accounts=accounts)
        )

    def report_all(self):
        """Let all workers report that they run nothing."""
        for worker_id in list(self.scheduler.workers):
            self.scheduler.report(worker_id, make_report(), requested_at=self.now, now=self.now)
        return self

    def add(self, *steps, account=LIMITED, queue=URGENT, job_id=None, version=1, record=None):
        """Add a job; return its id."""
        self.n_jobs += 1
        job_id = job_id or f"{self.n_jobs:016x}"
        spec = JobSpec(job_id=job_id, queue=queue.name, payload="", steps=steps)
        self.scheduler.add_job(
            spec,
            queue,
            version=version,
            now=self.now,
            wall_now=self.now,
            account=account,
            record=record,
        )
        return job_id

    def plan(self, seconds=0.2):
        """Advance the time and plan; return the actions."""
        self.now += seconds
        return self.scheduler.plan(self.now, self.now)

    def starts(self, seconds=0.2):
        """Advance the time and plan; return the starts, which the workers confirm."""
        found = [action for action in self.plan(seconds) if isinstance(action, StartRun)]
        for start in found:
            self.scheduler.start_answered(
                start.worker_id, start.task, start.run_id, "started", self.now
            )
        return found

    def end(self, start, how="done", number=1):
        """Let a worker list the end of a run and its other runs as active."""
        end = RunEnd(number=number, task=start.task, run_id=start.run_id, how=how, checkpoint="")
        active = [
            RunReport(task=run.task, run_id=run.run_id, checkpoint="", percent=1, load=0.0)
            for run in self.scheduler.workers[start.worker_id].runs.values()
            if run.task != start.task
        ]
        report = make_report(active, [end])
        return self.scheduler.report(start.worker_id, report, requested_at=self.now, now=self.now)


def make_cell(**values):
    """Return a cell whose workers have all reported."""
    return Cell(**values).report_all()


def ignore_maximum(monkeypatch, safeguard):
    """Let the scheduler ignore all maxima, unless `safeguard`."""
    if not safeguard:
        monkeypatch.setattr(_Scheduler, "n_allowed", lambda self, step: len(step.tasks))


@pytest.mark.parametrize("safeguard", [True, False])
def test_tasks_beyond_the_maximum_wait_until_others_end(monkeypatch, safeguard):
    ignore_maximum(monkeypatch, safeguard)
    cell = make_cell()
    cell.add(StepSpec(n_tasks=3, **TASK))
    cell.add(StepSpec(n_tasks=3, **TASK))
    started = cell.starts()
    assert (len(started) == 4) is safeguard
    if safeguard:
        assert cell.starts() == []
        cell.end(started[0])
        assert len(cell.starts(0.0)) == 1


def test_other_accounts_and_jobs_without_one_are_not_limited():
    cell = make_cell()
    cell.add(StepSpec(n_tasks=9, **TASK))
    cell.add(StepSpec(n_tasks=9, **TASK), account=OTHER)
    cell.add(StepSpec(n_tasks=9, **TASK), account=None)
    assert len(cell.starts()) == 4 + 9 + 9


@pytest.mark.parametrize("resource", ["cpu_milli", "memory_mb", "accelerators"])
def test_each_resource_is_limited(resource):
    cell = make_cell(accounts=(ClientAccount(name="a", **{f"max_{resource}": 5}),))
    cell.scheduler.workers["w0"].update_info(make_worker_info(0, accelerators=10))
    cell.add(StepSpec(n_tasks=4, **{resource: 2}))
    assert len(cell.starts()) == 2


def test_gang_starts_as_a_whole_or_not_at_all():
    cell = make_cell()
    cell.add(StepSpec(n_tasks=2, **TASK))
    assert len(cell.starts()) == 2
    cell.add(StepSpec(n_tasks=3, gang=True, **TASK))
    assert cell.starts() == []
    cell.add(StepSpec(n_tasks=2, gang=True, **TASK))
    assert len(cell.starts()) == 2


@pytest.mark.parametrize("values", [{"fills": True}, {"long_running": True}])
def test_background_and_long_running_tasks_count(values):
    cell = make_cell()
    cell.add(StepSpec(n_tasks=9, **TASK, **values))
    assert len(cell.starts()) == 4


def test_copies_count():
    """Guards against a second run beside a slow one that exceeds the maximum."""
    cell = make_cell()
    job_id = cell.add(StepSpec(n_tasks=4, speculative=True, **TASK))
    starts = cell.starts()
    step = cell.scheduler.jobs[job_id].steps[0, 0]
    step.copies.append(step.tasks[0])
    step.job.wake()
    assert cell.starts() == []
    cell.end(starts[1])
    assert [start.task for start in cell.starts()] == [step.tasks[0].name]


def test_stopped_run_counts_until_its_end_is_listed():
    """Guards against starts in place of runs that are being stopped and still work."""
    cell = make_cell()
    cancelled = cell.add(StepSpec(n_tasks=4, **TASK))
    starts = cell.starts()
    cell.add(StepSpec(n_tasks=4, **TASK))
    assert len(cell.scheduler.cancel_job(cancelled, cell.now)) == 4
    cell.scheduler.recorded(cancelled, cell.scheduler.jobs[cancelled].change, cell.now)
    assert cell.starts() == []
    for number, start in enumerate(starts, start=1):
        cell.end(start, "stopped", number)
        assert len(cell.starts(0.0)) == 1


def test_runs_on_a_worker_that_does_not_answer_count_until_its_lease_has_expired():
    cell = make_cell()
    cell.add(StepSpec(n_tasks=4, **TASK))
    starts = cell.starts()
    for start in starts:
        cell.scheduler.workers[start.worker_id].lease_sent(cell.now, 3.0)
        cell.scheduler.worker_unreachable(start.worker_id, cell.now)
    cell.scheduler.worker_listed(make_worker_info(9), cell.now)
    cell.scheduler.report("w9", make_report(), requested_at=cell.now, now=cell.now)
    cell.add(StepSpec(n_tasks=4, **TASK))
    assert cell.starts(2.5) == []
    assert len(cell.starts(1.0)) == 4


def test_lowered_maximum_stops_starts_and_a_raised_one_resumes_them():
    cell = make_cell()
    job_id = cell.add(StepSpec(n_tasks=9, **TASK))
    starts = cell.starts()
    cell.configure(ClientAccount(name="a", max_cpu_milli=2000))
    cell.end(starts[0])
    assert cell.starts() == []
    cell.configure(ClientAccount(name="a", max_cpu_milli=5000))
    assert len(cell.starts(0.0)) == 2
    cell.configure(ClientAccount(name="a"))
    assert len(cell.starts(0.0)) == 3
    assert cell.scheduler.jobs[job_id].steps[0, 0].waiting() == []


def test_start_that_is_not_sent_yet_is_dropped_when_the_maximum_is_lowered():
    cell = make_cell()
    cell.add(StepSpec(n_tasks=4, **TASK))
    starts = [action for action in cell.plan() if isinstance(action, StartRun)]
    cell.configure(ClientAccount(name="a", max_cpu_milli=2000))
    may_be_sent = []
    for start in starts:
        values = (start.worker_id, start.task, start.run_id)
        may_be_sent.append(cell.scheduler.may_be_sent(*values, cell.now))
        if not may_be_sent[-1]:
            cell.scheduler.start_answered(*values, "unreached", cell.now)
    assert may_be_sent == [False, False, True, True]


def test_job_of_an_account_that_the_configuration_does_not_name_keeps_its_maximum():
    """Guards against a removed account whose accepted jobs become unlimited, or never run."""
    cell = make_cell()
    cell.configure(OTHER)
    cell.add(StepSpec(n_tasks=9, **TASK))
    assert len(cell.starts()) == 4


def test_step_of_an_account_at_its_maximum_takes_nothing_from_others():
    """Guards against tickets, reservations and preemption for tasks that must not start."""
    cell = make_cell(n_workers=1)
    cell.add(StepSpec(n_tasks=4, checkpointing=True, **TASK), queue=BULK)
    starts = cell.starts()
    assert len(starts) == 4
    victim = {"cpu_milli": 5000, "estimate_s": 60.0}
    cell.add(StepSpec(n_tasks=1, checkpointing=True, **victim), queue=BULK, account=OTHER)
    cell.add(StepSpec(n_tasks=1, cpu_milli=2000, estimate_s=1.0))
    cell.add(StepSpec(n_tasks=1, **TASK), queue=ADVISED)
    for _ in range(12):
        actions = cell.plan()
        assert not any(isinstance(action, RequestAdvice | StopRun) for action in actions)
    assert cell.scheduler.reservations._by_worker == {}


def test_wait_for_the_maximum_is_explained():
    cell = make_cell()
    cell.add(StepSpec(n_tasks=9, **TASK))
    cell.starts()
    notes = [action for action in cell.plan(2.0) if isinstance(action, NoteWait)]
    assert [(note.account, note.limited_by) for note in notes] == [("a", "cpu_milli 4000 of 4000")]


# Change of the leader


def make_next_leader(*, n_workers=4, term=2):
    """Return a cell whose leader has taken over and has heard of no worker yet."""
    grace_period = GracePeriod(term=term, lease_s=3.0, now=100.0, n_workers=n_workers)
    return Cell(n_workers=n_workers, term=term, now=100.0, grace_period=grace_period)


def answer(cell, worker_id, *items):
    """Let a worker answer a new leader with the given runs, as task and run number."""
    active = [
        RunReport(task=task, run_id=run_id, checkpoint="", percent=1, load=0.0)
        for task, run_id in items
    ]
    cell.scheduler.report(worker_id, make_report(active), requested_at=cell.now, now=cell.now)


@pytest.mark.parametrize("safeguard", [True, False])
def test_inherited_job_counts_as_a_whole_until_all_workers_have_answered(monkeypatch, safeguard):
    """Guards against starts beside runs of the former leader that no worker has listed yet."""
    if not safeguard:
        monkeypatch.setattr(AccountUsage, "assume", lambda *_: None)
    cell = make_next_leader()
    inherited = cell.add(StepSpec(n_tasks=3, **TASK))
    cell.scheduler.grace_period.commands_expired_version = 1
    cell.add(StepSpec(n_tasks=4, **TASK), version=5)
    answer(cell, "w0", (f"{inherited}.0.0.0", 1))
    assert (len(cell.starts()) == 1) is safeguard
    if safeguard:
        answer(cell, "w1", (f"{inherited}.0.0.1", 1))
        answer(cell, "w2")
        assert cell.starts() == []
        # Two of the three tasks run: the third was never started, and room for one task is left.
        answer(cell, "w3")
        assert len(cell.starts()) == 1


def test_stored_jobs_are_bounded_before_any_worker_is_known():
    """A new leader adds the stored jobs first: without workers, all runs seemed to be known."""
    cell = make_next_leader(n_workers=0)
    cell.add(StepSpec(n_tasks=3, **TASK))
    cell.scheduler.worker_listed(make_worker_info(0), cell.now)
    cell.scheduler.worker_listed(make_worker_info(1), cell.now)
    cell.scheduler.grace_period.commands_expired_version = 1
    cell.add(StepSpec(n_tasks=4, **TASK), version=5)
    answer(cell, "w0")
    assert len(cell.starts()) == 1


def test_runs_listed_beyond_the_bound_count():
    cell = make_next_leader()
    inherited = cell.add(StepSpec(n_tasks=2, **TASK), StepSpec(n_tasks=1, after=(0,), **TASK))
    assert cell.scheduler.usage.used("a") == (2000, 200, 0)
    answer(cell, "w0", (f"{inherited}.0.0.0", 1), (f"{inherited}.0.0.1", 1))
    answer(cell, "w1", (f"{inherited}.0.1.0", 1))
    assert cell.scheduler.usage.used("a") == (3000, 300, 0)


@pytest.mark.parametrize("safeguard", [True, False])
def test_runs_of_an_ended_job_count_until_they_have_ended(monkeypatch, safeguard):
    """Guards against starts beside the runs of a cancelled job that its leader was stopping."""
    if not safeguard:
        monkeypatch.setattr(AccountUsage, "add_leftover", lambda *_: None)
    cell = make_next_leader()
    cell.scheduler.usage.add_leftover("a", (3000, 300, 0))
    cell.scheduler.drop_job("f" * 16, "cancelled", cell.now, owner="a")
    cell.scheduler.grace_period.commands_expired_version = 1
    cell.add(StepSpec(n_tasks=4, **TASK), version=5)
    for worker_id in ("w0", "w1", "w2"):
        answer(cell, worker_id)
    answer(cell, "w3", (f"{'f' * 16}.0.0.0", 1))
    assert (len(cell.starts()) == 1) is safeguard
    if safeguard:
        answer(cell, "w3")
        assert len(cell.starts()) == 3


@pytest.mark.parametrize("safeguard", [True, False])
def test_runs_of_a_job_that_a_new_leader_cancels_count_until_they_have_ended(
    monkeypatch, safeguard
):
    """The former leader named the runs, on a worker that does not answer."""
    if not safeguard:
        monkeypatch.setattr(AccountUsage, "job_ended", lambda *_: None)
    cell = make_next_leader()
    cancelled = cell.add(StepSpec(n_tasks=3, **TASK))
    cell.scheduler.cancel_job(cancelled, cell.now)
    runs = [(f"{cancelled}.0.0.{index}", 1) for index in range(3)]
    cell.scheduler.adopt_unconfirmed_runs("w3", runs, cell.now)
    cell.scheduler.grace_period.commands_expired_version = 1
    cell.add(StepSpec(n_tasks=4, **TASK), version=5)
    for worker_id in ("w0", "w1", "w2"):
        answer(cell, worker_id)
    assert (len(cell.starts()) == 1) is safeguard
    if safeguard:
        job = cell.scheduler.jobs[cancelled]
        assert cell.scheduler.held_by(job) == (3000, 300, 0)
        answer(cell, "w3", *runs)
        assert cell.starts() == []
        answer(cell, "w3")
        assert len(cell.starts()) == 3


@pytest.mark.parametrize("safeguard", [True, False])
def test_no_account_with_a_maximum_starts_tasks_beside_a_run_of_an_unknown_job(
    monkeypatch, safeguard
):
    """The job was accepted during the change of leaders, and its account is not known yet."""
    if not safeguard:
        monkeypatch.setattr(_Scheduler, "_may_become_known", lambda self, name: False)
    cell = make_next_leader()
    unknown = "f" * 16
    cell.scheduler.grace_period.commands_expired_version = 1
    cell.add(StepSpec(n_tasks=4, **TASK), version=5)
    cell.add(StepSpec(n_tasks=4, **TASK), version=5, account=OTHER)
    for worker_id in ("w0", "w1", "w2"):
        answer(cell, worker_id)
    answer(cell, "w3", *((f"{unknown}.0.0.{index}", 1) for index in range(3)))
    accounts = [_account_of(cell, start) for start in cell.starts()]
    assert accounts.count("b") == 4
    assert (accounts.count("a") == 0) is safeguard
    if safeguard:
        cell.add(StepSpec(n_tasks=3, **TASK), job_id=unknown)
        assert len(cell.starts()) == 1


def _account_of(cell, start):
    return cell.scheduler.jobs[start.task.partition(".")[0]].owner


def test_duplicate_run_that_is_being_stopped_counts():
    """Guards against a late copy of a start, which occupies capacity that no task accounts for."""
    cell = make_cell()
    job_id = cell.add(StepSpec(n_tasks=2, **TASK))
    [first, _] = cell.starts()
    other = next(name for name in cell.scheduler.workers if name != first.worker_id)
    answer(cell, other, (f"{job_id}.0.0.0", 9), (f"{job_id}.0.0.1", 9))
    cell.add(StepSpec(n_tasks=4, **TASK))
    assert len(cell.starts()) <= 1


def test_bound_of_a_job_with_branches_is_the_sum_of_its_steps():
    cell = make_cell()
    chain = cell.add(StepSpec(n_tasks=2, **TASK), StepSpec(n_tasks=3, after=(0,), **TASK))
    branches = cell.add(StepSpec(n_tasks=2, **TASK), StepSpec(n_tasks=3, **TASK))
    copies = cell.add(StepSpec(n_tasks=2, speculative=True, **TASK))
    bounds = [
        max_concurrent_demand(cell.scheduler.jobs[job_id].steps.values())
        for job_id in (chain, branches, copies)
    ]
    assert bounds == [(3000, 300, 0), (5000, 500, 0), (4000, 400, 0)]
    assert max_concurrent_demand([]) == (0, 0, 0)


# The accounts


class _Job:
    def __init__(self, number):
        self.job_id = f"j{number}"
        self.owner = ("a", "b", "")[number % 3]


_OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["add", "remove", "assume", "leftover", "end", "drop", "drop_leftovers"]),
        st.integers(0, 5),
        st.integers(0, 3),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(_OPERATIONS)
def test_accounts_agree_with_a_slow_model(operations):
    usage = AccountUsage()
    jobs = [_Job(number) for number in range(6)]
    steps = [
        StepSpec(n_tasks=1, cpu_milli=n, memory_mb=7 * n, accelerators=n % 2) for n in range(4)
    ]
    runs, bounds, leftovers = [], {}, []
    for operation, number, amount in operations:
        job, step = jobs[number], steps[amount]
        run = (job, step)
        match operation:
            case "add":
                usage.add(job, step)
                runs.append(run)
            case "remove" if run in runs:
                usage.remove(job, step)
                runs.remove(run)
            case "assume" if job.owner and not any(each is job for each, _ in runs):
                bound = (2 * amount, 9 * amount, amount)
                usage.assume(job.job_id, job.owner, bound)
                if any(bound):
                    bounds.setdefault(job.job_id, bound)
            case "leftover":
                usage.add_leftover(job.owner, (amount, amount, 0))
                leftovers.append((job.owner, (amount, amount, 0)))
            case "end":
                usage.job_ended(job.job_id)
                bound = bounds.pop(job.job_id, (0, 0, 0))
                known = _known_use(job, runs)
                left = tuple(max(0, most - now) for most, now in zip(bound, known, strict=True))
                leftovers.append((job.owner, left))
            case "drop":
                usage.drop_assumptions()
                bounds = {}
            case "drop_leftovers":
                usage.drop_leftovers()
                leftovers = []
        for account in ("a", "b"):
            assert usage.used(account) == _model(account, jobs, runs, bounds, leftovers)


def _known_use(job, runs):
    known = [0, 0, 0]
    for each, step in runs:
        if each is job:
            for index, value in enumerate((step.cpu_milli, step.memory_mb, step.accelerators)):
                known[index] += value
    return known


def _model(account, jobs, runs, bounds, leftovers):
    total = [0, 0, 0]
    for job in jobs:
        if job.owner != account:
            continue
        known = _known_use(job, runs)
        bound = bounds.get(job.job_id, (0, 0, 0))
        total = [sum(pair) for pair in zip(total, map(max, known, bound), strict=True)]
    for owner, held in leftovers:
        if owner == account:
            total = [sum(pair) for pair in zip(total, held, strict=True)]
    return tuple(total)


def test_accounts_are_balanced_by_every_end_of_a_run(monkeypatch):
    """Guards against an end that is not subtracted: the account would never start tasks again."""
    frees = []
    free = WorkerTracker._free
    monkeypatch.setattr(
        WorkerTracker, "_free", lambda self, run: (frees.append(run), free(self, run))[1]
    )
    cell = make_cell()
    cell.add(StepSpec(n_tasks=4, **TASK))
    starts = cell.starts()
    cell.end(starts[0], "failed")
    cell.scheduler.start_answered(
        starts[1].worker_id, starts[1].task, starts[1].run_id, "room", cell.now
    )
    cell.scheduler.worker_ended(starts[2].worker_id, cell.now)
    cell.scheduler.cancel_job("0" * 15 + "1", cell.now)
    cell.now += 10.0
    for worker_id in list(cell.scheduler.workers):
        answer(cell, worker_id)
        answer(cell, worker_id)
    assert frees
    assert cell.scheduler.usage.accounts() == []


def test_largest_use_of_a_maximum_is_reported():
    cell = make_cell()
    assert cell.scheduler.max_account_use() == 0.0
    cell.add(StepSpec(n_tasks=3, **TASK))
    cell.starts()
    assert cell.scheduler.max_account_use() == 0.75
