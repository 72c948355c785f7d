"""Time of one plan and of one look round at three sizes, with nothing to start.

    .venv/bin/python benchmarks/bench_scheduler.py

A plan follows each event: at the target some 140 starts and ends a second. Before jobs rested while
nothing of them waits, a plan took 0.056, 0.427 and 6.908 ms at these sizes on the machine on which
it takes 0.003, 0.007 and 0.048 ms since.
"""

import time

from anvilflow.jobs import (
    CellConfig,
    JobSpec,
    Queue,
    Scheduler,
    StartRun,
    StepSpec,
    WorkerInfo,
    WorkerReport,
)

#: Workers and running tasks: the first sites, the grown ones, the target of CAPACITY.md.
SIZES = ((24, 200), (175, 1500), (950, 14000))

#: Tasks of one job.
N_TASKS = 7

#: Processor time spent on each figure. Unit: seconds.
BUDGET_S = 1.0

QUEUE = Queue(name="q", host="h", prefix="/q/", service="s", max_attempts=3, stretch=2.0)


def make_busy_scheduler(n_workers, n_tasks):
    """Return a scheduler with that many tasks running."""
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    scheduler.configure(CellConfig(version=1, queues=(QUEUE,)))
    report = WorkerReport(clock_s=0.0, active=(), ended=())
    for number in range(n_workers):
        info = WorkerInfo(
            worker_id=f"w{number}",
            address="a:1",
            service="s",
            failure_domain="z",
            kind="a",
            rack="r",
            labels=("a", "r"),
            cpu_milli=16000,
            memory_mb=32000,
            accelerators=0,
        )
        scheduler.worker_listed(info, 0.0)
        scheduler.report(info.worker_id, report, asked_at=0.0, now=0.0)
    step = StepSpec(n_tasks=N_TASKS, cpu_milli=100, estimate_s=30.0)
    for number in range(n_tasks // N_TASKS):
        spec = JobSpec(job_id=f"{number:016x}", queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    for action in scheduler.plan(0.0, 0.0):
        if isinstance(action, StartRun):
            scheduler.start_answered(action.worker_id, action.task, action.run_id, "started", 0.0)
    return scheduler


def measure(call):
    """Return the processor time of one call. Unit: milliseconds."""
    began = time.process_time()
    n_calls = 0
    while time.process_time() - began < BUDGET_S:
        call(n_calls)
        n_calls += 1
    return 1000 * (time.process_time() - began) / n_calls


def main():
    """Print the figures."""
    for n_workers, n_tasks in SIZES:
        scheduler = make_busy_scheduler(n_workers, n_tasks)
        scheduler.plan(1.0, 1.0)
        plan_ms = measure(lambda _, scheduler=scheduler: scheduler.plan(1.0, 1.0))
        look_ms = measure(lambda number, scheduler=scheduler: scheduler.plan(2.0 + number, 2.0))
        print(f"{n_workers} workers, {n_tasks} tasks: plan {plan_ms:.3f} ms, look {look_ms:.3f} ms")


if __name__ == "__main__":
    main()
