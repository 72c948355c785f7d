"""Work and capacity of the services of a cell, summed up for forecasts."""

from collections import defaultdict

#: Greatest share of a running task that counts as done by its elapsed time alone.
MAX_ELAPSED_SHARE = 0.9


class PriorityLoad:
    """Work of the jobs of one priority.

    Resources are lists in the order of :func:`demand_of`: processor, memory, accelerators.

    Notes
    -----
    `work` is what the tasks that are not done still need of each resource, times seconds, `n_left`
    and `duration_s` are their number and their total duration. All three leave out the jobs that
    are due later than `due_by`, when a new job would be due.

    `n_ready` and `n_running` are the numbers of tasks whose preceding steps are done and of those
    that run; `ready` and `held` are what they occupy together, except on workers that accept no
    tasks. `n_jobs` and `objective_s` are the number of jobs and the sum of their objectives. Unit
    of times: seconds.
    """

    __slots__ = (
        "due_by",
        "duration_s",
        "held",
        "n_jobs",
        "n_left",
        "n_ready",
        "n_running",
        "objective_s",
        "ready",
        "work",
    )

    def __init__(self, *, due_by=float("inf")):
        self.due_by = due_by
        self.work = [0.0, 0.0, 0.0]
        self.held = [0, 0, 0]
        self.ready = [0, 0, 0]
        self.n_ready = 0
        self.n_running = 0
        self.n_left = 0
        self.n_jobs = 0
        self.duration_s = 0.0
        self.objective_s = 0.0

    @property
    def mean_objective_s(self):
        """Mean objective of the jobs, 0 without any. Unit: seconds."""
        return self.objective_s / self.n_jobs if self.n_jobs else 0.0

    @property
    def n_waiting(self):
        """Number of tasks that could start now."""
        return self.n_ready - self.n_running

    @property
    def mean_demand(self):
        """What one of the waiting tasks needs on average; there is at least one."""
        return [
            (ready - held) / self.n_waiting
            for ready, held in zip(self.ready, self.held, strict=True)
        ]

    def add(self, other):
        """Add the work of another load to this one."""
        for name in ("work", "held", "ready"):
            mine, others = getattr(self, name), getattr(other, name)
            for index in range(3):
                mine[index] += others[index]
        for name in ("n_ready", "n_running", "n_left", "n_jobs", "duration_s", "objective_s"):
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def add_job(self, job, sums, ratio):
        """Add a job, whose durations are `ratio` times the stated ones."""
        if job.due_by <= self.due_by:
            self.n_left += sums.n_left
            self.duration_s += ratio * sums.duration_s
            _add(self.work, sums.work, ratio)
        self.n_ready += sums.n_ready
        _add(self.ready, sums.ready, 1)
        if not job.is_long_running:
            self.n_jobs += 1
            self.objective_s += job.due_by - job.accepted_at


class ServiceLoad:
    """Work and capacity of one service.

    Notes
    -----
    `capacity` is that of the workers that accept tasks, `workers` are these workers, and
    `long_running` is what long-running tasks occupy, those that wait included. `priorities` holds
    each :class:`PriorityLoad` by priority, `guaranteed` those of the jobs within the guaranteed
    rates of their accounts alone, and `queues` one queue of each priority.
    """

    __slots__ = ("capacity", "guaranteed", "long_running", "priorities", "queues", "workers")

    def __init__(self):
        self.capacity = [0, 0, 0]
        self.workers = []
        self.long_running = [0, 0, 0]
        self.priorities = {}
        self.guaranteed = {}
        self.queues = {}


class _JobSums:
    """What the tasks of a job that are not done need, by its stated durations.

    The sums hold until the job's `change` counter increases.
    """

    __slots__ = ("change", "duration_s", "long_running", "n_left", "n_ready", "ready", "work")

    def __init__(self, job):
        self.change = job.change
        self.n_left = self.n_ready = 0
        self.duration_s = 0.0
        self.work = [0.0, 0.0, 0.0]
        self.ready = [0, 0, 0]
        self.long_running = [0, 0, 0]
        for step in job.steps.values():
            spec = step.spec
            n_left = len(step.tasks) - step.n_done
            if not n_left or spec.fills:
                continue
            demand = (spec.cpu_milli, spec.memory_mb, spec.accelerators)
            if spec.long_running:
                _add(self.long_running, demand, n_left)
                continue
            duration_s = n_left * spec.estimate_s
            self.n_left += n_left
            self.duration_s += duration_s
            _add(self.work, demand, duration_s)
            if step.ready_at is not None:
                self.n_ready += n_left
                _add(self.ready, demand, n_left)


