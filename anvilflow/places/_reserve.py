"""Whole places that are reserved for tasks of urgent queues."""

from collections import deque

from msgspec import Struct

from ._demand import UrgentDemand
from ._packing import DemandSample, fragment_growth
from ._selection import select_workers
from ._shape import Shape

#: Time for which a leader observes a service before the learnt places replace the share of each
#: worker, unless it sees :data:`MIN_STEPS` urgent steps earlier. Clients repeat their calls within
#: seconds after a change of leaders. Unit: seconds.
LEARNING_S = 10.0
MIN_STEPS = 20

#: Minimum time between two choices of the places. Unit: seconds.
UPDATE_INTERVAL_S = 0.5

#: Number of recent stops of which the longest is expected next, and number of stops below which the
#: longest possible stop is expected.
N_STOPS = 16
MIN_STOPS = 4

#: Factor by which the wait of urgent tasks must exceed the estimated duration of a less urgent task
#: on a lent place. Estimates are off by a half.
ESTIMATE_FACTOR = 1.5


class PlaceCounts(Struct, frozen=True):
    """Numbers of places for operators.

    Parameters
    ----------
    n_kept, n_workers : int
        Places that are kept, and the workers on which they are.
    n_lent : int
        Kept places that less urgent runs occupy now.
    """

    n_kept: int = 0
    n_workers: int = 0
    n_lent: int = 0


class _Kept(Struct, frozen=True):
    """Places kept on a worker: their number and the capacity they need together."""

    n: int
    capacity: Shape


class _Service:
    """What is known of one service."""

    __slots__ = ("demand", "has_enough_steps", "place", "sample", "urgent_priority", "wait_s")

    def __init__(self):
        self.demand = UrgentDemand()
        self.sample = DemandSample()
        self.has_enough_steps = False
        self.urgent_priority = None
        self.place = Shape()
        self.wait_s = 0.0


