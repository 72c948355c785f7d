"""Loads to simulate: usual, heavy, with slow workers, on many workers, bound by memory, crowded by
loud accounts, and on workers of uneven speeds."""

from msgspec import structs

from ..jobs import AdviceRules, ClientAccount, Queue
from ._load_kinds import Burst, LoadKind
from ._load_simulation import LoadSimulation, make_workers

#: Numbers of workers of the two services and of the wide load, and the workers that are slow by a
#: factor of six in the load "slow workers".
N_CPU = 18
N_ACCELERATORS = 8
N_WIDE = 270
SLOW_WORKERS = ("cpu-0", "cpu-1", "accelerators-0")
SLOW_SPEED = 1 / 6

#: Workers of the loads "memory" and "memory heavy", their relative sizes, and the speed of the fast
#: ones.
N_MEMORY = 44
WORKER_SIZES = (1.0, 1.0, 0.5, 2.0)
FAST_SPEED = 1.3

#: Workers of the loads "crowded" and "uneven", the instances that make their advice requests, and
#: the speeds of the workers of the latter, of which every third is slow.
N_CROWDED = 44
N_CROWDED_ADVICE_CALLERS = 10
UNEVEN_SPEEDS = (1 / 0.7, 1 / 0.7, 1 / 1.7)

#: Accounts of the crowded load and the jobs a second that each is guaranteed.
CROWDED_WEIGHTS = (4.25, 2.0, 1.25, 1.0, 0.75, 0.5, 0.5, 0.5, 0.25, 0.25, 0.25, 0.25)

#: Job rate of the heavy load, relative to the usual load.
HEAVY_LOAD_FACTOR = 1.3

#: Time during which jobs arrive, and simulated time. Unit: seconds.
LENGTH_S = 40.0
SIMULATED_S = 75.0

#: The same for the load on many workers, and the instances that make its advice requests.
WIDE_LENGTH_S = 12.0
WIDE_SIMULATED_S = 30.0
N_WIDE_ADVICE_CALLERS = 97


def _queue(name, service, priority, stretch, target_latency_s, base_s, per_worker_s):
    return Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service=service,
        priority=priority,
        max_attempts=4,
        stretch=stretch,
        target_latency_s=target_latency_s,
        advice=AdviceRules(base_s=base_s, per_worker_s=per_worker_s, valid_s=2.0),
    )


def make_processor_kinds(load_factor):
    """Return quick jobs and orders of two steps, at `load_factor` times the usual rate."""
    return (
        LoadKind(
            queue=_queue("quick", "cpu", 0, 1.5, 0.25, 0.024, 0.00021),
            per_s=7.2 * load_factor,
            n_tasks=6,
            work_s=0.7,
            worth=0.61,
            cpu_milli=6_100,
            memory_mb=8_700,
            good=0.7,
            speculative=0.3,
        ),
        LoadKind(
            queue=_queue("order", "cpu", 2, 4.0, 3.0, 0.24, 0.0021),
            per_s=0.4 * load_factor,
            n_tasks=14,
            n_steps=2,
            work_s=3.6,
            worth=3.9,
            estimate_off=0.2,
            cpu_milli=13_000,
            memory_mb=19_000,
            checkpointing=0.8,
            good=0.45,
        ),
    )


def make_accelerator_kinds(load_factor):
    """Return large jobs for few workers and small jobs, at `load_factor` times the usual rate."""
    return (
        LoadKind(
            queue=_queue("large", "accelerators", 1, 2.2, 1.0, 0.85, 0.0076),
            per_s=0.735 * load_factor,
            n_tasks=1.2,
            work_s=4.5,
            worth=3.4,
            cpu_milli=31_000,
            memory_mb=160_000,
            accelerators=(2, 4, 8, 8),
            checkpointing=0.9,
            good=0.3,
        ),
        LoadKind(
            queue=_queue("small", "accelerators", 2, 4.0, 3.0, 0.24, 0.0022),
            per_s=0.76 * load_factor,
            n_tasks=7.5,
            work_s=2.4,
            worth=2.1,
            estimate_off=0.9,
            cpu_milli=5_600,
            memory_mb=16_000,
            accelerators=(1,),
            checkpointing=0.8,
            good=0.45,
        ),
    )


