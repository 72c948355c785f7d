"""Soaks by hand: ``python -m soak --first 1 --seeds 50 --jobs 4``; with ``--seed 7``, just one."""

import random
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from ._run import run_seed

#: A process that plays one seed and has not ended after this time hangs. Unit: seconds.
LONGEST_S = 240

FOLDER = Path("out/soak")

#: Options of a seed that failed once, by the word after its number.
_OPTIONS = {"config": ("--config=True",), "series": ("--config=True", "--series=2")}


def one(seed, folder=None, config=False, instances=5, series=0):
    """Play one seed; exit with 1 when a promise was broken.

    With `config`, only faults that leave most instances calm, and what they make of the operator's
    changes is checked more often. With `series`, so many faults besides that come several times.
    """
    verdict = run_seed(
        seed,
        folder or FOLDER / str(seed),
        only_config=config,
        n_instances=instances,
        n_series=series,
    )
    print(
        f"seed {seed}: {verdict.n_accepted} of {verdict.n_jobs} jobs, {verdict.n_runs} runs, "
        f"{verdict.n_configs} configurations, {verdict.n_config_checked} answers by them checked"
    )
    for line in verdict.broken:
        print(f"  {line}")
    sys.exit(1 if verdict.broken else 0)


def many(first=None, seeds=8, jobs=4, config=False, instances=5, series=0):
    """Play several seeds side by side, fresh ones without `first`; keep the logs of bad ones."""
    first = random.SystemRandom().randrange(10**6) if first is None else first
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        options = [f"--config={config}", f"--instances={instances}", f"--series={series}"]
        results = list(pool.map(lambda seed: _play(seed, *options), range(first, first + seeds)))
    bad = [seed for seed, is_good in results if not is_good]
    print(f"{seeds} seeds from {first}: {len(bad)} broken {bad}")
    sys.exit(1 if bad else 0)


def regressions(jobs=4):
    """Play every seed that ever failed, as ``soak/seeds.txt`` lists them."""
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
        done = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST_S)
        output, is_good = done.stdout + done.stderr[-2000:], done.returncode == 0
    except subprocess.TimeoutExpired:
        output, is_good = f"seed {seed}: not ended after {LONGEST_S} s\n", False
    print(output, end="", flush=True)
    if is_good:
        shutil.rmtree(folder, ignore_errors=True)
    return seed, is_good


if __name__ == "__main__":
    fire.Fire({"one": one, "many": many, "regressions": regressions})
