"""About which workers advice is asked: as many as a step needs, with room, not always the same."""

import pytest

from anvilflow.jobs import (
    AdviceRules,
    CellConfig,
    JobSpec,
    Queue,
    RequestAdvice,
    Scheduler,
    SchedulingPolicy,
    StartRun,
    StepSpec,
)
from anvilflow.jobs._advice import INITIAL_SHARE, MIN_SHARE, AllowedShares

from .test_scheduler import make_report, make_worker_info

RULES = AdviceRules(base_s=0.05, per_worker_s=0.0005, valid_s=2.0)
QUEUE = Queue(
    name="asks", host="h", prefix="/a/", service="s", priority=0, max_attempts=3, advice=RULES
)

#: A worker of ten cores holds two of these.
STEP = StepSpec(n_tasks=4, cpu_milli=4_000, estimate_s=1.0)


def make_cell(n_workers, **policy):
    """Return a scheduler with workers of ten cores in racks of ten."""
    scheduler = Scheduler(
        term=1, lease_s=3.0, now=0.0, n_advice_callers=20, policy=SchedulingPolicy(**policy)
    )
    scheduler.configure(CellConfig(version=1, queues=(QUEUE,)))
    for number in range(n_workers):
        info = make_worker_info(number, rack=f"r{number // 10}")
        scheduler.worker_listed(info, 0.0)
        scheduler.report(info.worker_id, make_report(), requested_at=0.0, now=0.0)
    return scheduler


def submit(scheduler, number, step=STEP, now=0.0):
    """Submit a job; return the ask that follows, or None."""
    spec = JobSpec(job_id=f"{number:016x}", queue="asks", payload="", steps=(step,))
    scheduler.add_job(spec, QUEUE, version=1, now=now, wall_now=now)
    asks = [each for each in scheduler.plan(now, now) if isinstance(each, RequestAdvice)]
    return asks[0] if asks else None


def allow(scheduler, ask, n_allowed, now=0.0):
    """Answer an ask: the first workers are allowed; return the starts that follow."""
    tickets = dict.fromkeys(ask.workers[:n_allowed], "ticket")
    scheduler.advice_received(ask.step, ask.workers, tickets, now + RULES.valid_s, now)
    return [each for each in scheduler.plan(now, now) if isinstance(each, StartRun)]


def test_step_asks_about_as_many_workers_as_it_needs():
    """Four tasks need nine places; half of the workers are allowed, it is thought, for two each."""
    ask = submit(make_cell(200), 1)
    assert len(ask.workers) == 9


def test_steps_ask_about_different_workers():
    """Two steps come at the same moment: they do not wait for the same room."""
    scheduler = make_cell(200)
    assert set(submit(scheduler, 1).workers).isdisjoint(submit(scheduler, 2).workers)


@pytest.mark.parametrize("safeguard", [True, False])
def test_step_asks_about_workers_with_room(safeguard):
    """The first hundred workers are full; tasks that ask about them wait, and ask once more."""
    scheduler = make_cell(200, asks_by_need=safeguard)
    for number in range(100):
        scheduler.workers[f"w{number}"].cpu_free = 0
    ask = submit(scheduler, 1)
    assert (len(allow(scheduler, ask, len(ask.workers))) == STEP.n_tasks) is safeguard


def test_step_asks_ahead_of_room_where_no_worker_has_any():
    """All workers are full: it holds tickets when a task of another job ends."""
    scheduler = make_cell(50)
    for worker in scheduler.workers.values():
        worker.cpu_free = 0
    ask = submit(scheduler, 1)
    assert len(ask.workers) >= STEP.n_tasks
    assert allow(scheduler, ask, len(ask.workers)) == []
    worker = scheduler.workers[ask.workers[0]]
    worker.cpu_free = 10_000
    scheduler.freed.add(worker.info.worker_id)
    assert scheduler.plan(0.01, 0.01) != []


def test_workers_near_the_data_are_asked_about_first():
    """The step's data is in the seventh rack: far from it a task takes three times as long."""
    near = StepSpec(n_tasks=4, cpu_milli=4_000, estimate_s=1.0, data_rack="r7")
    scheduler = make_cell(200)
    ask = submit(scheduler, 1, near)
    assert {scheduler.workers[name].info.rack for name in ask.workers} == {"r7"}


def test_queue_of_which_few_workers_are_allowed_asks_about_more():
    """Answers allow a tenth: the next step of the queue asks about several times as many."""
    scheduler = make_cell(300)
    first = submit(scheduler, 1)
    for number in range(2, 12):
        ask = submit(scheduler, number, now=0.01 * number)
        allow(scheduler, ask, len(ask.workers) // 10, now=0.01 * number)
    later = submit(scheduler, 90, now=0.5)
    assert len(later.workers) > 3 * len(first.workers)


def test_share_that_is_allowed_is_learnt_forgotten_and_bounded():
    """A queue's rule changes; the share follows within some ten answers, and is never nothing."""
    shares = AllowedShares()
    assert shares.of("q") == INITIAL_SHARE
    shares.note("q", 0, 0)
    assert shares.of("q") == INITIAL_SHARE
    for _ in range(20):
        shares.note("q", 30, 0)
    assert shares.of("q") == MIN_SHARE
    for _ in range(12):
        shares.note("q", 30, 30)
    assert shares.of("q") > 0.65
    assert shares.of("another") == INITIAL_SHARE
