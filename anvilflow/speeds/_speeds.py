"""Speeds of workers, learnt from the durations of their runs."""

from math import exp, isfinite, log, sqrt
from statistics import fmean, median

from msgspec import Struct

#: Number of recent runs that a worker's estimate covers: it follows a changed worker within that
#: many runs.
MEMORY = 32

#: Number of a worker's own runs from which they count as much as what is known of its kind.
PRIOR_RUNS = 8

#: Largest difference, as a logarithm, by which one run may differ from what is expected of it. It
#: bounds the effect of a task that is several times as long as the others of its step.
MAX_DEVIATION = 1.0

#: Least deviation of a worker from its kind, as a logarithm, that counts. The mean of a few runs
#: deviates by up to this much by chance.
MIN_DEVIATION = 0.25

#: Evidence without which a kind's speed counts as unknown: a kind of fewer workers may owe its
#: speed to a few faulty ones.
MIN_KIND_WORKERS = 4
MIN_KIND_RUNS = 40

#: Share of a service's workers whose kinds must be known before their mean is relied on.
MIN_KNOWN_SHARE = 0.5

#: Standard errors by which a kind must exceed a limit to be judged slower than that, and by which
#: it must fall short to be judged so no longer.
CONFIDENCE = 1.5

#: Standard deviation of one run's logarithm, at least. A few workers may agree by chance.
MIN_RUN_DEVIATION = 0.4

#: Ratio of the standard error of a median to that of a mean, and of a normal distribution's
#: standard deviation to its median absolute deviation.
_MEDIAN_ERROR = 1.2533
_DEVIATION_FACTOR = 1.4826

#: Interval between two calculations of the kinds' speeds. Unit: seconds.
REFRESH_S = 0.2


class WorkerSpeed(Struct, kw_only=True, frozen=True):
    """What is known of a worker: its factor, the runs behind it, and the age of the last one.

    `age_s` is None if no run of the worker is known. Unit: seconds.
    """

    factor: float
    n_runs: int
    age_s: float | None


class KindSpeed(Struct, kw_only=True, frozen=True):
    """What is known of the workers of one kind.

    `error` is the standard error of the factor, relative to it.
    """

    service: str
    kind: str
    factor: float
    error: float
    n_workers: int
    n_runs: int
    is_known: bool


class _Worker:
    """Learnt state of one worker.

    `log_factor` is the mean of its `n_mixed` recent runs in steps that ran on several kinds, as a
    logarithm, and `deviation` the mean difference of its `n_runs` recent runs from its kind.
    `ended_at` is the time of the last one, `normal_since` the latest begin of a run that took about
    as long as expected.
    """

    __slots__ = (
        "deviation",
        "ended_at",
        "kind",
        "log_factor",
        "n_mixed",
        "n_runs",
        "normal_since",
    )

    def __init__(self, *, kind):
        self.kind = kind
        self.log_factor = 0.0
        self.n_mixed = 0
        self.deviation = 0.0
        self.n_runs = 0
        self.ended_at = None
        self.normal_since = None

    @property
    def best_log_factor(self):
        """Estimate from its kind and from its own runs. A small deviation counts as chance."""
        deviation = self.deviation * self.n_runs / (self.n_runs + PRIOR_RUNS)
        of_kind = self.kind.log_factor
        return of_kind + deviation if abs(deviation) > MIN_DEVIATION else of_kind

    def learn(self, value, now, *, is_mixed):
        """Learn from one run; `value` is its logarithm relative to those of a mean worker."""
        if is_mixed:
            self.n_mixed = min(MEMORY, self.n_mixed + 1)
            self.log_factor += (value - self.log_factor) / self.n_mixed
        if self.kind.is_known:
            self.n_runs = min(MEMORY, self.n_runs + 1)
            self.deviation += (value - self.kind.log_factor - self.deviation) / self.n_runs
        self.ended_at = now


class _Kind:
    """Workers of one kind in a service.

    `factor` is relative to `mean`, the mean of the service, and 1 until the kind is known.
    """

    __slots__ = ("error", "factor", "is_known", "log_factor", "mean", "n_runs", "name", "workers")

    def __init__(self, *, name, mean):
        self.name = name
        self.workers = set()
        self.mean = mean
        self.log_factor = log(mean)
        self.factor = 1.0
        self.error = 0.0
        self.n_runs = 0
        self.is_known = False

    def refresh(self):
        """Calculate the kind's speed: the median of its workers, of which some may be faulty."""
        logs = [worker.log_factor for worker in self.workers if worker.n_mixed]
        n_runs = sum(worker.n_mixed for worker in self.workers)
        is_known = len(logs) >= MIN_KIND_WORKERS and n_runs >= MIN_KIND_RUNS
        if not logs or (self.is_known and not is_known):
            # Most workers of the kind have been replaced; what was learnt of it still holds.
            return
        self.is_known = is_known
        self.n_runs = n_runs
        self.log_factor = median(logs)
        deviation = _DEVIATION_FACTOR * median(abs(each - self.log_factor) for each in logs)
        self.error = max(
            _MEDIAN_ERROR * deviation / sqrt(len(logs)), MIN_RUN_DEVIATION / sqrt(n_runs)
        )

    def exceeds(self, limit, *, was_exceeded):
        """Whether the factor exceeds a limit with confidence; keeps to the former answer else."""
        margin = exp(CONFIDENCE * self.error)
        return self.factor * (margin if was_exceeded else 1 / margin) > limit


