"""Time of one plan and of one look round at three sizes, with nothing to start.

    .venv/bin/python benchmarks/bench_scheduler.py

A plan follows each event: at the target some 140 starts and ends a second. Before jobs rested while
nothing of them waits, a plan took 0.056, 0.427 and 6.908 ms at these sizes on the machine on which
it takes 0.003, 0.007 and 0.048 ms since. The end of a task beside 20 waiting jobs, with its plan,
took 1.183, 30.6 and 319 ms while each plan looked at every waiting step; 0.088, 0.141 and 0.435 ms
since.
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

#: Workers and running tasks: the first sites, the grown ones, the target of CAPACITY.md.
SIZES = ((24, 200), (175, 1500), (950, 14000))

#: Tasks of one job.
N_TASKS = 7

#: Jobs that wait for room beside them, as on a busy day of 270 workers.
N_WAITING = 20

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
        scheduler.report(info.worker_id, report, requested_at=0.0, now=0.0)
    n_a_worker = -(-n_tasks // n_workers)
    step = StepSpec(n_tasks=N_TASKS, cpu_milli=16000 // n_a_worker, estimate_s=30.0)
    for number in range(n_tasks // N_TASKS):
        spec = JobSpec(job_id=f"{number:016x}", queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=0.0, wall_now=0.0)
    for action in scheduler.plan(0.0, 0.0):
        if isinstance(action, StartRun):
            scheduler.start_answered(action.worker_id, action.task, action.run_id, "started", 0.0)
    return scheduler


def add_waiting_jobs(scheduler, n_jobs):
    """Let jobs wait for room, as in a burst, that no worker has."""
    step = StepSpec(n_tasks=N_TASKS, cpu_milli=16000, estimate_s=30.0)
    for number in range(n_jobs):
        spec = JobSpec(job_id=f"{10**6 + number:016x}", queue="q", payload="", steps=(step,))
        scheduler.add_job(spec, QUEUE, version=1, now=1.0, wall_now=1.0)
    scheduler.plan(1.0, 1.0)


def plan_after_a_report(scheduler, number):
    """Plan after one of the workers has told of the end of a task."""
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
        scheduler = make_busy_scheduler(n_workers, n_tasks)
        add_waiting_jobs(scheduler, N_WAITING)
        busy_ms = measure(lambda number, cell=scheduler: plan_after_a_report(cell, number))
        print(f"  beside {N_WAITING} waiting jobs: end of a task and its plan {busy_ms:.3f} ms")


if __name__ == "__main__":
    main()
