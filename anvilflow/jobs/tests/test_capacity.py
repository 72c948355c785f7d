"""Scheduling when the capacity of a worker changes at run time."""

from msgspec import structs

from anvilflow.jobs import StartRun, StepSpec

from .test_scheduler import add_job, make_scheduler


def _set_capacity(scheduler, **capacity):
    info = scheduler.workers["w0"].info
    scheduler.worker_listed(structs.replace(info, **capacity), 1.0)


def _starts(scheduler, now):
    return [action for action in scheduler.plan(now, now) if isinstance(action, StartRun)]


def test_start_decided_before_capacity_shrank_is_not_sent():
    """Guards against sending a queued start after its worker's capacity was reduced."""
    scheduler = make_scheduler(1)
    start, _ = add_job(scheduler, StepSpec(n_tasks=2, cpu_milli=2000, memory_mb=100))
    assert scheduler.may_be_sent("w0", start.task, start.run_id, 0.6)
    _set_capacity(scheduler, cpu_milli=3000)
    assert not scheduler.may_be_sent("w0", start.task, start.run_id, 1.1)
    _set_capacity(scheduler, cpu_milli=4000)
    assert scheduler.may_be_sent("w0", start.task, start.run_id, 1.2)


def test_tasks_wait_until_reduced_memory_is_restored():
    """Guards against a change of capacity that updates only the free CPU."""
    scheduler = make_scheduler(1)
    _set_capacity(scheduler, memory_mb=50)
    assert add_job(scheduler, StepSpec(n_tasks=1, cpu_milli=1000, memory_mb=100)) == []
    assert _starts(scheduler, 1.2) == []
    _set_capacity(scheduler, memory_mb=100)
    assert len(_starts(scheduler, 1.5)) == 1
