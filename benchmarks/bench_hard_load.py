"""Benchmark of the decisions under hard load.

    .venv/bin/python benchmarks/bench_hard_load.py

A forecast of the backlog is made at most five times a second on the leader, an admission is decided
in each submission. The waiting jobs are sorted in each plan, hundreds a second, and reviewed ten
times a second.
"""

import time
from random import Random

from anvilflow.admission import (
    AdmissionGate,
    BacklogReport,
    BacklogTracker,
    JobRequest,
    QueueWait,
)
from anvilflow.jobs import (
    CellConfig,
    ClientAccount,
    JobSpec,
    Queue,
    Scheduler,
    SchedulingPolicy,
    StartRun,
    StepSpec,
    WorkerInfo,
    WorkerReport,
)

#: Processor time used to measure each figure. Unit: seconds.
BUDGET_S = 1.0

#: Jobs, workers and accounts of a cell in which most jobs wait.
N_JOBS = 1000
N_WORKERS = 176
N_ACCOUNTS = 20

#: Accounts of the jobs that are sorted, of which some have sent more than their rates allow.
N_SORTED_ACCOUNTS = 250
N_LOUD_ACCOUNTS = 10

QUEUES = tuple(
    Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service="s",
        priority=priority,
        stretch=2.0,
        target_latency_s=1.0,
    )
    for name, priority in (("quick", 0), ("order", 2))
)


def measure(call):
    """Return the mean processor time of a call. Unit: seconds."""
    began = time.process_time()
    n_calls = 0
    while time.process_time() - began < BUDGET_S:
        call(n_calls)
        n_calls += 1
    return (time.process_time() - began) / n_calls


def make_full_scheduler():
    """Return a scheduler whose workers are full and most of whose jobs wait."""
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0)
    scheduler.configure(CellConfig(version=1, queues=QUEUES))
    for number in range(N_WORKERS):
        info = WorkerInfo(
            registry_id=f"w{number}",
            address="a:1",
            service="s",
            failure_domain="z",
            kind="a",
            rack="r",
            labels=(),
            cpu_milli=64_000,
            memory_mb=131_072,
            accelerators=0,
        )
        scheduler.worker_listed(info, 0.0)
        report = WorkerReport(clock_s=0.0, active=(), ended=())
        scheduler.report(info.worker_id, report, requested_at=0.0, now=0.0)
    accounts = [ClientAccount(name=f"a{number}") for number in range(N_ACCOUNTS)]
    first = StepSpec(n_tasks=14, cpu_milli=9_000, estimate_s=4.0)
    second = StepSpec(n_tasks=14, cpu_milli=9_000, estimate_s=4.0, after=(0,))
    for number in range(N_JOBS):
        queue = QUEUES[number % len(QUEUES)]
        spec = JobSpec(job_id=f"{number:016x}", queue=queue.name, payload="", steps=(first, second))
        account = accounts[number % N_ACCOUNTS]
        scheduler.add_job(spec, queue, version=1, now=0.0, wall_now=0.0, account=account)
    for action in scheduler.plan(0.0, 0.0):
        if isinstance(action, StartRun):
            scheduler.start_answered(action.worker_id, action.task, action.run_id, "started", 0.0)
    return scheduler


def bench_forecast():
    """Print the time of a forecast."""
    scheduler = make_full_scheduler()
    tracker = BacklogTracker()
    seconds = measure(lambda number: tracker.update(scheduler, float(number)))
    n_runs = sum(len(worker.runs) for worker in scheduler.workers.values())
    print(f"forecast of {N_JOBS} jobs, {n_runs} running tasks: {1e3 * seconds:.3f} ms")


class _FixedClock:
    def seconds(self):
        return 0.0


def bench_admission():
    """Print the time of a decision and of a refusal."""
    gate = AdmissionGate(clock=_FixedClock())
    waits = tuple(
        QueueWait(
            service="s",
            priority=priority,
            wait_s=60.0,
            guaranteed_wait_s=50.0,
            rate_milli=8e6,
            inflow=0.5,
            objective_s=10.0,
        )
        for priority in range(3)
    )
    report = BacklogReport(waits=waits, excess_accounts=frozenset({"a"}), n_instances=40)
    gate.record_report(report)
    request = JobRequest(
        service="s", priority=2, objective_s=10.0, chain_s=4.0, work=1e6, account="a", weight=1.0
    )
    seconds = measure(lambda _: gate.decide(request, factor=3.0))
    print(f"admission decided: {1e6 * seconds:.1f} us")
    refusal = gate.decide(request, factor=3.0)
    seconds = measure(lambda _: gate.note_refused(request, refusal))
    print(f"refusal noted: {1e6 * seconds:.1f} us")


def make_waiting_scheduler(shares):
    """Return a scheduler with waiting jobs of many accounts, a quarter of them of loud ones."""
    random = Random(0)
    scheduler = Scheduler(term=1, lease_s=3.0, now=0.0, policy=SchedulingPolicy(shares=shares))
    accounts = [ClientAccount(name=f"a{number}") for number in range(N_SORTED_ACCOUNTS)]
    for number in range(N_JOBS):
        steps = tuple(
            StepSpec(
                n_tasks=random.randint(1, 40),
                cpu_milli=random.randint(1000, 30_000),
                estimate_s=random.uniform(0.5, 6.0),
                after=(step - 1,) if step else (),
            )
            for step in range(2)
        )
        spec = JobSpec(job_id=f"{number:016x}", queue="order", payload="", steps=steps)
        among = accounts[:N_LOUD_ACCOUNTS] if number % 4 == 0 else accounts
        scheduler.add_job(
            spec,
            QUEUES[1],
            version=number,
            now=number / 100,
            wall_now=0.0,
            account=random.choice(among),
        )
    return scheduler


def bench_sort():
    """Print the time to sort all waiting jobs by urgency, without and with shares."""
    for shares in ("off", "on"):
        scheduler = make_waiting_scheduler(shares)
        jobs = list(scheduler.jobs.values())
        urgency = scheduler.urgency
        seconds = measure(
            lambda _, jobs=jobs, urgency=urgency: sorted(jobs, key=lambda job: urgency(job, 11.0))
        )
        print(f"sort of {N_JOBS} jobs, shares {shares}: {1e3 * seconds:.3f} ms")


def bench_review():
    """Print the time to review all waiting jobs, and to estimate the remaining work of one."""
    scheduler = make_waiting_scheduler("on")
    jobs = list(scheduler.jobs.values())
    shares = scheduler.shares
    seconds = measure(lambda number: shares.review(jobs, 11.0 + number))
    print(f"review of {N_JOBS} jobs, {N_SORTED_ACCOUNTS} accounts: {1e3 * seconds:.3f} ms")

    def estimate(number):
        job = jobs[number % N_JOBS]
        job.standing.expires_at = float("-inf")
        shares.rank(job, 11.0)

    print(f"estimate of one job: {1e6 * measure(estimate):.1f} us")


def main():
    """Measure and print all figures."""
    bench_forecast()
    bench_admission()
    bench_sort()
    bench_review()


if __name__ == "__main__":
    main()
