"""What binds a cell of equal small instances: rates, bytes and processor at the leader, take-overs.

Plays 1, 4, 12 and 36 instances of 0.12 of a core on links of 2 Mbit/s, in virtual time. For each
size: starts a second out of a backlog; for each start, what the leader sends and receives, its
processor time and what all others send; seconds from the end of the leader until the next start,
with 300 jobs stored. Calls take as long as they are measured to take here, so that figures only
mean something beside those of another version, played on the same machine.

    python benchmarks/bench_narrow.py [SIZE ...]
"""

import gc
import sys

from anvilflow.standins import PlatformCell, make_job_body

SIZES = (1, 4, 12, 36)

#: Each instance's share of a core, and its link. Unit: bytes a second.
SHARE = 0.12
LINK = 250_000

N_WORKERS = 72

#: Time before anything is measured. Unit: seconds.
SETTLE_S = 2.0

#: Jobs offered a second, tasks of each, and what goes to each task. Units: bytes, seconds.
OFFERED_PER_S = (25, 45)
N_TASKS = 9
N_PAYLOAD = 1_200
TASK_S = 0.8

#: Time for which a backlog is offered, and the part of it that counts. Unit: seconds.
BACKLOG_S = 9.0
COUNTED_FROM_S = 3.0

#: Jobs that are stored when the leader ends, and what comes meanwhile: jobs a second.
N_STORED = 300
USUAL_PER_S = 5

#: Longest wait for the next start. Unit: seconds.
LONGEST_S = 30.0


def _make_cell(n_instances):
    cell = PlatformCell(
        n_instances=n_instances,
        n_workers=N_WORKERS,
        sizes=lambda task, payload: (TASK_S, "done", 1000),
    )
    cell.start()
    for name in cell.daemons:
        _limit(cell, name)
    cell.advance(SETTLE_S)
    return cell


def _limit(cell, name):
    cell.limit_links(name, LINK)
    cell.daemons[name].context.settings.link_mbps = LINK / 125_000
    cell.daemons[name].context.settings.cpu_share = SHARE
    cell.clocks[name].processor_share = SHARE


def _submit(cell, number):
    """Submit a job at an instance that is not the leader, if there is one."""
    leader = cell.leader()
    gateways = [name for name in cell.daemons if name != leader] or [leader]
    name = gateways[number % len(gateways)]
    job_id = f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
    # The estimate keeps jobs from being refused for beginning late.
    step = {"count": N_TASKS, "cpu": 1000, "estimate-ms": 60_000}
    body = make_job_body(step, spec="x" * N_PAYLOAD)
    cell.clocks[name].callLater(0, cell.call, name, "POST", f"/urgent/{job_id}", body)


class _Counts:
    """What the leader, and all others, have sent, received and spent so far."""

    def __init__(self, cell):
        leader = cell.leader()
        self.leader = leader
        self.n_starts = len(cell.spans)
        self.out = self._sent(cell, lambda name: name == leader)
        self.received = sum(n for (caller, _), n in cell.wire.bytes_in.items() if caller == leader)
        self.received += sum(n for (_, there), n in cell.network.bytes.items() if there == leader)
        self.others_out = self._sent(cell, lambda name: name != leader)
        self.spent_s = cell.clocks[leader].spent_s
        self.others_spent_s = sum(clock.spent_s for clock in cell.clocks.values()) - self.spent_s
        self.calls = sum(n for (caller, _), n in cell.wire.calls.items() if caller == leader)

    @staticmethod
    def _sent(cell, is_counted):
        out = sum(n for (caller, _), n in cell.wire.bytes_out.items() if is_counted(caller))
        return out + sum(n for (here, _), n in cell.network.bytes.items() if is_counted(here))


def _play_backlog(n_instances, jobs_per_s):
    cell = _make_cell(n_instances)
    before = None
    for number in range(round(BACKLOG_S * jobs_per_s)):
        if before is None and number >= COUNTED_FROM_S * jobs_per_s:
            before = _Counts(cell)
        _submit(cell, number)
        cell.advance(1 / jobs_per_s)
    after = _Counts(cell)
    n_starts = max(1, after.n_starts - before.n_starts)
    seconds = BACKLOG_S - COUNTED_FROM_S
    print(
        f"{n_instances:>3} instances: {n_starts / seconds:6.1f} of {N_TASKS * jobs_per_s} starts/s;"
        f" a start at the home: {(after.out - before.out) / n_starts:5.0f} bytes out,"
        f" {(after.received - before.received) / n_starts:5.0f} in,"
        f" {(after.calls - before.calls) / n_starts:.2f} calls,"
        f" {1000 * (after.spent_s - before.spent_s) / n_starts:.3f} ms;"
        f" at all others: {(after.others_out - before.others_out) / n_starts:5.0f} bytes out,"
        f" {1000 * (after.others_spent_s - before.others_spent_s) / n_starts:.3f} ms"
        f"{'' if before.leader == after.leader else '; the home changed'}"
        f"; broken: {len(cell.check())}"
    )


def _play_end_of_leader(n_instances, end, what):
    cell = _make_cell(n_instances)
    for number in range(N_STORED):
        _submit(cell, number)
        cell.advance(0.15)
    ended = cell.leader()
    end(cell, ended)
    ended_at = cell.clock.seconds()
    number = N_STORED
    while cell.clock.seconds() < ended_at + LONGEST_S:
        _submit(cell, number)
        number += 1
        cell.advance(1 / USUAL_PER_S)
        if cell.leader() != ended and _first_start(cell, ended, ended_at) is not None:
            break
    started_at = _first_start(cell, ended, ended_at)
    took = "none" if started_at is None else f"{started_at - ended_at:.2f} s"
    print(f"{n_instances:>3} instances: from {what} to the next start: {took}")


def _first_start(cell, ended, ended_at):
    """Return when the first task began that a later leader has started."""
    began = [
        span.began_at
        for span in cell.spans
        if span.began_at > ended_at and span.run_id >= 1000 * _term(cell)
    ]
    return min(began, default=None)


def _term(cell):
    return cell.store.value("home", "home", part="cell")["term"] - 1


def main():
    """Play all sizes and print the figures."""
    # A collection goes through all instances, and would be charged to the one that it came upon.
    gc.disable()
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        for jobs_per_s in OFFERED_PER_S:
            _play_backlog(size, jobs_per_s)
        if size > 1:
            _play_end_of_leader(size, lambda cell, name: cell.kill(name), "the home's loss")
            _play_end_of_leader(
                size, lambda cell, name: cell.daemons[name].drain(), "the home's SIGTERM"
            )


if __name__ == "__main__":
    main()
