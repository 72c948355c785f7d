"""Run many seeds: ``python -m anvilflow.chaos --seeds 1000``."""

import sys
from collections import Counter

import fire

from ._run import run_seed

_PROGRESS_EVERY = 25


def main(seeds=1000, first=0):
    """Run seeds `first` to `first + seeds - 1`; exit with 1 when a promise was broken."""
    faults, operations, checked, broken = Counter(), Counter(), Counter(), []
    for seed in range(first, first + seeds):
        report = run_seed(seed)
        faults.update(report.faults)
        operations.update(report.operations)
        checked.update(report.checked)
        if report.broken:
            broken.append(seed)
            print(f"seed {seed} BROKEN: {report.broken[:3]}")
        if (seed - first + 1) % _PROGRESS_EVERY == 0:
            print(f"{seed - first + 1} of {seeds} seeds, {len(broken)} broken")
            sys.stdout.flush()
    for title, counts in (("Faults", faults), ("Operations", operations), ("Checked", checked)):
        print(f"{title}: " + ", ".join(f"{name} {n}" for name, n in sorted(counts.items())))
    print(f"{seeds} seeds, {len(broken)} with a broken promise: {broken[:20]}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
