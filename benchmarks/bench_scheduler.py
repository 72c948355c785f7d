"""Benchmark of one plan and one periodic check of the scheduler at three sizes of a cell.

    .venv/bin/python benchmarks/bench_scheduler.py

No task is left to start when these two are measured. The scheduler plans after each event; at the
target size there are some 140 starts and ends per second. Jobs are suspended while none of their
tasks waits: this reduced a plan at these sizes from 0.056, 0.427 and 6.908 ms to 0.003, 0.007 and
0.048 ms on the same machine. Plans do not examine every waiting step: this reduced the end of a
task and the plan after it, with 20 jobs waiting, from 1.183, 30.6 and 319 ms to 0.088, 0.141 and
0.435 ms.
"""

import time

from anvilflow.jobs import (
    CellConfig,
    JobSpec,
    Queue,
    RunEnd,
    Scheduler,
    StartRun,
    StepSpec,
    WorkerInfo,
    WorkerReport,
)

#: Workers and running tasks of the first sites, of grown sites, and of the target in CAPACITY.md.
SIZES = ((24, 200), (175, 1500), (950, 14000))

#: Tasks per job.
N_TASKS = 7

#: Further jobs that wait for free capacity, as on a busy day of a site with 270 workers.
N_WAITING = 20

#: Processor time used to measure each figure. Unit: seconds.
BUDGET_S = 1.0

QUEUE = Queue(name="q", host="h", prefix="/q/", service="s", max_attempts=3, stretch=2.0)


def make_busy_scheduler(n_workers, n_tasks):
    """Return a scheduler with `n_workers` workers and about `n_tasks` running tasks."""
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    scheduler.configure(CellConfig(version=1, queues=(QUEUE,)))
    report = WorkerReport(clock_s=0.0, active=(), ended=())
    for number in range(n_workers):
        info = WorkerInfo(
            registry_id=f"w{number}",
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
        scheduler.report(info.worker_id, report, requested_at=0.0, now=0.0)
    n_per_worker = -(-n_tasks // n_workers)
    step = StepSpec(n_tasks=N_TASKS, cpu_milli=16000 // n_per_worker, estimate_s=30.0)
    for number in range(n_tasks // N_TASKS):
        spec = JobSpec(job_id=f"{number:016x}", queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    for action in scheduler.plan(0.0, 0.0):
        if isinstance(action, StartRun):
            scheduler.start_answered(action.worker_id, action.task, action.run_id, "started", 0.0)
    return scheduler


def add_waiting_jobs(scheduler, n_jobs):
    """Add jobs, as in a burst, whose tasks need more free capacity than any worker has."""
    step = StepSpec(n_tasks=N_TASKS, cpu_milli=16000, estimate_s=30.0)
    for number in range(n_jobs):
        spec = JobSpec(job_id=f"{10**6 + number:016x}", queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=1.0, wall_now=1.0)
    scheduler.plan(1.0, 1.0)


def report_end_and_plan(scheduler, number):
    """Report the end of a task on a worker to the scheduler, then plan."""
    worker = scheduler.workers[f"w{number % len(scheduler.workers)}"]
    run = next(iter(worker.runs.values()), None)
    if run is None:
        return
    end = RunEnd(
        number=worker.last_ended + 1, task=run.task, run_id=run.run_id, how="stopped", checkpoint=""
    )
    report = WorkerReport(clock_s=1.0, active=(), ended=(end,))
    scheduler.report(worker.info.worker_id, report, requested_at=0.0, now=1.0)
    for action in scheduler.plan(1.0, 1.0):
        if isinstance(action, StartRun):
            scheduler.start_answered(action.worker_id, action.task, action.run_id, "started", 1.0)


def measure(call):
    """Return the mean processor time of a call. Unit: milliseconds."""
    began = time.process_time()
    n_calls = 0
    while time.process_time() - began < BUDGET_S:
        call(n_calls)
        n_calls += 1
    return 1000 * (time.process_time() - began) / n_calls


def main():
    """Measure all sizes and print the figures."""
    for n_workers, n_tasks in SIZES:
        scheduler = make_busy_scheduler(n_workers, n_tasks)
        scheduler.plan(1.0, 1.0)
        plan_ms = measure(lambda _, scheduler=scheduler: scheduler.plan(1.0, 1.0))
        check_ms = measure(lambda number, scheduler=scheduler: scheduler.plan(2.0 + number, 2.0))
        print(
            f"{n_workers} workers, {n_tasks} tasks: plan {plan_ms:.3f} ms, look {check_ms:.3f} ms"
        )
        scheduler = make_busy_scheduler(n_workers, n_tasks)
        add_waiting_jobs(scheduler, N_WAITING)
        busy_ms = measure(lambda number, cell=scheduler: report_end_and_plan(cell, number))
        print(f"  beside {N_WAITING} waiting jobs: end of a task and its plan {busy_ms:.3f} ms")


if __name__ == "__main__":
    main()