class PlaceReserve:
    """Chooses the workers on which places for urgent tasks stay free, and ranks workers for tasks.

    Urgent tasks are those of the most urgent queues of a service that has less urgent ones, too. As
    long as :meth:`is_learnt` is false, all tasks may use all workers as far as this class decides.

    Notes
    -----
    Places are lent to tasks that end before an urgent task has to start, and to tasks that can be
    stopped and resumed, if a stop takes no longer than an urgent task may wait.
    """

    __slots__ = (
        "_began_at",
        "_kept",
        "_may_preempt",
        "_n_taken_back",
        "_services",
        "_stops_s",
        "_updated_at",
        "is_on",
        "stop_s",
    )

    def __init__(self):
        self.is_on = False
        self._n_taken_back = 0
        self._forget()

    def _forget(self):
        self._services = {}
        self._kept = {}
        self._began_at = None
        self._updated_at = None
        self._may_preempt = False
        self._stops_s = deque(maxlen=N_STOPS)
        self.stop_s = 0.0

    # Observation

    def note_step(self, step, *, is_urgent):
        """Count a :class:`StepRun` that became ready."""
        if not self.is_on:
            return
        service = self._service(step.job.queue.service)
        spec = step.spec
        shape = Shape.of_step(spec)
        service.sample.note_step(spec.n_tasks, shape, spec.estimate_s)
        if is_urgent:
            service.urgent_priority = step.job.queue.priority
            service.demand.note_step(spec.n_tasks, shape, _slack_s(step))

    def note_end(self, run):
        """Count the places that a run is about to leave free on its worker."""
        if not self.is_on:
            return
        service = self._services.get(run.worker.info.service)
        if service is None or service.place.is_empty:
            return
        free = Shape.free_on(run.worker)
        gained = free.plus(Shape.of_step(run.step)).n_times(service.place)
        service.demand.note_freed(gained - free.n_times(service.place))

    def note_stopped(self, seconds):
        """Count a run that has ended by a stop, which took the given time. Unit: seconds."""
        if self.is_on:
            self._stops_s.append(max(0.0, seconds))

    def note_preempted(self, worker):
        """Count a run that is stopped for an urgent task."""
        self._n_taken_back += worker.info.worker_id in self._kept

    def update(self, workers, now, *, is_on, max_share, max_stop_s, may_preempt, allowed_share):
        """Choose the places anew if it is time.

        Parameters
        ----------
        workers : iterable of Worker
        now : float
            Steady time. Unit: seconds.
        is_on : bool
            Whether places are used at all; otherwise nothing is learnt.
        max_share : float
            Largest share of a service's capacity that is kept.
        max_stop_s : float
            Longest time that the stop of a run takes. Unit: seconds.
        may_preempt : bool
            Whether runs are stopped for urgent tasks.
        allowed_share : callable
            Returns for a service the share of the workers on which an urgent step may run.
        """
        if is_on != self.is_on:
            self.is_on = is_on
            self._forget()
        if not is_on:
            return
        if self._updated_at is None:
            self._began_at = self._updated_at = now
            self.stop_s = max_stop_s
        if now < self._updated_at + UPDATE_INTERVAL_S:
            return
        elapsed_s, self._updated_at = now - self._updated_at, now
        self._may_preempt = may_preempt
        has_stops = len(self._stops_s) >= MIN_STOPS
        self.stop_s = min(max_stop_s, max(self._stops_s)) if has_stops else max_stop_s
        by_service = {}
        for worker in workers:
            if _takes_tasks(worker):
                by_service.setdefault(worker.info.service, []).append(worker)
        self._kept = {}
        for name, service in self._services.items():
            service.demand.advance(elapsed_s)
            service.has_enough_steps = service.demand.n_steps >= MIN_STEPS
            service.place = service.demand.place
            service.wait_s = service.demand.wait_s
            if name in by_service and self.is_learnt(name):
                self._choose(service, by_service[name], max_share, allowed_share(name))

    def _choose(self, service, workers, max_share, allowed_share):
        n_places = service.demand.n_places(
            stop_s=self.stop_s,
            n_preemptible=self._n_preemptible(service, workers),
            allowed_share=allowed_share,
        )
        chosen = select_workers(
            [worker.info for worker in workers],
            n_places=n_places,
            place=service.place,
            max_share=max_share,
        )
        for worker_id, n in chosen.items():
            self._kept[worker_id] = _Kept(n, service.place.times(n))

    def _n_preemptible(self, service, workers):
        """Return how many places stops of less urgent runs that can resume would free."""
        if not self._may_preempt or service.urgent_priority is None:
            return 0
        return sum(
            Shape.of_step(run.step).n_times(service.place)
            for worker in workers
            for run in worker.runs.values()
            if run.job.queue.priority > service.urgent_priority and _can_resume(run.step)
        )

    def _service(self, name):
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        return service

    # Decisions

    def is_learnt(self, service):
        """Whether the places replace the share that is reserved on each worker of a service.

        Changes only in :meth:`update`, which then chooses the places.
        """
        if not self.is_on or self._began_at is None:
            return False
        known = self._services.get(service)
        has_steps = known is not None and known.has_enough_steps
        return has_steps or self._updated_at - self._began_at >= LEARNING_S

    def kept_from(self, worker, step):
        """Return the capacity of a worker that tasks of a step must leave free, or None.

        Parameters
        ----------
        worker : Worker
        step : StepRun
        """
        kept = self._kept.get(worker.info.worker_id)
        if kept is None:
            return None
        service = self._services.get(worker.info.service)
        if service is None or service.urgent_priority is None:
            # The worker is listed under another service since the places were chosen.
            return None
        queue = step.job.queue
        if queue.priority <= service.urgent_priority or self._may_borrow(service, step.spec):
            return None
        # A task that is too large to run beside the places may use the worker when it is empty, as
        # no other worker may be allowed to run it. For gangs, see `leaves_room_for`.
        if not (worker.runs or step.spec.gang) and not Shape.of_worker(worker.info).holds(
            kept.capacity.plus(Shape.of_step(step.spec))
        ):
            return None
        return kept.capacity

    def allows(self, worker, step):
        """Whether a task of a step that fits on a worker leaves the kept places free there."""
        kept = self.kept_from(worker, step)
        demand = Shape.of_step(step.spec)
        if kept is None or demand.is_empty:
            return True
        return Shape.free_on(worker).holds(kept.plus(demand))

    def max_tasks(self, worker, step, limit):
        """Return how many tasks of a step fit beside the kept places of a worker, up to a limit."""
        kept = self.kept_from(worker, step)
        demand = Shape.of_step(step.spec)
        if kept is None or demand.is_empty:
            return limit
        return min(limit, Shape.free_on(worker).minus(kept).n_times(demand))

    def leaves_room_for(self, step, workers):
        """Whether the tasks of a gang could all run beside the places if no other tasks ran.

        Only workers that the gang may use count.
        """
        spec = step.spec
        demand = Shape.of_step(spec)
        if not self._kept or demand.is_empty:
            return True
        n_tasks = 0
        for worker in workers:
            if not _may_use(step, worker.info) or not _takes_tasks(worker):
                continue
            capacity = Shape.of_worker(worker.info)
            kept = self.kept_from(worker, step)
            n = (capacity if kept is None else capacity.minus(kept)).n_times(demand)
            n_tasks += min(n, spec.max_per_worker) if spec.max_per_worker else n
        return n_tasks >= len(step.tasks)

    def _may_borrow(self, service, spec):
        if spec.gang or spec.long_running or spec.fills:
            return False
        if _can_resume(spec) and self._may_preempt and self.stop_s <= service.wait_s:
            return True
        return 0 < spec.estimate_s * ESTIMATE_FACTOR <= service.wait_s

    def packing_cost(self, worker, step):
        """Return a sort key of a worker for a task that fits: the least fragments, the fullest."""
        service = self._services.get(worker.info.service)
        if service is None or step.spec.fills:
            return 0.0
        return fragment_growth(worker, step.spec, service.sample.shapes)

    # Report

    def take_n_taken_back(self):
        """Return the number of runs stopped on workers with places, since the last call."""
        n, self._n_taken_back = self._n_taken_back, 0
        return n

    def counts(self, workers):
        """Return :class:`PlaceCounts` of the workers, a dict of :class:`Worker` by id."""
        n_lent = 0
        for worker_id, kept in self._kept.items():
            worker = workers.get(worker_id)
            service = self._services.get(worker.info.service) if worker is not None else None
            if service is None or service.urgent_priority is None:
                continue
            n_free = Shape.free_on(worker).n_times(service.place)
            is_lent = any(
                run.job.queue.priority > service.urgent_priority for run in worker.runs.values()
            )
            n_lent += max(0, kept.n - n_free) if is_lent else 0
        return PlaceCounts(
            n_kept=sum(kept.n for kept in self._kept.values()),
            n_workers=len(self._kept),
            n_lent=n_lent,
        )


