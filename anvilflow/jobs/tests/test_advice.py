"""Choice of the workers that an advice request names."""

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

#: Two tasks of this step fit on a worker of ten cores.
STEP = StepSpec(n_tasks=4, cpu_milli=4_000, estimate_s=1.0)


def make_cell(n_workers, **policy):
    """Return a scheduler whose workers have ten cores each, ten workers to a rack."""
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
    """Submit a job; return the advice request that follows, or None."""
    spec = JobSpec(job_id=f"{number:016x}", queue="asks", payload="", steps=(step,))
    scheduler.add_job(spec, QUEUE, version=1, now=now, wall_now=now)
    requests = [each for each in scheduler.plan(now, now) if isinstance(each, RequestAdvice)]
    return requests[0] if requests else None


def allow(scheduler, request, n_allowed, now=0.0):
    """Answer a request by allowing its first workers; return the starts that follow."""
    tickets = dict.fromkeys(request.workers[:n_allowed], "ticket")
    scheduler.advice_received(request.step, request.workers, tickets, now + RULES.valid_s, now)
    return [each for each in scheduler.plan(now, now) if isinstance(each, StartRun)]


def test_request_names_as_many_workers_as_the_step_needs():
    """Guards against naming too many or too few workers.

    Four tasks need nine places. Half of the workers are expected to be allowed, with two places
    each.
    """
    request = submit(make_cell(200), 1)
    assert len(request.workers) == 9


def test_requests_of_two_steps_name_different_workers():
    """Guards against two steps, ready at the same time, that wait for the same free capacity."""
    scheduler = make_cell(200)
    assert set(submit(scheduler, 1).workers).isdisjoint(submit(scheduler, 2).workers)


@pytest.mark.parametrize("safeguard", [True, False])
def test_request_names_workers_with_free_capacity(safeguard):
    """Guards against a request that names only the first hundred workers, which are full.

    The tasks of its step would wait and need a second request.
    """
    scheduler = make_cell(200, asks_by_need=safeguard)
    for number in range(100):
        scheduler.workers[f"w{number}"].cpu_free = 0
    request = submit(scheduler, 1)
    assert (len(allow(scheduler, request, len(request.workers))) == STEP.n_tasks) is safeguard


def test_request_is_made_while_no_worker_has_free_capacity():
    """Guards against a step that has no tickets yet when a task of another job ends.

    All workers are full when the step is submitted.
    """
    scheduler = make_cell(50)
    for worker in scheduler.workers.values():
        worker.cpu_free = 0
    request = submit(scheduler, 1)
    assert len(request.workers) >= STEP.n_tasks
    assert allow(scheduler, request, len(request.workers)) == []
    worker = scheduler.workers[request.workers[0]]
    worker.cpu_free = 10_000
    scheduler.freed.add(worker.info.worker_id)
    assert scheduler.plan(0.01, 0.01) != []


def test_request_names_workers_in_the_rack_of_the_data_first():
    """Guards against tasks far from their data, which take three times as long.

    The step's data is in rack r7.
    """
    near = StepSpec(n_tasks=4, cpu_milli=4_000, estimate_s=1.0, data_rack="r7")
    scheduler = make_cell(200)
    request = submit(scheduler, 1, near)
    assert {scheduler.workers[name].info.rack for name in request.workers} == {"r7"}


def test_request_names_more_workers_where_few_are_allowed():
    """Guards against requests that find too few places because most workers are refused.

    After answers that allow a tenth of the workers, requests of the queue name several times as
    many.
    """
    scheduler = make_cell(300)
    first = submit(scheduler, 1)
    for number in range(2, 12):
        request = submit(scheduler, number, now=0.01 * number)
        allow(scheduler, request, len(request.workers) // 10, now=0.01 * number)
    later = submit(scheduler, 90, now=0.5)
    assert len(later.workers) > 3 * len(first.workers)


def test_expected_share_follows_the_answers_and_is_bounded():
    """Guards against an expected share that stays outdated after a queue's rule has changed.

    The share follows within some ten answers and never falls below its lower bound. Without
    answers it has its initial value.
    """
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
