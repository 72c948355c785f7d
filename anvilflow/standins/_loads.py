"""Loads to play: four kinds of jobs on two services, usual, heavy, with slow workers."""

from ..jobs import AdviceRules, Queue
from ._load_kinds import LoadKind
from ._load_play import LoadPlay, make_workers

#: Workers of the two services, and how many of each are slow, six times, in the load that has such.
N_CPU = 18
N_ACCELERATORS = 8
N_WIDE = 270
SLOW = ("cpu-0", "cpu-1", "accelerators-0")
SLOW_SPEED = 1 / 6

#: Jobs of the heavy load in times of the usual one.
HEAVY_TIMES = 1.3

#: How long jobs come, and how long the load is played. Unit: seconds.
LENGTH_S = 40.0
PLAYED_S = 75.0

#: The same for the load on many workers, and the instances that carry its asks.
WIDE_LENGTH_S = 12.0
WIDE_PLAYED_S = 30.0
N_WIDE_ADVISERS = 97


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


def make_processor_kinds(times):
    """Return quick work and orders of two steps, with `times` the jobs of a usual load."""
    return (
        LoadKind(
            queue=_queue("quick", "cpu", 0, 1.5, 0.25, 0.024, 0.00021),
            per_s=7.2 * times,
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
            per_s=0.4 * times,
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


def make_accelerator_kinds(times):
    """Return large tasks that few workers may run, and small ones, with `times` the usual jobs."""
    return (
        LoadKind(
            queue=_queue("large", "accelerators", 1, 2.2, 1.0, 0.85, 0.0076),
            per_s=0.735 * times,
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
            per_s=0.76 * times,
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


def make_wide_kinds(times):
    """Return quick work and orders for some hundred workers, with `times` the usual jobs."""
    return (
        LoadKind(
            queue=_queue("quick", "wide", 0, 1.5, 0.25, 0.0364, 0.00052),
            per_s=21.0 * times,
            n_tasks=7.5,
            work_s=0.64,
            worth=0.54,
            cpu_milli=3_600,
            memory_mb=7_300,
            good=0.7,
        ),
        LoadKind(
            queue=_queue("order", "wide", 2, 2.2, 1.2, 0.546, 0.0078),
            per_s=2.8 * times,
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


def make_wide_workers():
    """Return as many workers as that load fills to some four fifths."""
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


def play_load(load, policy, seed):
    """Return the share of all worth that callers got under a policy.

    Parameters
    ----------
    load : {"usual", "heavy", "slow workers", "wide"}
    policy : SchedulingPolicy
    seed : int
    """
    if load == "wide":
        return _share(_make_wide_load(policy, seed), WIDE_PLAYED_S)
    times = HEAVY_TIMES if load == "heavy" else 1.0
    workers = make_workers(N_CPU, service="cpu", cpu_milli=64_000, memory_mb=131_072)
    played = LoadPlay(
        kinds=make_processor_kinds(times) + make_accelerator_kinds(times),
        workers=workers + make_accelerator_workers(),
        policy=policy,
        length_s=LENGTH_S,
        speeds=dict.fromkeys(SLOW, SLOW_SPEED) if load == "slow workers" else None,
        random_state=seed,
    )
    return _share(played, PLAYED_S)


def _make_wide_load(policy, seed):
    return LoadPlay(
        kinds=make_wide_kinds(1.0),
        workers=make_wide_workers(),
        policy=policy,
        n_advice_callers=N_WIDE_ADVISERS,
        length_s=WIDE_LENGTH_S,
        random_state=seed,
    )


def _share(played, until_s):
    """Play a load; return the share of all worth that callers got."""
    results = played.play(until_s).values()
    return sum(each.earned for each in results) / sum(each.owed for each in results)