class _Service:
    """Kinds of workers of one service.

    `mean` is the mean factor of the workers of known kinds before scaling: a kind of a few workers
    may owe its speed to faulty ones.
    """

    __slots__ = ("exceeded", "is_known", "kinds", "mean")

    def __init__(self):
        self.kinds = {}
        self.exceeded = {}
        self.mean = 1.0
        self.is_known = False

    def add(self, name):
        """Return the kind called `name`; a new one is assumed to be like the mean."""
        kind = self.kinds.get(name)
        if kind is None:
            kind = self.kinds[name] = _Kind(name=name, mean=self.mean)
        return kind

    def refresh(self):
        """Calculate the speeds of all kinds, relative to the mean over workers of known kinds."""
        kinds = list(self.kinds.values())
        for kind in kinds:
            kind.refresh()
        known = [kind for kind in kinds if kind.is_known]
        n_known = sum(len(kind.workers) for kind in known)
        if n_known:
            self.mean = sum(len(kind.workers) * exp(kind.log_factor) for kind in known) / n_known
        for kind in kinds:
            kind.mean = self.mean
            if not kind.n_runs:
                kind.log_factor = log(self.mean)
            kind.factor = exp(kind.log_factor) / self.mean if kind.is_known else 1.0
        n_workers = sum(len(kind.workers) for kind in kinds)
        self.is_known = n_known >= MIN_KNOWN_SHARE * n_workers


