"""Time that a new job would wait for free capacity."""

from msgspec import Struct

from ._load import PriorityLoad

#: Share of a service's capacity from which it counts as free for the waiting tasks. These wait for
#: something else then, for example for advice.
FREE_SHARE = 0.05

#: Least share of a service's capacity that a priority is expected to get, however much more urgent
#: tasks occupy: these come in bursts.
MIN_RATE_SHARE = 0.1

#: Shortest wait that is reported. Unit: seconds.
MIN_WAIT_S = 0.1


class QueueWait(Struct, kw_only=True, frozen=True):
    """Time that a new job of a service and priority would wait for free capacity.

    Parameters
    ----------
    service : str
    priority : int
    wait_s : float
        Time that the work ahead of the job needs. Unit: seconds.
    guaranteed_wait_s : float
        The same without the jobs beyond the guaranteed rates of their accounts. Unit: seconds.
    rate_milli : float
        Processor that becomes free for such jobs. Unit: thousandths of a core.
    inflow : float
        Time by which new jobs lengthen the wait each second. Unit: seconds per second.
    objective_s : float, default=0.0
        Mean objective of the jobs of this priority: the wait is that of a job with it. Unit:
        seconds.
    """

    service: str
    priority: int
    wait_s: float
    guaranteed_wait_s: float
    rate_milli: float
    inflow: float
    objective_s: float = 0.0


class BacklogReport(Struct, kw_only=True, frozen=True):
    """The leader's report on the work ahead of new jobs.

    Parameters
    ----------
    start_delays : dict of int to float
        By priority, how long starts wait to be sent; empty while they are sent at once. Unit:
        seconds.
    waits : tuple of QueueWait
        Empty while capacity is free.
    excess_accounts : frozenset of str
        Names of accounts that exceed their guaranteed rates.
    n_instances : int
        Number of instances that accept jobs.
    """

    start_delays: dict[int, float] = {}
    waits: tuple[QueueWait, ...] = ()
    excess_accounts: frozenset[str] = frozenset()
    n_instances: int = 1


def forecast_backlog(name, load, *, held, inflows, reserves=None, kept_from=None):
    """Return the :class:`QueueWait` of each priority of a service that has to wait.

    Parameters
    ----------
    name : str
        Name of the service.
    load : ServiceLoad
    held : dict of int to sequence of float
        By priority, what its running tasks have occupied on average.
    inflows : dict of int to float
        By priority, the processor time of the jobs that arrive each second. Unit: thousandths of
        a core.
    reserves : dict of int to float, default=None
        By priority, the share of each worker's processor that is reserved for more urgent tasks.
    kept_from : callable, default=None
        Returns the capacity that tasks of a priority must leave free on a worker, or None, from
        the worker and the priority. Default: nowhere any.

    Notes
    -----
    The work ahead of a new job is that of its own and all more urgent priorities, running tasks
    included. It shrinks by the capacity that long-running tasks and the more urgent jobs still to
    come leave. A job starts when the work ahead is not done but started: the mean duration of a
    task is subtracted.
    """
    waits = []
    ahead, guaranteed = PriorityLoad(), PriorityLoad()
    urgent = [0.0, 0.0, 0.0]
    inflow = 0.0
    for priority in sorted(load.priorities):
        ahead.add(load.priorities[priority])
        if priority in load.guaranteed:
            guaranteed.add(load.guaranteed[priority])
        inflow += inflows.get(priority, 0.0)
        rates = [
            max(MIN_RATE_SHARE * capacity, capacity - long_running - taken)
            for capacity, long_running, taken in zip(
                load.capacity, load.long_running, urgent, strict=True
            )
        ]
        for index, amount in enumerate(held.get(priority, ())):
            urgent[index] += amount
        wait_s = _time_to_start(ahead, rates)
        if (
            ahead.n_waiting <= 0
            or wait_s < MIN_WAIT_S
            or _has_free_capacity(
                load, ahead, (reserves or {}).get(priority, 0.0), kept_from, priority
            )
        ):
            continue
        waits.append(
            QueueWait(
                service=name,
                priority=priority,
                wait_s=wait_s,
                guaranteed_wait_s=min(wait_s, max(0.0, _time_to_start(guaranteed, rates))),
                rate_milli=rates[0],
                inflow=inflow / rates[0] if rates[0] > 0 else 0.0,
                objective_s=load.priorities[priority].mean_objective_s,
            )
        )
    return waits


def _time_to_start(ahead, rates):
    """Return the time until the work ahead is started, 0 without capacity. Unit: seconds.

    Workers of which none accepts tasks may do so again at any moment.
    """
    if not ahead.n_left:
        return 0.0
    drain_s = max(
        work / rate if rate > 0 else 0.0 for work, rate in zip(ahead.work, rates, strict=True)
    )
    return drain_s - ahead.duration_s / ahead.n_left


def _has_free_capacity(load, ahead, reserve, kept_from, priority):
    """Whether the workers have places for tasks like those that wait."""
    demand = ahead.mean_demand
    needed = [index for index in range(3) if demand[index] > 0]
    if not needed:
        return True
    n_places = 0
    for worker in load.workers:
        cpu_free = worker.cpu_free - reserve * worker.info.cpu_milli
        free = (cpu_free, worker.memory_free, worker.gpu_free)
        kept = kept_from(worker, priority) if kept_from is not None else None
        if kept is not None:
            amounts = (kept.cpu_milli, kept.memory_mb, kept.accelerators)
            free = [amount - other for amount, other in zip(free, amounts, strict=True)]
        n_places += max(0, min(int(free[index] / demand[index]) for index in needed))
    return any(n_places * demand[index] >= FREE_SHARE * load.capacity[index] for index in needed)
