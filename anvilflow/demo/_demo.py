"""The demo: load on a cell, one instance drained, one crashed, and checks of the history."""

import sys
import time

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from ..exceptions import CallError
from ..history import History, RunBegan, RunEnded, check_history
from ..metrics import Metrics
from ..standins import Cell, make_client
from ..utils import check_one_of
from ._deployments import DEPLOYMENTS
from ._load import Load

_TABLE_PERIOD_S = 2.0

#: Longest wait for open jobs and requests after the load has ended. Unit: seconds.
_JOBS_TIMEOUT_S = 20.0

_ENDED = {"completed", "failed", "cancelled"}


def run_demo(reactor, *, deployment="lonestar", seconds=20.0, random_state=0):
    """Run the demo; the Deferred fires with whether every check passed.

    Parameters
    ----------
    reactor : IReactorTCP
    deployment : {"lonestar", "quito"}, default="lonestar"
    seconds : float, default=20.0
        Duration of the load. Unit: seconds.
    random_state : int, default=0
    """
    check_one_of(deployment, DEPLOYMENTS, "--deployment", error=CallError)
    return ensureDeferred(_run(reactor, DEPLOYMENTS[deployment], float(seconds), random_state))


async def _run(reactor, deployment, seconds, random_state):
    history = History(clock=reactor)
    cell = Cell(
        reactor=reactor,
        domains=deployment.domains,
        n_instances=deployment.n_instances,
        n_workers=deployment.n_workers,
        workers_per_rack=deployment.workers_per_rack,
        capacity=deployment.capacity,
        declarations=deployment.declarations(),
        history=history,
        random_state=random_state,
    )
    await cell.start()
    print(f"{deployment.n_instances} instances, {deployment.n_workers} workers are ready.")
    load = Load(
        cell=cell, deployment=deployment, http=make_client(reactor), random_state=random_state
    )
    began, cpu_began = reactor.seconds(), time.process_time()
    load.start()
    await _show_until(reactor, load, cell, began, began + seconds / 2)
    print("--- a2 is stopped gracefully, a3 is cut off, worker w05 leaves ---")
    cell.worker_leaves("w05")
    drained = cell.daemons["a2"].drain()
    drained.addCallback(lambda _: cell.daemons.pop("a2"))
    cell.balancer.set_healthy([name for name in cell.daemons if name not in ("a2", "a3")])
    cell.crash_instance("a3")
    await _show_until(reactor, load, cell, began, began + seconds)
    load.stop()
    ended = reactor.seconds()
    cpu = time.process_time() - cpu_began
    unfinished = await _wait_for_jobs(reactor, cell, load)
    return await _stop_and_report(cell, load, history, began, ended, cpu, unfinished)


async def _show_until(reactor, load, cell, began, until):
    while reactor.seconds() < until:
        await deferLater(reactor, min(_TABLE_PERIOD_S, until - reactor.seconds()), lambda: None)
        _show_live(reactor.seconds() - began, load, cell)


async def _wait_for_jobs(reactor, cell, load):
    """Wait for open jobs and requests; return the jobs that have not ended."""
    deadline = reactor.seconds() + _JOBS_TIMEOUT_S
    while True:
        unfinished = _unfinished_jobs(cell)
        if (not unfinished and not load.n_open) or reactor.seconds() > deadline:
            return unfinished
        await deferLater(reactor, 0.2, lambda: None)


def _unfinished_jobs(cell):
    catalog = next(iter(cell.daemons.values())).context.catalog
    return [f"{job.customer}/{job.name}" for job in catalog.jobs() if job.phase not in _ENDED]