class SpeedTracker:
    """Estimates how long tasks take on each worker, relative to the mean of its service.

    Stated durations are off by a half, but those of all tasks of a step by about the same factor.
    Therefore, the runs of a step are compared with each other when the step is done, and a single
    run shows nothing. Steps that are not done yet are left out, since their short runs have ended
    first.

    Kinds are compared by the steps that ran on several of them. Steps on one kind show only how its
    workers differ: otherwise, kinds would drift apart once each has its own queues.

    Notes
    -----
    The state is held by the leader alone. A new leader starts without, and a worker that starts
    again is a new worker.

    `n_ignored` counts the durations that were not positive numbers.

    Examples
    --------
    >>> tracker = SpeedTracker()
    >>> tracker.factor("w1")
    1.0
    """

    __slots__ = ("_has_news", "_refreshed_at", "_services", "_stale", "_workers", "n_ignored")

    def __init__(self):
        self._workers = {}
        self._services = {}
        self._refreshed_at = float("-inf")
        self._has_news = False
        self._stale = False
        self.n_ignored = 0

    # Workers

    def add_worker(self, worker_id, service, kind):
        """Add a worker, or note its present service and kind.

        What was learnt of a worker is dropped when either has changed.
        """
        worker = self._workers.get(worker_id)
        if worker is not None:
            if worker.kind is self._find_kind(service, kind):
                return
            self.remove_worker(worker_id)
        of_service = self._services.setdefault(service, _Service())
        worker = self._workers[worker_id] = _Worker(kind=of_service.add(kind))
        worker.kind.workers.add(worker)
        self._stale = True

    def remove_worker(self, worker_id):
        """Forget a worker that has left or started again."""
        worker = self._workers.pop(worker_id, None)
        if worker is None:
            return
        worker.kind.workers.discard(worker)
        for name, service in list(self._services.items()):
            service.kinds = {key: kind for key, kind in service.kinds.items() if kind.workers}
            if not service.kinds:
                del self._services[name]
        self._stale = True

    def _find_kind(self, service, kind):
        of_service = self._services.get(service)
        return of_service.kinds.get(kind) if of_service is not None else None

    # Durations

    def note_step(self, durations, now):
        """Learn from the runs of a step that is done.

        Parameters
        ----------
        durations : iterable of tuple of str and float
            Workers and durations of its runs, each from the beginning of its task. Unit: seconds.
        now : float
            Unit: seconds.
        """
        self._calculate()
        runs = []
        for worker_id, seconds in durations:
            worker = self._workers.get(worker_id)
            if not self._is_duration(seconds):
                continue
            if worker is not None:
                runs.append((worker, log(seconds) - worker.best_log_factor))
        if len(runs) < 2:
            return
        normal = [each for _, each in runs]
        is_mixed = len({worker.kind for worker, _ in runs}) > 1
        expected = median(normal)
        deviations = [max(-MAX_DEVIATION, min(MAX_DEVIATION, each - expected)) for each in normal]
        centre = fmean(deviations)
        for (worker, _), deviation in zip(runs, deviations, strict=True):
            value = worker.best_log_factor + deviation - centre
            worker.learn(value, now, is_mixed=is_mixed)
        self._has_news = True
        self.refresh(now)

    def _is_duration(self, seconds):
        if isfinite(seconds) and seconds > 0:
            return True
        self.n_ignored += 1
        return False

    def note_normal_run(self, worker_id, began_at):
        """Note a run that took about as long as expected, given the speed of its worker."""
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.normal_since = max(began_at, worker.normal_since or began_at)

    def had_normal_run(self, worker_id, since):
        """Whether a run that began at or after `since` took about as long as expected."""
        worker = self._workers.get(worker_id)
        return (
            worker is not None
            and worker.normal_since is not None
            and (worker.normal_since >= since)
        )

    # Estimates

    def factor(self, worker_id):
        """Return a worker's factor: by its own runs and its kind; 1 if it is unknown."""
        worker = self._workers.get(worker_id)
        if worker is None:
            return 1.0
        self._calculate()
        return exp(worker.best_log_factor) / worker.kind.mean

    def kind_factor(self, worker_id):
        """Return the factor of a worker's kind, which a single faulty worker does not change.

        It is 1 until the kind is known.
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            return 1.0
        self._calculate()
        return worker.kind.factor

    def fastest_factor(self, service):
        """Return the factor of a service's fastest kind that is known; 1 if none is."""
        return min((each.factor for each in self._known_kinds(service)), default=1.0)

    def slowest_factor(self, service):
        """Return the factor of a service's slowest kind that is known; 1 if none is."""
        return max((each.factor for each in self._known_kinds(service)), default=1.0)

    def _known_kinds(self, service):
        self._calculate()
        of_service = self._services.get(service)
        kinds = of_service.kinds.values() if of_service is not None else ()
        return [kind for kind in kinds if kind.is_known]

    def unsettled_services(self):
        """Return the services with a kind of several workers that is not known yet.

        Services of one kind are left out, as there is nothing to compare it with.
        """
        self._calculate()
        return frozenset(
            name
            for name, service in self._services.items()
            if len(service.kinds) > 1
            and any(
                not kind.is_known and len(kind.workers) >= MIN_KIND_WORKERS
                for kind in service.kinds.values()
            )
        )

    def matters_to(self, service, stretch):
        """Whether tasks on some kind of worker take longer than an objective allows.

        That is, longer than `stretch` times their duration on a mean worker. Where a factor is too
        close to `stretch` to tell, the former answer stands.
        """
        self._calculate()
        of_service = self._services.get(service)
        if of_service is None or not of_service.is_known or stretch <= 1:
            return False
        was_exceeded = of_service.exceeded.get(stretch, False)
        is_exceeded = any(
            kind.is_known and kind.exceeds(stretch, was_exceeded=was_exceeded)
            for kind in of_service.kinds.values()
        )
        of_service.exceeded[stretch] = is_exceeded
        return is_exceeded

    def worker_speed(self, worker_id, now):
        """Return the :class:`WorkerSpeed` of a worker."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.ended_at is None:
            return WorkerSpeed(factor=self.factor(worker_id), n_runs=0, age_s=None)
        return WorkerSpeed(
            factor=self.factor(worker_id), n_runs=worker.n_runs, age_s=now - worker.ended_at
        )

    def kind_speeds(self):
        """Return the :class:`KindSpeed` of each kind of worker."""
        self._calculate()
        return [
            KindSpeed(
                service=name,
                kind=kind.name,
                factor=round(kind.factor, 3),
                error=round(kind.error, 3),
                n_workers=len(kind.workers),
                n_runs=kind.n_runs,
                is_known=kind.is_known,
            )
            for name, service in sorted(self._services.items())
            for kind in service.kinds.values()
        ]

    def refresh(self, now):
        """Apply what was learnt, at most once per :data:`REFRESH_S`. Unit: seconds."""
        if self._has_news and now >= self._refreshed_at + REFRESH_S:
            self._refreshed_at = now
            self._has_news = False
            self._stale = True

    def _calculate(self):
        if self._stale:
            self._stale = False
            for service in self._services.values():
                service.refresh()
