"""Runs many seeds and prints the totals of their reports.

``python -m anvilflow.chaos run --first 0 --seeds 50 --out FILE``, then
``python -m anvilflow.chaos total FILE...``; ``make chaos`` runs several at once.
"""

import sys
from collections import Counter
from pathlib import Path

import fire

from ..utils import decode, encode
from ._run import ChaosReport, run_seed


def run(seeds=1000, first=0, out=None):
    """Run seeds `first` to `first + seeds - 1`; exit with 1 when an invariant was violated.

    With `out`, the reports are written to this file instead, and the exit status is 0.
    """
    reports = []
    for seed in range(first, first + seeds):
        report = run_seed(seed)
        reports.append(report)
        for line in report.broken[:3]:
            print(f"seed {seed} BROKEN {line}")
        sys.stdout.flush()
    if out is not None:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        Path(out).write_bytes(encode(reports))
        return
    _print_totals_and_exit(reports)


def total(*files):
    """Add up the reports in files; exit with 1 when an invariant was violated."""
    reports = []
    for file in files:
        reports += decode(Path(file).read_bytes(), list[ChaosReport])
    _print_totals_and_exit(reports)


def _print_totals_and_exit(reports):
    faults, operations, checked = Counter(), Counter(), Counter()
    for report in reports:
        faults.update(report.faults)
        operations.update(report.operations)
        checked.update(report.checked)
    for title, counts in (("Faults", faults), ("Operations", operations), ("Checked", checked)):
        print(f"{title}, {sum(counts.values())} in all:")
        for name, count in sorted(counts.items()):
            print(f"  {name}: {count}")
    broken = sorted(report.seed for report in reports if report.broken)
    print(f"{len(reports)} seeds, {len(broken)} with a broken promise: {broken[:20]}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire({"run": run, "total": total})
