"""Reservation of workers, and preemption of runs, for urgent tasks that fit on no worker now."""

from ..places import Shape

#: Lower bound of the estimated remaining time of a run, as estimates are off by a half. Unit:
#: seconds.
MIN_REMAINING_S = 0.1

#: Factor by which the time until a reserved worker is needed must exceed the duration of a less
#: urgent task that is started there. Estimates are off by a half, and the progress of a step's
#: running tasks soon corrects them.
BACKFILL_FACTOR = 1.5

#: Share of its slack for which a job's task waits before runs are stopped for it. Estimates are off
#: by a half. Used with `places`.
SLACK_SHARE = 0.5

_NEVER = float("inf")


class Reservations:
    """Workers that are reserved for steps of more urgent jobs, until the next full plan.

    Without reservations, a task of several cores waits for as long as smaller tasks of less urgent
    queues keep coming, since each of these takes the core that has just become free. In scenarios
    with bursts of large jobs, long-running tasks then had no run for 6 s, and some had none until
    the end of the scenario.

    Parameters
    ----------
    policy : SchedulingPolicy
    """

    def __init__(self, policy):
        self._policy = policy
        self._by_worker = {}

    def is_reserved_from(self, worker, job):
        """Whether a worker is reserved for a more urgent queue than that of `job`.

        With shares, also whether the job is excess, and the worker is reserved for a job of the
        same priority that is not. Otherwise, the small tasks of an account's burst take each core
        that becomes free where a larger task of another account waits.
        """
        reservation = self._by_worker.get(worker.info.worker_id)
        if reservation is None:
            return False
        if reservation.priority < job.queue.priority:
            return True
        return (
            self._policy.shares == "on"
            and reservation.priority == job.queue.priority
            and job.standing.is_excess
            and not reservation.step.job.standing.is_excess
        )

    def allows(self, worker, step):
        """Whether the reservation of a worker, if any, permits a task of `step` to start there.

        A less urgent task may start if it leaves the reserved capacity free, or if it will have
        ended before that capacity becomes available. When reserved workers took no less urgent
        tasks at all, accelerators were idle: in a test load of large and small jobs, at 1.3 times
        the usual rate, clients with small jobs received 0.897 of the value of their jobs, and 0.960
        with this rule.
        """
        if not self.is_reserved_from(worker, step.job):
            return True
        reservation = self._by_worker[worker.info.worker_id]
        if not self._policy.backfills:
            return False
        return (
            reservation.spare.fits(step.spec)
            or _task_duration(step) * BACKFILL_FACTOR <= reservation.wait_s
        )

    def release(self, step):
        """Release the workers reserved for a step, which is about to be planned again."""
        for worker_id in [
            key for key, reservation in self._by_worker.items() if reservation.step is step
        ]:
            del self._by_worker[worker_id]

    def note_placed(self, worker, step):
        """Subtract a task that was placed on a reserved worker from the worker's spare capacity."""
        reservation = self._by_worker.get(worker.info.worker_id)
        if reservation is not None:
            reservation.spare.take(step)

    def reserve(self, scheduler, step, workers, reserve, n_missing, now):
        """Reserve the workers on which tasks of a step fit soonest; return the stops of runs.

        Runs are stopped where a task would otherwise wait longer than the policy's `preempt_s`.

        Parameters
        ----------
        step : StepRun
        workers : list of Worker
            Workers that may run the step.
        reserve : float
            Share of a worker's processor that stays free for still more urgent tasks.
        n_missing : int
            Number of tasks of the step that are not placed.
        """
        spec = step.spec
        max_wait_s = self._max_wait(scheduler, step, now)
        workers = [
            each
            for each in workers
            if not self._is_reserved(each) and scheduler.places.kept_from(each, step) is None
        ]
        options = _find_options(step, workers, reserve, scheduler.places.stop_s, now)
        actions = []
        for option in options[: min(self._policy.max_reserved, n_missing)]:
            stops = option.victims if option.wait_s > max_wait_s else ()
            spare = _FreeCapacity(option.worker, reserve)
            for run in stops or option.ending:
                spare.add(run.step)
            spare.take(spec)
            wait_s = scheduler.stop_s if stops else option.wait_s
            self._by_worker[option.worker.info.worker_id] = _Reservation(
                step=step, spare=spare, wait_s=wait_s
            )
            for run in stops:
                actions += scheduler.preempt(run, now)
        return actions

    def _is_reserved(self, worker):
        return worker.info.worker_id in self._by_worker

    def _max_wait(self, scheduler, step, now):
        """Return how long a task of a step waits for runs to end rather than have runs stopped.

        With `places`, it waits as long as its job can still be in time, and for runs that end
        sooner than a stop takes. For a job that is late already, it waits as without `places`.
        Unit: seconds.
        """
        if self._policy.preempt_s is None:
            return _NEVER
        if self._policy.places != "on":
            return self._policy.preempt_s
        slack_s = step.slack_s(now)
        wait_s = SLACK_SHARE * slack_s if slack_s >= 0 else self._policy.preempt_s
        return max(scheduler.places.stop_s, wait_s)


