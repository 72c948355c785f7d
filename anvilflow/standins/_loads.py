"""Loads to play: four kinds of jobs on two services, usual, heavy, with slow workers."""

from ..jobs import AdviceRules, Queue
from ._load_kinds import LoadKind
from ._load_play import LoadPlay, make_workers

#: Workers of the two services, and how many of each are slow, six times, in the load that has such.
N_CPU = 18
N_ACCELERATORS = 8
SLOW = ("cpu-0", "cpu-1", "accelerators-0")
SLOW_SPEED = 1 / 6

#: Jobs of the heavy load in times of the usual one.
HEAVY_TIMES = 1.3

#: How long jobs come, and how long the load is played. Unit: seconds.
LENGTH_S = 40.0
PLAYED_S = 75.0


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
    load : {"usual", "heavy", "slow workers"}
    policy : SchedulingPolicy
    seed : int
    """
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
    results = played.play(PLAYED_S).values()
    return sum(each.earned for each in results) / sum(each.owed for each in results)
