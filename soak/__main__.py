"""Command line of the soak.

``python -m soak many --first 1 --seeds 50 --jobs 4`` runs several seeds, ``python -m soak one 7``
runs one, and ``python -m soak regressions`` runs every seed that has failed before.
"""

import random
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from ._run import run_seed

#: Timeout of the process that runs one seed. Unit: seconds.
SEED_TIMEOUT_S = 240

FOLDER = Path("out/soak")

#: Command-line options of a seed in ``seeds.txt``, by the mode that follows its number.
_OPTIONS = {
    "config": ("--config=True",),
    "series": ("--config=True", "--series=2"),
    "removals": ("--removals=True",),
    "parts": ("--instances=2", "--faults=1", "--parts=4"),
}


def one(
    seed,
    folder=None,
    config=False,
    instances=5,
    workers=6,
    series=0,
    pressure=False,
    removals=False,
    faults=12,
    lapses=None,
    parts=None,
    services=0,
):
    """Run one seed; exit with status 1 if an invariant was violated.

    With `config`, only faults that leave most instances undisturbed are injected, so that the
    configuration in force is checked more often. `series` is the number of additional faults that
    are repeated in quick succession. With `pressure`, the parts of the scheduler for more work than
    capacity are in use. With `removals`, states are kept for a short time, and the leader changes
    after the rows of all jobs are removed. `faults` is the number of faults of the first group, by
    which those of the other groups are counted too, `lapses` that of the faults of the registry,
    `parts` that of the failures of parts beside a lossy store, `services` that of the long-running
    jobs that fail until all faults have ended.
    """
    verdict = run_seed(
        seed,
        folder or FOLDER / str(seed),
        only_config=config,
        n_instances=instances,
        n_workers=workers,
        n_series=series,
        expects_pressure=pressure,
        has_removals=removals,
        n_faults=faults,
        n_lapses=lapses,
        n_parts=parts,
        n_services=services,
    )
    print(
        f"seed {seed}: {verdict.n_accepted} of {verdict.n_jobs} jobs, {verdict.n_runs} runs, "
        f"{verdict.n_configs} configurations, {verdict.n_config_checked} answers by them checked"
    )
    for line in verdict.broken:
        print(f"  {line}")
    sys.exit(1 if verdict.broken else 0)


def many(first=None, seeds=8, jobs=4, **options):
    """Run several seeds in parallel, by default from a random one; keep logs of failed ones.

    `options` are those of :func:`one`.
    """
    first = random.SystemRandom().randrange(10**6) if first is None else first
    options = [f"--{name}={value}" for name, value in options.items()]
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        results = list(pool.map(lambda seed: _play(seed, *options), range(first, first + seeds)))
    bad = [seed for seed, is_good in results if not is_good]
    print(f"{seeds} seeds from {first}: {len(bad)} broken {bad}")
    sys.exit(1 if bad else 0)


def regressions(jobs=4):
    """Run every seed that has failed before, as listed in ``soak/seeds.txt``."""
    lines = (Path(__file__).parent / "seeds.txt").read_text(encoding="utf-8").splitlines()
    cases = [line.split()[:2] for line in lines if line and not line.startswith("#")]
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        results = list(pool.map(_play_case, cases))
    bad = [seed for seed, is_good in results if not is_good]
    print(f"{len(cases)} seeds that failed once: {len(bad)} broken {bad}")
    sys.exit(1 if bad else 0)


def _play_case(case):
    seed, mode = case
    return _play(int(seed), *_OPTIONS.get(mode, ()))


def _play(seed, *options):
    folder = FOLDER / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    command = [sys.executable, "-m", "soak", "one", str(seed), *options]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=SEED_TIMEOUT_S)
        output, is_good = done.stdout + done.stderr[-2000:], done.returncode == 0
    except subprocess.TimeoutExpired:
        output, is_good = f"seed {seed}: not ended after {SEED_TIMEOUT_S} s\n", False
    print(output, end="", flush=True)
    if is_good:
        shutil.rmtree(folder, ignore_errors=True)
    return seed, is_good


if __name__ == "__main__":
    fire.Fire({"one": one, "many": many, "regressions": regressions})