def make_wide_kinds(load_factor):
    """Return quick jobs and orders for 270 workers, at `load_factor` times the usual rate."""
    return (
        LoadKind(
            queue=_queue("quick", "wide", 0, 1.5, 0.25, 0.0364, 0.00052),
            per_s=21.0 * load_factor,
            n_tasks=7.5,
            work_s=0.64,
            worth=0.54,
            cpu_milli=3_600,
            memory_mb=7_300,
            good=0.7,
        ),
        LoadKind(
            queue=_queue("order", "wide", 2, 2.2, 1.2, 0.546, 0.0078),
            per_s=2.8 * load_factor,
            n_tasks=13,
            n_steps=2,
            work_s=6.0,
            worth=2.3,
            estimate_off=0.2,
            cpu_milli=4_500,
            memory_mb=17_000,
            checkpointing=0.8,
            good=0.35,
        ),
    )


def make_memory_kinds(load_factor):
    """Return quick jobs and orders that need as much memory as processor; estimates are poor."""
    return (
        LoadKind(
            queue=_queue("quick", "memory", 0, 1.5, 0.3, 0.048, 0.00043),
            per_s=3.6 * load_factor,
            n_tasks=9.5,
            work_s=0.8,
            worth=0.635,
            estimate_off=0.2,
            cpu_milli=4_500,
            memory_mb=8_200,
            demand_spread=0.5,
            good=0.7,
            speculative=0.3,
        ),
        LoadKind(
            queue=_queue("order", "memory", 2, 2.2, 1.2, 0.79, 0.007),
            per_s=0.75 * load_factor,
            n_tasks=14,
            n_steps=2,
            work_s=6.0,
            worth=3.01,
            estimate_off=0.9,
            cpu_milli=9_000,
            memory_mb=17_000,
            demand_spread=0.45,
            checkpointing=0.8,
            good=0.35,
        ),
    )


def make_memory_workers():
    """Return workers of four sizes and two kinds; those of kind ``b`` are fast."""
    return _make_sized_workers(N_MEMORY, service="memory", cpu_milli=32_000, memory_mb=65_536)


def _make_memory_load(policy, seed, load_factor):
    workers = make_memory_workers()
    return LoadSimulation(
        kinds=make_memory_kinds(load_factor),
        workers=workers,
        policy=policy,
        n_advice_callers=18,
        length_s=LENGTH_S,
        speeds={each.worker_id: FAST_SPEED for each in workers if each.kind == "b"},
        random_state=seed,
    )


def make_crowded_kinds(load_factor=1.0):
    """Return quick jobs and large orders of several accounts; callers ask for twice the capacity.

    For some seconds two accounts send quick jobs at five times their usual rate, and orders come at
    more than twice their usual rate.
    """
    accounts = tuple(
        ClientAccount(name=f"account-{number}", weight=weight)
        for number, weight in enumerate(CROWDED_WEIGHTS)
    )
    loud = (
        Burst(begins_at=6.0, ends_at=12.0, factor=5.0, account="account-0"),
        Burst(begins_at=7.0, ends_at=13.0, factor=5.0, account="account-4"),
    )
    return (
        LoadKind(
            queue=_queue("quick", "crowded", 0, 1.5, 0.25, 0.0374, 0.00034),
            per_s=4.5 * load_factor,
            n_tasks=9.5,
            n_steps=2,
            work_s=0.64,
            worth=0.63,
            cpu_milli=8_900,
            memory_mb=13_000,
            demand_spread=0.45,
            good=0.7,
            speculative=0.3,
            accounts=accounts,
            bursts=(Burst(begins_at=5.0, ends_at=9.0, factor=2.1), *loud),
        ),
        LoadKind(
            queue=_queue("order", "crowded", 2, 2.2, 1.2, 0.811, 0.00728),
            per_s=0.73 * load_factor,
            n_tasks=21,
            n_steps=2,
            work_s=3.8,
            worth=3.84,
            cpu_milli=18_000,
            memory_mb=19_000,
            demand_spread=0.4,
            checkpointing=0.8,
            good=0.35,
            accounts=accounts,
            bursts=(
                Burst(begins_at=3.0, ends_at=9.5, factor=2.4),
                Burst(begins_at=21.0, ends_at=25.0, factor=1.6),
            ),
        ),
    )


def make_uneven_kinds(load_factor=1.0):
    """Return quick jobs and orders of which few tasks take seven times as long as the others."""
    return (
        LoadKind(
            queue=_queue("quick", "uneven", 0, 1.5, 0.25, 0.0374, 0.00034),
            per_s=5.25 * load_factor,
            n_tasks=9.5,
            n_steps=2,
            work_s=0.54,
            worth=0.63,
            cpu_milli=4_500,
            memory_mb=8_200,
            demand_spread=0.45,
            good=0.7,
            speculative=0.3,
            tail_share=0.03,
            tail_factor=7.0,
            bursts=(Burst(begins_at=8.0, ends_at=12.0, factor=2.1),),
        ),
        LoadKind(
            queue=_queue("order", "uneven", 2, 2.2, 1.2, 0.79, 0.00702),
            per_s=0.51 * load_factor,
            n_tasks=17,
            n_steps=2,
            work_s=4.1,
            worth=3.72,
            cpu_milli=9_000,
            memory_mb=13_000,
            demand_spread=0.4,
            checkpointing=0.8,
            good=0.35,
            tail_share=0.03,
            tail_factor=7.0,
            bursts=(Burst(begins_at=20.0, ends_at=24.0, factor=1.7),),
        ),
    )


