"""Benchmark of the limits of a cell of equal small instances: throughput, load, take-over times.

Simulates 1, 4, 12 and 36 instances with 0.12 of a core each on links of 2 Mbit/s, in virtual time.
Prints for each size the starts per second from a backlog; per start, the bytes that the leader
sends and receives, its calls and processor time, and the bytes and processor time of all other
instances; and the seconds from the end of the leader until the next start, with 300 jobs stored.
Virtual processor time is the time that the calls take on this machine, so figures are only
comparable with those of another version that was run on the same machine.

    python benchmarks/bench_narrow.py [SIZE ...]
"""

import gc
import sys

from anvilflow.standins import PlatformCell, make_job_body

SIZES = (1, 4, 12, 36)

#: Share of a core of each instance, and bandwidth of its link in bytes per second.
CPU_SHARE = 0.12
LINK_BYTES_PER_S = 250_000

N_WORKERS = 72

#: Virtual time between the start of the cell and the first job. Unit: seconds.
SETTLE_S = 2.0

#: Submitted jobs per second, tasks per job, size of the payload sent with each task in bytes,
#: and run time of a task in seconds.
SUBMITTED_JOBS_PER_S = (25, 45)
N_TASKS = 9
PAYLOAD_BYTES = 1_200
TASK_S = 0.8

#: Duration of the backlog's submission, and when in it the measurement begins. Unit: seconds.
BACKLOG_S = 9.0
MEASURED_FROM_S = 3.0

#: Jobs submitted before the leader ends, and rate of submission after that in jobs per second.
N_STORED = 300
LATER_JOBS_PER_S = 5

#: Longest time to wait for the next start. Unit: seconds.
MAX_WAIT_S = 30.0


def _make_cell(n_instances):
    cell = PlatformCell(
        n_instances=n_instances,
        n_workers=N_WORKERS,
        sizes=lambda task, payload: (TASK_S, "done", 1000),
    )
    cell.start()
    for name in cell.daemons:
        _limit_instance(cell, name)
    cell.advance(SETTLE_S)
    return cell


def _limit_instance(cell, name):
    cell.limit_links(name, LINK_BYTES_PER_S)
    cell.daemons[name].context.settings.link_mbps = LINK_BYTES_PER_S / 125_000
    cell.daemons[name].context.settings.cpu_share = CPU_SHARE
    cell.clocks[name].processor_share = CPU_SHARE


def _submit(cell, number):
    """Submit a job through a gateway that is not the leader, if there is one."""
    leader = cell.leader()
    gateways = [name for name in cell.daemons if name != leader] or [leader]
    name = gateways[number % len(gateways)]
    job_id = f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
    # With the long estimate, jobs of the backlog are not refused because of a late start.
    step = {"count": N_TASKS, "cpu": 1000, "estimate-ms": 60_000}
    body = make_job_body(step, spec="x" * PAYLOAD_BYTES)
    cell.clocks[name].callLater(0, cell.call, name, "POST", f"/urgent/{job_id}", body)


class _Totals:
    """Cumulative traffic and processor time of the leader and of all other instances."""

    def __init__(self, cell):
        leader = cell.leader()
        self.leader = leader
        self.n_starts = len(cell.spans)
        self.sent = self._sent(cell, lambda name: name == leader)
        self.received = sum(n for (caller, _), n in cell.wire.bytes_in.items() if caller == leader)
        self.received += sum(n for (_, there), n in cell.network.bytes.items() if there == leader)
        self.others_sent = self._sent(cell, lambda name: name != leader)
        self.cpu_s = cell.clocks[leader].spent_s
        self.others_cpu_s = sum(clock.spent_s for clock in cell.clocks.values()) - self.cpu_s
        self.n_calls = sum(n for (caller, _), n in cell.wire.calls.items() if caller == leader)

    @staticmethod
    def _sent(cell, is_counted):
        out = sum(n for (caller, _), n in cell.wire.bytes_out.items() if is_counted(caller))
        return out + sum(n for (here, _), n in cell.network.bytes.items() if is_counted(here))


def _bench_backlog(n_instances, jobs_per_s):
    cell = _make_cell(n_instances)
    before = None
    for number in range(round(BACKLOG_S * jobs_per_s)):
        if before is None and number >= MEASURED_FROM_S * jobs_per_s:
            before = _Totals(cell)
        _submit(cell, number)
        cell.advance(1 / jobs_per_s)
    after = _Totals(cell)
    n_starts = max(1, after.n_starts - before.n_starts)
    seconds = BACKLOG_S - MEASURED_FROM_S
    print(
        f"{n_instances:>3} instances: {n_starts / seconds:6.1f} of {N_TASKS * jobs_per_s} starts/s;"
        f" a start at the home: {(after.sent - before.sent) / n_starts:5.0f} bytes out,"
        f" {(after.received - before.received) / n_starts:5.0f} in,"
        f" {(after.n_calls - before.n_calls) / n_starts:.2f} calls,"
        f" {1000 * (after.cpu_s - before.cpu_s) / n_starts:.3f} ms;"
        f" at all others: {(after.others_sent - before.others_sent) / n_starts:5.0f} bytes out,"
        f" {1000 * (after.others_cpu_s - before.others_cpu_s) / n_starts:.3f} ms"
        f"{'' if before.leader == after.leader else '; the home changed'}"
        f"; broken: {len(cell.check())}"
    )


def _bench_leader_end(n_instances, end, cause):
    cell = _make_cell(n_instances)
    for number in range(N_STORED):
        _submit(cell, number)
        cell.advance(0.15)
    ended = cell.leader()
    end(cell, ended)
    ended_at = cell.clock.seconds()
    number = N_STORED
    while cell.clock.seconds() < ended_at + MAX_WAIT_S:
        _submit(cell, number)
        number += 1
        cell.advance(1 / LATER_JOBS_PER_S)
        if cell.leader() != ended and _first_start(cell, ended, ended_at) is not None:
            break
    started_at = _first_start(cell, ended, ended_at)
    took = "none" if started_at is None else f"{started_at - ended_at:.2f} s"
    print(f"{n_instances:>3} instances: from {cause} to the next start: {took}")


def _first_start(cell, ended, ended_at):
    """Return when the first task started by a later leader began, or None."""
    began = [
        span.began_at
        for span in cell.spans
        if span.began_at > ended_at and span.run_id >= 1000 * _term(cell)
    ]
    return min(began, default=None)


def _term(cell):
    return cell.store.value("home", "home", part="cell")["term"] - 1


def main():
    """Run all sizes and print the figures."""
    # A garbage collection traverses the objects of all instances, but its processor time would be
    # charged to the instance that runs at that moment.
    gc.disable()
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        for jobs_per_s in SUBMITTED_JOBS_PER_S:
            _bench_backlog(size, jobs_per_s)
        if size > 1:
            _bench_leader_end(size, lambda cell, name: cell.kill(name), "the home's loss")
            _bench_leader_end(
                size, lambda cell, name: cell.daemons[name].drain(), "the home's SIGTERM"
            )


if __name__ == "__main__":
    main()