class _Reservation:
    """Reservation of one worker for a step.

    `spare` is the capacity beyond the reserved one, `wait_s` the time from the reservation until
    the reserved capacity becomes available. Unit: seconds.
    """

    __slots__ = ("spare", "step", "wait_s")

    def __init__(self, *, step, spare, wait_s):
        self.step = step
        self.spare = spare
        self.wait_s = wait_s

    @property
    def priority(self):
        """Priority of the queue for which the worker is reserved."""
        return self.step.job.queue.priority


class _Option:
    """How a worker gains free capacity for a task.

    Either by waiting for `wait_s` seconds, until the runs in `ending` have ended, or by stopping
    the runs in `victims`.
    """

    __slots__ = ("ending", "victims", "wait_s", "worker")

    def __init__(self, *, worker, wait_s, ending, victims):
        self.worker = worker
        self.wait_s = wait_s
        self.ending = ending
        self.victims = victims


def _find_options(step, workers, reserve, stop_s, now):
    """Return the options of the given workers for a task of `step`, sorted by waiting time.

    Options of equal waiting time are sorted by the number of runs that could be stopped.
    """
    spec = step.spec
    options = []
    for worker in workers:
        if not worker.could_fit(spec):
            continue
        if spec.max_per_worker and step.n_tasks_on(worker.info.worker_id) >= spec.max_per_worker:
            continue
        option = _find_option(worker, step, reserve, stop_s, now)
        if option is not None:
            options.append(option)
    options.sort(key=lambda option: (option.wait_s, len(option.victims)))
    return options


def _find_option(worker, step, reserve, stop_s, now):
    """Return a worker's option for a task of `step`, or None if the worker has none."""
    wait_s, ending = time_to_fit(worker, step.spec, reserve, now)
    victims = _find_victims(worker, step, reserve, stop_s, now)
    if wait_s == _NEVER and not victims:
        return None
    return _Option(worker=worker, wait_s=wait_s, ending=ending, victims=victims)


def time_to_fit(worker, spec, reserve, now):
    """Return the time until a task fits on a worker, and the runs that end by then.

    The time holds if no other task is started on the worker. Unit: seconds.
    """
    capacity = _FreeCapacity(worker, reserve)
    if capacity.fits(spec):
        return 0.0, []
    ending = []
    remaining_s = 0.0
    for remaining_s, run in sorted(
        ((_remaining_time(run, now), run) for run in worker.runs.values()), key=_first_item
    ):
        capacity.add(run.step)
        ending.append(run)
        if remaining_s == _NEVER or capacity.fits(spec):
            return remaining_s, ending
    # When all runs have ended, the task fits: `could_fit` has compared it with the total capacity,
    # and a worker without runs needs no reserve.
    return remaining_s, ending


def _find_victims(worker, step, reserve, stop_s, now):
    """Return the less urgent runs to stop for a task of `step`, the youngest first.

    Only runs that can resume from a checkpoint are included, since others would lose all their
    work. Runs that end within `stop_s` by themselves are left to end. Returns [] if stopping them
    would not free enough capacity.
    """
    capacity = _FreeCapacity(worker, reserve)
    chosen = []
    for run in sorted(worker.runs.values(), key=lambda run: -run.began_at):
        if capacity.fits(step.spec):
            break
        if run.state in ("stopping", "barred"):
            capacity.add(run.step)
        elif _may_be_stopped(run, step.job.queue):
            capacity.add(run.step)
            if _remaining_time(run, now) > stop_s:
                chosen.append(run)
    return chosen if capacity.fits(step.spec) else []


def _may_be_stopped(run, queue):
    step = run.step
    return (
        run.state == "running"
        and run.job.queue.priority > queue.priority
        and step.checkpointing
        and not (step.gang or step.long_running or step.fills)
    )


def _task_duration(step):
    """Return the duration of a task of a step: estimated, or projected from progress if longer.

    Unit: seconds.
    """
    durations = [step.spec.estimate_s or _NEVER]
    for task in step.tasks:
        durations += [_projected_duration(run) for run in task.runs.values()]
    return max(durations)