async def _stop_and_report(cell, load, history, began, ended, cpu, unfinished):
    total = Metrics()
    jobs = _job_counts(cell)
    for daemon in cell.daemons.values():
        for (customer, kind), histogram in daemon.context.metrics.histograms().items():
            _merge(total, customer, kind, histogram)
    for (customer, _), histogram in load.metrics.histograms().items():
        _merge(total, customer, "caller", histogram)
    await cell.stop()
    print(f"\nRequests by outcome: {load.outcomes}; jobs by phase: {jobs}")
    _show_waits(total)
    _show_costs(history, cell, began, ended, cpu)
    verdicts = check_history(
        history.events, instances=[name for name in cell.daemons], ended_at=ended
    )
    return _show_verdicts(verdicts, cell, load, unfinished)


def _merge(total, customer, kind, histogram):
    total.waited(customer, kind, 0.0)
    target = total.histograms()[customer, kind]
    if target.get_total_count() == 1:
        target.reset()
    target.add(histogram)


def _job_counts(cell):
    counts = {}
    for job in next(iter(cell.daemons.values())).context.catalog.jobs():
        counts[job.phase.value] = counts.get(job.phase.value, 0) + 1
    return counts


def _show_live(at, load, cell):
    schedulers = [daemon.supervisor.part("owner") for daemon in cell.daemons.values()]
    schedulers = [part.scheduler for part in schedulers if part is not None]
    waits = load.metrics.summary()
    small = waits.get((load.deployment.small, "service"), {"p99": 0.0})
    print(
        f"{at:5.1f} s  live {len(cell.daemons)}  requests {sum(load.outcomes.values()):5d}  "
        f"queued {sum(scheduler.n_queued for scheduler in schedulers):3d}  "
        f"running {sum(scheduler.n_running for scheduler in schedulers):3d}  "
        f"tasks {sum(scheduler.n_tasks for scheduler in schedulers):3d}  "
        f"jobs open {len(_unfinished_jobs(cell)):3d}  "
        f"{load.deployment.small} p99 {1000 * small['p99']:6.1f} ms"
    )
    sys.stdout.flush()


def _show_waits(total):
    print(f"\n{'CUSTOMER':14} {'KIND':8} {'N':>6} {'P50 MS':>9} {'P99 MS':>9} {'MAX MS':>9}")
    print("(service, batch, gang: for a place; caller: all but the run, this process's load too)")
    for (customer, kind), row in sorted(total.summary().items()):
        times = "".join(f" {1000 * row[name]:9.1f}" for name in ("p50", "p99", "max"))
        print(f"{customer:14} {kind:8} {row['n']:6d}{times}")


def _show_costs(history, cell, began, ended, cpu):
    runs = [event for event in history.events if isinstance(event, RunBegan) and event.at < ended]
    busy = _slot_seconds(history.events, began, ended)
    slots = sum(worker.capacity.slots for worker in cell.workers.values())
    print(f"\nPacking: {busy / (slots * (ended - began)):.1%} of all slots were busy on average.")
    print(
        f"Processor: {1000 * cpu / max(1, len(runs)):.2f} ms per placement, for everything in this "
        f"process: callers, instances, workers and platform ({len(runs)} placements)."
    )
    print(f"Table: {cell.table.n_commits} transactions, {cell.table.n_written} rows written.")


def _slot_seconds(events, began, ended):
    open_since = {}
    total = 0.0
    for event in events:
        match event:
            case RunBegan(worker=worker, item=item):
                open_since[worker, item] = event.at
            case RunEnded(worker=worker, item=item):
                start = max(began, open_since.pop((worker, item)))
                total += max(0.0, min(ended, event.at) - start)
    return total + sum(max(0.0, ended - start) for start in open_since.values())


def _show_verdicts(verdicts, cell, load, unfinished):
    print()
    for verdict in verdicts:
        print(f"{verdict.status_text:11} {verdict.promise} ({verdict.n_checked} checked)")
        for line in verdict.broken[:3]:
            print(f"        {line}")
    held = all(verdict.held for verdict in verdicts)
    for problem in [*cell.errors, *load.errors]:
        print(f"BROKEN  unexpected: {problem!r}")
    if unfinished:
        print(f"BROKEN  jobs without an end: {', '.join(unfinished)}")
    return held and not cell.errors and not load.errors and not unfinished
