"""Simulates a load on the scheduler alone, in virtual time, and measures what callers get."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from math import exp
from random import Random

from msgspec import Struct

from ..jobs import (
    CellConfig,
    JobSpec,
    JobState,
    RequestAdvice,
    RunEnd,
    RunReport,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
    WorkerInfo,
    WorkerReport,
)
from ._load_kinds import KindResult, LoadKind

#: One-way delay between the scheduler and a worker, and period of reports. Unit: seconds.
ONE_WAY_DELAY_S = 0.003
REPORT_PERIOD_S = 0.5

#: Period of the plans that no event triggers. Unit: seconds.
PLAN_PERIOD_S = 0.05

#: Duration of a stop, progress between two checkpoints, and time to restore one. Unit: seconds.
STOP_DURATION_S = 0.2
CHECKPOINT_PERIOD_S = 1.0
RESTORE_S = 0.25

#: Factor on the objective beyond which a late job is worth nothing.
MAX_LATE_FACTOR = 3.0

#: Share of its worth that a late job earns.
LATE_SHARE = 0.2

_LEASE_S = 3.0


class _SimulatedJob(Struct, kw_only=True):
    spec: JobSpec
    kind: LoadKind
    came_at: float
    objective_s: float
    worth: float
    lengths_s: dict[str, float]
    account: str = ""
    begun: bool = False


class _SimulatedRun(Struct, kw_only=True):
    task: str
    run_id: int
    began_at: float
    length_s: float
    done_s: float
    can_resume: bool
    speed: float = 1.0
    stops_at: float | None = None

    def work_done(self, now):
        """Return the work done so far, including that of earlier runs. Unit: seconds."""
        return min(self.length_s, self.done_s + self.speed * max(0.0, now - self.began_at))

    def checkpoint(self, now):
        """Return the latest checkpoint, or an empty string if there is none."""
        saved = int(self.work_done(now) / CHECKPOINT_PERIOD_S) * CHECKPOINT_PERIOD_S
        return f"{saved:.3f}" if self.can_resume and saved > 0 else ""


class LoadSimulation:
    """A scheduler, workers that execute its commands, and jobs that arrive at random.

    Parameters
    ----------
    kinds : sequence of LoadKind
    workers : sequence of WorkerInfo
    policy : SchedulingPolicy, default=None
    length_s : float
        Time during which jobs arrive. Unit: seconds.
    n_advice_callers : int, default=7
        Instances that make advice requests, one at a time each.
    speeds : dict of str to float, default=None
        Speeds of slow or fast workers, relative to a normal worker.
    random_state : int, default=0
    """

    def __init__(
        self,
        *,
        kinds,
        workers,
        policy=None,
        length_s=40.0,
        n_advice_callers=7,
        speeds=None,
        random_state=0,
    ):
        self.kinds = kinds
        self.length_s = length_s
        self.speeds = speeds or {}
        self.random_state = Random(random_state)
        self.now = 0.0
        self.results = {kind.queue.name: KindResult() for kind in kinds}
        self.stops = Counter()
        self._events = []
        self._order = count()
        self._jobs = {}
        self._runs = {worker.worker_id: {} for worker in workers}
        self._ended = {worker.worker_id: [] for worker in workers}
        self._n_ended = Counter()
        self._free_at = [0.0] * n_advice_callers
        self.scheduler = Scheduler(
            term=1,
            lease_s=_LEASE_S,
            now=0.0,
            n_advice_callers=n_advice_callers,
            policy=policy,
        )
        queues = tuple(kind.queue for kind in kinds)
        accounts = {account.name: account for kind in kinds for account in kind.accounts}
        self.scheduler.configure(
            CellConfig(version=1, queues=queues, accounts=tuple(accounts.values()) or None)
        )
        for worker in workers:
            self.scheduler.worker_listed(worker, 0.0)
            self._at(0.0, self._report, worker.worker_id)
        for kind in kinds:
            self._at(self._next_arrival(kind), self._arrive, kind)
        self._at(0.0, self._plan_again)

    def _at(self, when, call, *args):
        heappush(self._events, (when, next(self._order), call, args))

    def run_until(self, until_s):
        """Run the simulation until `until_s`; return the results by queue. Unit: seconds."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, call, args = heappop(self._events)
            call(*args)
        return self.results

    # Jobs

    def _next_arrival(self, kind):
        """Return the time of the next arrival; bursts are drawn by thinning."""
        when = self.now
        while True:
            when += self.random_state.expovariate(kind.max_per_s)
            if not kind.bursts:
                return when
            if self.random_state.random() * kind.max_per_s < sum(kind.rates(when).values()):
                return when

    def _arrive(self, kind):
        if self.now > self.length_s:
            return
        self._at(self._next_arrival(kind), self._arrive, kind)
        job = self._draw_job(kind)
        if kind.accounts:
            rates = kind.rates(self.now)
            job.account = self.random_state.choices(list(rates), list(rates.values()))[0]
        self._jobs[job.spec.job_id] = job
        result = self.results[kind.queue.name]
        result.n_asked += 1
        result.asked[job.account] = result.asked.get(job.account, 0) + 1
        result.owed += job.worth
        self.scheduler.add_job(
            job.spec,
            kind.queue,
            version=1,
            now=self.now,
            wall_now=self.now,
            account=kind.account_named(job.account),
        )
        self._plan()

    def _draw_job(self, kind):
        random = self.random_state
        job_id = f"{len(self._jobs):016x}"
        lengths, chain_s, work = {}, 0.0, 0.0
        accelerators = random.choice(kind.accelerators)
        can_resume = random.random() < kind.checkpointing
        speculative = kind.speculative > 0 and random.random() < kind.speculative
        cpu_milli, memory_mb = _draw_demand(kind, random)
        steps = []
        for number in range(kind.n_steps):
            n_tasks = max(1, round(random.expovariate(1 / kind.n_tasks)))
            mean_s = kind.work_s * exp(random.gauss(-kind.spread**2 / 2, kind.spread))
            longest_s = 0.0
            for index in range(n_tasks):
                length_s = max(0.1, mean_s * random.uniform(0.85, 1.15))
                if kind.tail_share and random.random() < kind.tail_share:
                    length_s *= kind.tail_factor
                lengths[f"{job_id}.0.{number}.{index}"] = length_s
                longest_s = max(longest_s, length_s)
                work += length_s
            error_factor = 1 + random.uniform(-kind.estimate_off, kind.estimate_off)
            chain_s += longest_s
            steps.append(
                StepSpec(
                    n_tasks=n_tasks,
                    cpu_milli=cpu_milli,
                    memory_mb=memory_mb,
                    accelerators=accelerators,
                    estimate_s=max(0.05, mean_s * error_factor),
                    after=(number - 1,) if number else (),
                    checkpointing=can_resume,
                    speculative=speculative,
                    gang=kind.gang,
                )
            )
        mean_work = kind.n_steps * kind.n_tasks * kind.work_s
        return _SimulatedJob(
            spec=JobSpec(job_id=job_id, queue=kind.queue.name, payload="", steps=tuple(steps)),
            kind=kind,
            came_at=self.now,
            objective_s=kind.queue.stretch * chain_s + kind.queue.target_latency_s,
            worth=min(4.0, 0.3 + 0.7 * work / mean_work) * kind.worth,
            lengths_s=lengths,
        )

    def _record_progress(self):
        """Record all progress without delay, and count the jobs that have ended."""
        for record in self.scheduler.dirty_jobs():
            job_id = record.job_id
            if not self.scheduler.recorded(job_id, record.change, self.now):
                continue
            job = self._jobs[job_id]
            took_s = self.now - job.came_at
            result = self.results[job.kind.queue.name]
            if self.scheduler.ended[job_id] is not JobState.COMPLETED:
                continue
            result.took_s.setdefault(job.account, []).append(took_s)
            if took_s <= job.objective_s:
                result.n_in_time += 1
                result.in_time[job.account] = result.in_time.get(job.account, 0) + 1
                result.earned += job.worth
            elif took_s <= MAX_LATE_FACTOR * job.objective_s:
                result.n_late += 1
                result.earned += LATE_SHARE * job.worth

    # Plans

    def _plan_again(self):
        self._plan()
        self._at(self.now + PLAN_PERIOD_S, self._plan_again)

    def _plan(self):
        self._execute(self.scheduler.plan(self.now, self.now))

    def _execute(self, actions):
        for action in actions:
            match action:
                case StartRun():
                    self._at(self.now + ONE_WAY_DELAY_S, self._start, action)
                case StopRun():
                    self.stops[action.why] += 1
                    self._at(self.now + ONE_WAY_DELAY_S, self._stop, action)
                case RequestAdvice():
                    self._request_advice(action)

    def _start(self, action):
        job = self._jobs[action.task.split(".", 1)[0]]
        if not job.begun:
            job.begun = True
            self.results[job.kind.queue.name].waits_s.append(self.now - job.came_at)
        step = job.spec.steps[int(action.task.split(".")[2])]
        done_s = float(action.checkpoint or 0.0)
        run = _SimulatedRun(
            task=action.task,
            run_id=action.run_id,
            began_at=self.now + (RESTORE_S if done_s else 0.0),
            length_s=job.lengths_s[action.task],
            done_s=done_s,
            can_resume=step.checkpointing,
            speed=self.speeds.get(action.worker_id, 1.0),
        )
        self._runs[action.worker_id][action.task] = run
        ends_at = run.began_at + (run.length_s - run.done_s) / run.speed
        self._at(ends_at, self._end, action.worker_id, run, "done")
        self._at(self.now + ONE_WAY_DELAY_S, self._answer, action)

    def _answer(self, action):
        self.scheduler.start_answered(
            action.worker_id, action.task, action.run_id, "started", self.now
        )

    def _stop(self, action):
        run = self._runs[action.worker_id].get(action.task)
        if run is not None and run.run_id == action.run_id and run.stops_at is None:
            run.stops_at = self.now + STOP_DURATION_S
            self._at(run.stops_at, self._end, action.worker_id, run, "stopped")
        self._at(self.now + ONE_WAY_DELAY_S, self._stopped, action)

    def _stopped(self, action):
        self.scheduler.stop_answered(action.worker_id, action.task, action.run_id, self.now)

    def _end(self, worker_id, run, how):
        if self._runs[worker_id].get(run.task) is not run:
            return
        if how == "done" and run.stops_at is not None:
            return
        del self._runs[worker_id][run.task]
        self._n_ended[worker_id] += 1
        end = RunEnd(
            number=self._n_ended[worker_id],
            task=run.task,
            run_id=run.run_id,
            how=how,
            checkpoint=run.checkpoint(self.now) if how == "stopped" else "",
        )
        self._ended[worker_id].append(end)
        self._at(self.now + ONE_WAY_DELAY_S, self._send_report, worker_id)

    # Reports

    def _report(self, worker_id):
        self._send_report(worker_id)
        self._at(self.now + REPORT_PERIOD_S, self._report, worker_id)

    def _send_report(self, worker_id):
        ended, self._ended[worker_id] = self._ended[worker_id], []
        active = tuple(
            RunReport(
                task=run.task,
                run_id=run.run_id,
                checkpoint=run.checkpoint(self.now),
                percent=int(100 * run.work_done(self.now) / run.length_s),
                load=0.0,
            )
            for run in self._runs[worker_id].values()
        )
        report = WorkerReport(clock_s=self.now, active=active, ended=tuple(ended))
        requested_at = self.now - ONE_WAY_DELAY_S
        self._execute(
            self.scheduler.report(worker_id, report, requested_at=requested_at, now=self.now)
        )
        if ended:
            self._record_progress()
            self._plan()

    # Advice

    def _request_advice(self, action):
        """Make the request from the instance that is free first; each makes one at a time."""
        index = min(range(len(self._free_at)), key=self._free_at.__getitem__)
        answers_at = max(self.now, self._free_at[index]) + action.length_s
        self._free_at[index] = answers_at
        self._at(answers_at, self._deliver_advice, action)

    def _allowed(self, step, good):
        """Return the workers that advice allows for a step: always the same, and at least one."""
        draws = {name: Random(f"{step} {name}").random() for name in self._runs}
        return {name for name in draws if draws[name] < max(good, min(draws.values()) + 1e-9)}

    def _deliver_advice(self, action):
        job = self._jobs[action.step.split(".", 1)[0]]
        allowed = self._allowed(action.step, job.kind.good)
        tickets = {worker_id: "ticket" for worker_id in action.workers if worker_id in allowed}
        valid_s = job.kind.queue.advice.valid_s
        self.scheduler.advice_received(
            action.step,
            action.workers,
            tickets,
            self.now + valid_s,
            self.now,
            number=action.number,
        )
        self._plan()


def _draw_demand(kind, random):
    """Return the processor and memory of a job's tasks; at most three times the mean."""
    if not kind.demand_spread:
        return kind.cpu_milli, kind.memory_mb
    spread = kind.demand_spread
    factors = [min(3.0, exp(random.gauss(-(spread**2) / 2, spread))) for _ in range(2)]
    return int(kind.cpu_milli * factors[0]), int(kind.memory_mb * factors[1])


def make_workers(n_workers, *, service, cpu_milli, memory_mb, accelerators=0):
    """Return workers of equal capacity, four in each rack."""
    return [
        WorkerInfo(
            registry_id=f"{service}-{number}",
            address="w:1",
            service=service,
            failure_domain="z",
            kind="a",
            rack=f"r{number // 4}",
            labels=("a", f"r{number // 4}"),
            cpu_milli=cpu_milli,
            memory_mb=memory_mb,
            accelerators=accelerators,
        )
        for number in range(n_workers)
    ]
