"""What callers get from a burst of twice the capacity, by account.

    .venv/bin/python benchmarks/bench_burst.py [--seeds N]

Plays the load "crowded" on the scheduler alone, in virtual time, with the parts for hard load off
and on, and with and without the two loud accounts.
"""

import argparse
from statistics import mean, quantiles

from msgspec import structs

from anvilflow.jobs import SchedulingPolicy
from anvilflow.standins import LoadSimulation, make_crowded_load

#: Accounts that send several times their usual, and when. Unit: seconds.
LOUD_ACCOUNTS = ("account-0", "account-4")
BURST_S = (6.0, 13.0)

#: Simulated time, and interval at which the use of the workers is sampled. Unit: seconds.
SIMULATED_S = 75.0
SAMPLE_S = 0.25

POLICIES = {
    "off": SchedulingPolicy(),
    "on": SchedulingPolicy(speeds="off").resolve(expects_pressure=True),
}


def without_loud_accounts(simulation):
    """Remove the bursts of single accounts from a simulation that has not begun."""
    simulation.kinds = tuple(
        structs.replace(kind, bursts=tuple(b for b in kind.bursts if not b.account))
        for kind in simulation.kinds
    )
    return simulation


def is_waiting(scheduler, priority):
    """Whether tasks of a priority wait that could start."""
    return any(
        step.ready_at is not None and step.waiting()
        for job in scheduler.jobs.values()
        if job.queue.priority == priority and not job.is_ended
        for step in job.steps.values()
    )


def play(policy, seed, *, is_loud):
    """Play the load; return its results, the least use while tasks waited, and the last wait."""
    simulation = make_crowded_load(policy, seed)
    if not is_loud:
        # The first arrivals are drawn already; the load is made anew with other kinds.
        kinds = without_loud_accounts(simulation).kinds
        workers = [worker.info for worker in simulation.scheduler.workers.values()]
        simulation = LoadSimulation(
            kinds=kinds,
            workers=workers,
            policy=policy,
            n_advice_callers=simulation.scheduler.n_advice_callers,
            length_s=simulation.length_s,
            random_state=seed,
        )
    used, quiet_at = [], None
    now = 0.0
    while now < SIMULATED_S:
        now += SAMPLE_S
        simulation.run_until(now)
        scheduler = simulation.scheduler
        if BURST_S[0] + 1 < now < BURST_S[1] and is_waiting(scheduler, 2):
            free = sum(worker.cpu_free for worker in scheduler.workers.values())
            total = sum(worker.info.cpu_milli for worker in scheduler.workers.values())
            used.append(1 - free / total)
        if now > BURST_S[1] and quiet_at is None and not is_waiting(scheduler, 0):
            quiet_at = now
    return simulation.results, used, (quiet_at or SIMULATED_S) - BURST_S[1]


def p99(values):
    """Return the 99th percentile."""
    return quantiles(values, n=100)[98]


def measure(policy, seeds, *, is_loud):
    """Return what callers got over all seeds, by name of the figure."""
    took, shares, used, waits = [], [], [], []
    in_time = {True: [0, 0], False: [0, 0]}
    for seed in seeds:
        results, use, wait_s = play(policy, seed, is_loud=is_loud)
        quick = results["quick"]
        for account, seconds in quick.took_s.items():
            if account not in LOUD_ACCOUNTS:
                took += seconds
        for account, n_asked in quick.asked.items():
            counts = in_time[account in LOUD_ACCOUNTS]
            counts[0] += quick.in_time.get(account, 0)
            counts[1] += n_asked
        shares.append((quick.share, results["order"].share))
        used += use
        waits.append(wait_s)
    return {
        "p99 of quick jobs of quiet accounts, s": p99(took),
        "quick jobs in time, quiet accounts": in_time[False][0] / in_time[False][1],
        "quick jobs in time, loud accounts": in_time[True][0] / in_time[True][1],
        "worth of quick jobs": mean(share for share, _ in shares),
        "worth of orders": mean(share for _, share in shares),
        "mean use while orders wait in the burst": mean(used),
        "time until no quick task waits after the burst, s": mean(waits),
    }


def main():
    """Print one line for each figure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=6)
    seeds = range(parser.parse_args().seeds)
    columns = {
        f"{name}, {'loud' if is_loud else 'quiet'}": measure(policy, seeds, is_loud=is_loud)
        for name, policy in POLICIES.items()
        for is_loud in (False, True)
    }
    print("| figure | " + " | ".join(columns) + " |")
    print("|---" * (1 + len(columns)) + "|")
    for figure in next(iter(columns.values())):
        values = " | ".join(f"{column[figure]:.3f}" for column in columns.values())
        print(f"| {figure} | {values} |", flush=True)


if __name__ == "__main__":
    main()