class LoadMeter:
    """Sums up the work and the capacity of a cell.

    Tasks are not examined one by one: those that wait are the ones of ready steps that are not
    done, less the runs.
    """

    def __init__(self):
        self._sums = {}

    def measure(
        self, jobs, workers, now, *, run_times, objectives=None, guaranteed=(), limited=frozenset()
    ):
        """Return the :class:`ServiceLoad` of each service by name.

        Parameters
        ----------
        jobs : dict of str to JobRun
        workers : iterable of Worker
        now : float
            Steady time. Unit: seconds.
        run_times : RunTimes
        objectives : dict of (str, int) to float, default=None
            By service and priority, the mean objective of a job: the work of jobs that are due
            later than a new job with this objective is not ahead of it. None: all work is ahead.
            Unit: seconds.
        guaranteed : dict of str to bool or set of str, default=()
            Ids of the jobs within the guaranteed rates of their accounts.
        limited : set of str
            Ids of jobs that wait for their account's maximum. They are left out: their tasks do not
            wait for workers.
        """
        services = defaultdict(ServiceLoad)
        counted = self._add_jobs(
            services, jobs, now, run_times, objectives or {}, guaranteed, limited
        )
        for worker in workers:
            is_accepting = worker.accepts(now)
            if is_accepting:
                service = services[worker.info.service]
                service.workers.append(worker)
                info = worker.info
                _add(service.capacity, (info.cpu_milli, info.memory_mb, info.accelerators), 1)
            for run in worker.runs.values():
                if run.job.spec.job_id in counted:
                    _subtract_run(*counted[run.job.spec.job_id], run, is_accepting, now)
        for service in services.values():
            for priority, load in service.guaranteed.items():
                service.priorities.setdefault(priority, PriorityLoad()).add(load)
        return services

    def _add_jobs(self, services, jobs, now, run_times, objectives, guaranteed, limited):
        """Add the jobs to the loads; return the load and the ratio of durations of each job."""
        sums_by_job = {}
        counted = {}
        ratios = {}
        for job_id, job in jobs.items():
            if job.is_ended or job_id in limited:
                continue
            queue = job.queue
            service = services[queue.service]
            ratio = ratios.get(queue.name)
            if ratio is None:
                ratio = ratios[queue.name] = run_times.median(queue.name)
                service.queues[queue.priority] = queue
            loads = service.guaranteed if job_id in guaranteed else service.priorities
            load = loads.get(queue.priority)
            if load is None:
                objective_s = objectives.get((queue.service, queue.priority), float("inf"))
                load = loads[queue.priority] = PriorityLoad(due_by=now + objective_s)
            sums = self._sums.get(job_id)
            # An occurrence becomes due without a change of the job's progress.
            if sums is None or sums.change != job.change or job.spec.n_occurrences:
                sums = _JobSums(job)
            sums_by_job[job_id] = sums
            counted[job_id] = (load, ratio)
            load.add_job(job, sums, ratio)
            if job.is_long_running:
                _add(service.long_running, sums.long_running, 1)
        self._sums = sums_by_job
        return counted


def _subtract_run(load, ratio, run, is_accepting, now):
    """Count a run, and subtract the part of it that is done from the work.

    The rest of a run on a worker that accepts no tasks needs none of the capacity that is counted.
    """
    spec = run.step
    if spec.long_running or spec.fills:
        return
    load.n_running += 1
    duration_s = spec.estimate_s * ratio
    if is_accepting:
        sign, amounts = 1, load.held
        # The progress that was reported last, or the elapsed time.
        elapsed_share = (now - run.began_at) / duration_s if duration_s > 0 else 0.0
        if elapsed_share > MAX_ELAPSED_SHARE:
            elapsed_share = MAX_ELAPSED_SHARE
        done_share = run.percent / 100
        left_s = duration_s * (1.0 - (done_share if done_share > elapsed_share else elapsed_share))
    else:
        sign, amounts = -1, load.ready
        left_s = 0.0
    change_s = left_s - duration_s if run.job.due_by <= load.due_by else left_s
    # In line, since a cell has thousands of runs.
    work = load.work
    cpu_milli, memory_mb, accelerators = spec.cpu_milli, spec.memory_mb, spec.accelerators
    amounts[0] += sign * cpu_milli
    amounts[1] += sign * memory_mb
    work[0] += change_s * cpu_milli
    work[1] += change_s * memory_mb
    if accelerators:
        amounts[2] += sign * accelerators
        work[2] += change_s * accelerators


def _add(amounts, demand, factor):
    amounts[0] += factor * demand[0]
    amounts[1] += factor * demand[1]
    if demand[2]:
        amounts[2] += factor * demand[2]


def processor_time(steps):
    """Return the stated processor time of a job's steps. Unit: thousandths of a core x seconds."""
    return sum(step.n_tasks * step.cpu_milli * step.estimate_s for step in steps)
