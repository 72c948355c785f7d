"""Room for urgent tasks that fit nowhere now: workers kept free for them, runs stopped for them."""

#: Time that a run is taken to need at the least: estimates are off by a half. Unit: seconds.
LEAST_LEFT_S = 0.1

_NEVER = float("inf")


class Reservations:
    """Workers that are kept free, in one plan, for the queues that come first.

    Without them a task of several cores waits for as long as smaller ones of less urgent queues
    come: each takes the core that has just become free. Tasks that last were missed for 6 s so, in
    bursts of large jobs, and some for the rest of the day.

    Parameters
    ----------
    policy : SchedulingPolicy
    """

    def __init__(self, policy):
        self._policy = policy
        self._priorities = {}

    def is_reserved_from(self, worker, queue):
        """Whether a worker is kept for a more urgent queue."""
        kept_for = self._priorities.get(worker.info.worker_id)
        return kept_for is not None and kept_for < queue.priority

    def reserve(self, scheduler, step, workers, reserve, n_missing, now):
        """Keep the workers that have room soonest; return the stops that make it sooner.

        Parameters
        ----------
        workers : list of Worker
            Those that may run the step.
        reserve : float
            Share of a worker that stays free for still more urgent tasks.
        n_missing : int
            Tasks of the step without a place.
        """
        spec, queue = step.spec, step.job.queue
        waits = []
        for worker in workers:
            if worker.info.worker_id in self._priorities or not worker.could_fit(spec):
                continue
            if spec.max_per_worker and step.n_on(worker.info.worker_id) >= spec.max_per_worker:
                continue
            victims = _victims(worker, spec, queue, reserve)
            wait_s = _time_to_fit(worker, spec, reserve, now)
            if wait_s < _NEVER or victims:
                waits.append((wait_s, len(victims), worker, victims))
        waits.sort(key=lambda item: item[:2])
        actions = []
        for wait_s, _, worker, victims in waits[: min(self._policy.max_reserved, n_missing)]:
            self._priorities[worker.info.worker_id] = queue.priority
            if self._preempts(wait_s):
                for run in victims:
                    actions += scheduler.preempt(run, now)
        return actions

    def _preempts(self, wait_s):
        preempt_s = self._policy.preempt_s
        return preempt_s is not None and wait_s > preempt_s


def _time_to_fit(worker, spec, reserve, now):
    """Return when a task fits, if nothing more is started there. Unit: seconds from now."""
    room = _Room(worker, reserve)
    if room.fits(spec):
        return 0.0
    left_s = 0.0
    for left_s, run in sorted(((_left(run, now), run) for run in worker.runs.values()), key=_first):
        room.give_back(run.step)
        if left_s == _NEVER or room.fits(spec):
            return left_s
    # An empty worker takes what could_fit let pass, and needs no reserve.
    return left_s


def _victims(worker, spec, queue, reserve):
    """Return the less urgent runs whose stop makes room, the youngest first; [] when it does not.

    Only what resumes from a checkpoint: of other runs all work would be lost.
    """
    room = _Room(worker, reserve)
    chosen = []
    for run in sorted(worker.runs.values(), key=lambda run: -run.began_at):
        if room.fits(spec):
            break
        if run.state in ("stopping", "barred"):
            room.give_back(run.step)
        elif _may_be_stopped(run, queue):
            room.give_back(run.step)
            chosen.append(run)
    return chosen if room.fits(spec) else []


def _may_be_stopped(run, queue):
    step = run.step
    return (
        run.state == "running"
        and run.job.queue.priority > queue.priority
        and step.checkpointing
        and not (step.gang or step.long_running or step.fills)
    )


def _left(run, now):
    """Return how long a run still takes. Unit: seconds."""
    if run.step.long_running:
        return _NEVER
    elapsed = now - run.began_at
    if run.percent > 0:
        return max(LEAST_LEFT_S, elapsed * (100 - run.percent) / run.percent)
    return max(LEAST_LEFT_S, run.step.estimate_s - elapsed)


def _first(item):
    return item[0]


class _Room:
    """What is free on a worker, and what would be, beyond the reserve."""

    def __init__(self, worker, reserve):
        self.cpu = worker.cpu_free - reserve * worker.info.cpu_milli
        self.memory = worker.memory_free
        self.accelerators = worker.gpu_free

    def give_back(self, step):
        if not step.fills:
            self.cpu += step.cpu_milli
        self.memory += step.memory_mb
        self.accelerators += step.accelerators

    def fits(self, step):
        return (
            (step.fills or self.cpu >= step.cpu_milli)
            and self.memory >= step.memory_mb
            and self.accelerators >= step.accelerators
        )
