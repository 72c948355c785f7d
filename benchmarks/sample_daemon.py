"""Print what a daemon spent over a while, as one line of JSON."""

import json
import os
import time
import urllib.request
from pathlib import Path

import fire

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def traffic(operators):
    """Return calls, bytes, peer messages, table records and tasks, from the dump."""
    with urllib.request.urlopen(f"http://{operators}/dump", timeout=10) as answer:
        dump = json.load(answer)
    links = dump["parts"]["peers"].values()
    return {
        "http_calls": sum(item["calls"] for item in dump["http"].values()),
        "http_bytes": sum(item["bytes"] for item in dump["http"].values()),
        "peer_messages": sum(link["sent"] + link["received"] for link in links),
        "peer_bytes": sum(link["bytes_out"] + link["bytes_in"] for link in links),
        "transactions": dump["parts"]["store"]["transactions"],
        "records": dump["parts"]["store"]["records"],
    }, dump["parts"]["owner"]["tasks"]


def main(pid, name, value, operators, seconds=10.0):
    """Sample."""
    before, _ = traffic(operators)
    cpu, began = cpu_seconds(pid), time.monotonic()
    time.sleep(seconds)
    spent, elapsed = cpu_seconds(pid) - cpu, time.monotonic() - began
    after, n_tasks = traffic(operators)
    row = {"name": name, "value": value, "cpu": spent / elapsed, "memory_mb": memory_mb(pid)}
    row |= {f"{key}_s": (after[key] - before[key]) / elapsed for key in after}
    row["tasks"] = n_tasks
    print(json.dumps({key: round(item, 5) if key != "name" else item for key, item in row.items()}))


if __name__ == "__main__":
    fire.Fire(main)