def _projected_duration(run):
    """Return a run's duration at its speed so far; 0 without progress. Unit: seconds."""
    progress = run.percent - run.first_percent
    return 100 * (run.reported_at - run.began_at) / progress if progress > 0 else 0.0


def _remaining_time(run, now):
    """Return a run's estimated remaining time. Unit: seconds."""
    if run.step.long_running:
        return _NEVER
    elapsed = now - run.began_at
    if run.percent > 0:
        return max(MIN_REMAINING_S, elapsed * (100 - run.percent) / run.percent)
    return max(MIN_REMAINING_S, run.step.estimate_s - elapsed)


def _first_item(item):
    return item[0]


class RoomForecast:
    """Estimates when workers will have room, at one time; holds what it has worked out.

    Parameters
    ----------
    scheduler : Scheduler
    now : float
        Unit: seconds.
    """

    def __init__(self, scheduler, now):
        self._scheduler = scheduler
        self._now = now
        self._ends = {}

    def room_in_s(self, worker, step, reserve):
        """Return the time until a task of a step fits on a worker, if no other is started there.

        Infinite if the worker accepts no tasks or its total capacity does not suffice. Unit:
        seconds.
        """
        if not worker.accepts(self._now, step) or not worker.could_fit(step.spec):
            return _NEVER
        spec = step.spec
        capacity = _FreeCapacity(worker, reserve)
        scheduler = self._scheduler
        has_room = capacity.fits(spec) or (not worker.runs and worker.fits(spec))
        if (
            has_room
            and scheduler.reservations.allows(worker, step)
            and scheduler.places.allows(worker, step)
        ):
            return 0.0
        kept = scheduler.places.kept_from(worker, step)
        if kept is not None:
            capacity.keep(kept)
        remaining_s = _NEVER
        for remaining_s, run in self._ends_on(worker):
            capacity.add(run.step)
            if remaining_s == _NEVER or capacity.fits(spec):
                return remaining_s
        # A worker without runs needs no reserve, and takes tasks too large to run beside places.
        return remaining_s

    def n_tasks_within(self, worker, step, reserve, horizon_s):
        """Return how many tasks of a step a worker takes at once within a time. Unit: seconds."""
        if self.room_in_s(worker, step, reserve) > horizon_s:
            return 0
        kept = self._scheduler.places.kept_from(worker, step)
        free = Shape.free_on(worker).minus(kept or Shape())
        for remaining_s, run in self._ends_on(worker):
            if remaining_s <= horizon_s:
                free = free.plus(Shape.of_step(run.step))
        limit = min(len(step.tasks), step.spec.max_per_worker or len(step.tasks))
        demand = Shape.of_step(step.spec)
        # A task for which there is room in time may need the whole worker, beside no places.
        return limit if demand.is_empty else max(1, min(limit, free.n_times(demand)))

    def _ends_on(self, worker):
        ends = self._ends.get(worker.info.worker_id)
        if ends is None:
            ends = [(self._remaining_time(run), run) for run in worker.runs.values()]
            ends.sort(key=_first_item)
            self._ends[worker.info.worker_id] = ends
        return ends

    def _remaining_time(self, run):
        remaining_s = _remaining_time(run, self._now)
        is_stopped = run.state in ("stopping", "barred")
        return min(remaining_s, self._scheduler.stop_s) if is_stopped else remaining_s


class _FreeCapacity:
    """Free capacity of a worker beyond the reserve, now or after the end of some runs.

    `add` adds the resources of one task of a step, `take` subtracts them. `keep` subtracts places.
    """

    def __init__(self, worker, reserve):
        self.cpu = worker.cpu_free - reserve * worker.info.cpu_milli
        self.memory = worker.memory_free
        self.accelerators = worker.gpu_free

    def add(self, step):
        if not step.fills:
            self.cpu += step.cpu_milli
        self.memory += step.memory_mb
        self.accelerators += step.accelerators

    def take(self, step):
        if not step.fills:
            self.cpu -= step.cpu_milli
        self.memory -= step.memory_mb
        self.accelerators -= step.accelerators

    def keep(self, shape):
        self.cpu -= shape.cpu_milli
        self.memory -= shape.memory_mb
        self.accelerators -= shape.accelerators

    def fits(self, step):
        return (
            (step.fills or self.cpu >= step.cpu_milli)
            and self.memory >= step.memory_mb
            and self.accelerators >= step.accelerators
        )