def _can_resume(spec):
    """Whether a run may be stopped for a more urgent task without the loss of all its work."""
    return spec.checkpointing and not (spec.gang or spec.long_running or spec.fills)


def _may_use(step, info):
    """Whether a worker is of the step's service, has its label and was not refused."""
    return (
        info.service == step.job.queue.service
        and (not step.spec.label or step.spec.label in info.labels)
        and info.worker_id not in step.refused
    )


def _takes_tasks(worker):
    """Whether a worker takes tasks, but for a back-off that is over soon."""
    return (
        worker.confirmed
        and worker.listed
        and not worker.unreachable
        and not worker.is_superseded
        and not worker.info.draining
    )


def _slack_s(step):
    """Return how long the tasks of a step may wait without its job being late. Unit: seconds.

    A job's slack is divided among its steps by their estimates. An advice request uses a part.
    """
    queue = step.job.queue
    steps = step.job.spec.steps
    total_s = sum(each.estimate_s for each in steps)
    share = step.spec.estimate_s / total_s if total_s > 0 else 1 / len(steps)
    slack_s = (queue.stretch - 1) * step.spec.estimate_s + queue.target_latency_s * share
    if queue.advice is None:
        return slack_s
    return slack_s - queue.advice.base_s - queue.advice.per_worker_s * step.spec.n_tasks
