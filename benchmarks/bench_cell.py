"""Benchmark of the cell's costs and start delays under one virtual minute of a steady load.

Prints processor time per task start, store calls and bytes written per job, calls to workers per
start, and the time from the acceptance of a job to the start of its first step's tasks. The leader,
the gateways and the stand-ins share one process: its processor time is only meaningful in
comparison with another version of the code.
"""

import time

from hdrh.histogram import HdrHistogram

from anvilflow.metrics import summarize
from anvilflow.standins import PlatformCell, make_job_body

#: Load: jobs per second of two steps with six tasks each, as in the quick queue of current sites.
JOBS_PER_S = 7
SECONDS = 60
STEPS = [
    {"count": 6, "cpu": 1300, "estimate-ms": 800},
    {"count": 6, "cpu": 1300, "estimate-ms": 800, "after": [0]},
]


def main():
    """Run the load and print the figures."""
    cell = PlatformCell(n_instances=9, n_workers=24)
    cell.start()
    calls_before = sum(cell.wire.calls.values())
    writes_before, reads_before = cell.store.n_writes, cell.store.n_reads
    bytes_before = sum(len(entry[5] or b"") for entry in cell.store.log)
    began = time.process_time()
    accepted = {}
    for number in range(JOBS_PER_S * SECONDS):
        job_id = f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
        gateway = f"a{number % 9}"
        body = make_job_body(*STEPS, spec="0.8 done 1300")
        cell.call(gateway, "POST", f"/urgent/{job_id}", body)
        accepted[job_id] = cell.clock.seconds()
        cell.advance(1 / JOBS_PER_S)
    cell.advance(5.0)
    cpu_s = time.process_time() - began
    _print_figures(cell, accepted, cpu_s, calls_before, writes_before, reads_before, bytes_before)


def _print_figures(cell, accepted, cpu_s, calls_before, writes_before, reads_before, bytes_before):
    waits = HdrHistogram(1, 3_600_000_000, 2)
    for span in cell.spans:
        job_id, _, step, _ = span.task.split(".")
        if step == "0":
            waits.record_value(max(1, int((span.began_at - accepted[job_id]) * 1e6)))
    n_starts, n_jobs = len(cell.spans), len(accepted)
    n_bytes = sum(len(entry[5] or b"") for entry in cell.store.log) - bytes_before
    n_calls = sum(n for (_, address), n in cell.wire.calls.items() if address.startswith("w"))
    wait = summarize(waits)
    print(f"{n_jobs} jobs, {n_starts} starts, broken: {cell.check()}")
    print(f"processor a start, all of the process: {1000 * cpu_s / n_starts:.2f} ms")
    print(f"store writes a job: {(cell.store.n_writes - writes_before) / n_jobs:.2f}")
    print(f"store reads a job: {(cell.store.n_reads - reads_before) / n_jobs:.2f}")
    print(f"bytes written a job: {n_bytes / n_jobs:.0f}")
    print(f"calls to workers a start: {n_calls / n_starts:.2f}")
    print(f"acceptance to start: p50 {wait['p50'] * 1000:.1f} ms, p99 {wait['p99'] * 1000:.1f} ms")


if __name__ == "__main__":
    main()
