"""Print the resource use of a daemon over a period as one line of JSON."""

import json
import os
import time
import urllib.request
from pathlib import Path

import fire

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid):
    """Return the processor time that a process has used. Unit: seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid):
    """Return the resident memory of a process. Unit: MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def read_counters(operators):
    """Return the counters of calls, bytes and store use in a daemon's dump, and its tasks."""
    with urllib.request.urlopen(f"http://{operators}/dump", timeout=10) as response:
        dump = json.load(response)
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
    """Sample a daemon for `seconds`; print processor use, memory and the rate of each counter."""
    before, _ = read_counters(operators)
    cpu_before, began = read_cpu_s(pid), time.monotonic()
    time.sleep(seconds)
    cpu_s, elapsed = read_cpu_s(pid) - cpu_before, time.monotonic() - began
    after, n_tasks = read_counters(operators)
    row = {"name": name, "value": value, "cpu": cpu_s / elapsed, "memory_mb": read_memory_mb(pid)}
    row |= {f"{key}_s": (after[key] - before[key]) / elapsed for key in after}
    row["tasks"] = n_tasks
    print(json.dumps({key: round(item, 5) if key != "name" else item for key, item in row.items()}))


if __name__ == "__main__":
    fire.Fire(main)
