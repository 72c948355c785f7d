"""Compare the resource use of idle daemons with the budget in the users' requirements."""

import json
import statistics
import sys
from pathlib import Path

import fire

BUDGET = {"cpu": 0.013, "memory_mb": 128.0, "bytes_s": 17_000.0}


def main(path):
    """Print minimum, median and maximum of all daemons; exit with 1 if one exceeds its budget."""
    rows = [json.loads(line) for line in Path(path).read_text().splitlines()]
    for row in rows:
        row["bytes_s"] = row["http_bytes_s"] + row["peer_bytes_s"]
    exceeds_budget = False
    print(f"{len(rows)} daemons {'min':>10} {'median':>10} {'max':>10} {'budget':>10}")
    for name, budget in BUDGET.items():
        values = [row[name] for row in rows]
        exceeds_budget = exceeds_budget or max(values) > budget
        figures = (min(values), statistics.median(values), max(values), budget)
        print(f"{name:9}" + "".join(f" {value:10.4f}" for value in figures))
    sys.exit(1 if exceeds_budget else 0)


if __name__ == "__main__":
    fire.Fire(main)