def _make_sized_workers(n_workers, **values):
    """Return workers of four sizes and two kinds; every third is of kind ``b``."""
    return [
        structs.replace(
            worker,
            cpu_milli=int(worker.cpu_milli * WORKER_SIZES[number % len(WORKER_SIZES)]),
            memory_mb=int(worker.memory_mb * WORKER_SIZES[number % len(WORKER_SIZES)]),
            kind="b" if number % 3 == 2 else "a",
        )
        for number, worker in enumerate(make_workers(n_workers, **values))
    ]


def make_crowded_load(policy, seed, load_factor=1.0):
    """Return the simulation of the load "crowded"."""
    return LoadSimulation(
        kinds=make_crowded_kinds(load_factor),
        workers=_make_sized_workers(
            N_CROWDED, service="crowded", cpu_milli=54_000, memory_mb=111_000
        ),
        policy=policy,
        n_advice_callers=N_CROWDED_ADVICE_CALLERS,
        length_s=LENGTH_S,
        random_state=seed,
    )


def make_uneven_load(policy, seed, load_factor=1.0):
    """Return the simulation of the load "uneven"."""
    workers = _make_sized_workers(N_CROWDED, service="uneven", cpu_milli=26_000, memory_mb=54_000)
    speeds = {
        worker.worker_id: UNEVEN_SPEEDS[number % len(UNEVEN_SPEEDS)]
        for number, worker in enumerate(workers)
    }
    return LoadSimulation(
        kinds=make_uneven_kinds(load_factor),
        workers=workers,
        policy=policy,
        n_advice_callers=N_CROWDED_ADVICE_CALLERS,
        length_s=LENGTH_S,
        speeds=speeds,
        random_state=seed,
    )


def make_wide_workers():
    """Return the workers of the wide load, which uses about four fifths of their capacity."""
    return make_workers(N_WIDE, service="wide", cpu_milli=16_000, memory_mb=65_536)


def make_accelerator_workers():
    """Return the workers that have accelerators."""
    return make_workers(
        N_ACCELERATORS,
        service="accelerators",
        cpu_milli=64_000,
        memory_mb=262_144,
        accelerators=8,
    )


def simulate_load(load, policy, seed):
    """Return the share of the total worth that callers got under a policy.

    Parameters
    ----------
    load : {"usual", "heavy", "slow workers", "wide", "memory", "memory heavy", "crowded", "uneven"}
    policy : SchedulingPolicy
    seed : int
    """
    if load == "wide":
        return _earned_share(_make_wide_load(policy, seed), WIDE_SIMULATED_S)
    if load in ("crowded", "uneven"):
        make_load = make_crowded_load if load == "crowded" else make_uneven_load
        return _earned_share(make_load(policy, seed), SIMULATED_S)
    if load.startswith("memory"):
        load_factor = HEAVY_LOAD_FACTOR if load.endswith("heavy") else 1.0
        return _earned_share(_make_memory_load(policy, seed, load_factor), SIMULATED_S)
    load_factor = HEAVY_LOAD_FACTOR if load == "heavy" else 1.0
    workers = make_workers(N_CPU, service="cpu", cpu_milli=64_000, memory_mb=131_072)
    simulation = LoadSimulation(
        kinds=make_processor_kinds(load_factor) + make_accelerator_kinds(load_factor),
        workers=workers + make_accelerator_workers(),
        policy=policy,
        length_s=LENGTH_S,
        speeds=dict.fromkeys(SLOW_WORKERS, SLOW_SPEED) if load == "slow workers" else None,
        random_state=seed,
    )
    return _earned_share(simulation, SIMULATED_S)


def _make_wide_load(policy, seed):
    return LoadSimulation(
        kinds=make_wide_kinds(1.0),
        workers=make_wide_workers(),
        policy=policy,
        n_advice_callers=N_WIDE_ADVICE_CALLERS,
        length_s=WIDE_LENGTH_S,
        random_state=seed,
    )


def _earned_share(simulation, until_s):
    """Run a simulation; return the share of the total worth that callers got."""
    results = simulation.run_until(until_s).values()
    return sum(each.earned for each in results) / sum(each.owed for each in results)
