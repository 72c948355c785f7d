"""Workers that leave, under random faults that meet on one worker."""

from random import Random

import pytest
from logbook import TestHandler as LogRecorder
from msgspec import structs

from anvilflow.standins import LeavingWorker, PlatformCell, draw_departure, find_violations

from ._helpers import PRESSURE_POLICY, max_crashes_per_task

N_JOBS = 14
N_WORKERS = 6
N_ADDED_WORKERS = 3
NAMES = tuple(f"a{number}" for number in range(5))

#: Period in which jobs are submitted and groups of faults begin, time by which all faults have
#: ended, and duration of the whole simulation. Unit: seconds.
FAULTS_S = 8.0
HEALED_S = 18.0
DURATION_S = 34.0
STEP_S = 0.02

#: Time within which the faults of a group begin, and durations of those that end. Unit: seconds.
GROUP_S = 1.5
DURATIONS_S = (0.1, 0.3, 0.6, 1.0, 2.0, 3.5)

#: Faults of one worker, of which each group has some, with their weights.
WORKER_FAULTS = {
    "leave": 4,
    "drain": 2,
    "unlist": 2,
    "refuse": 3,
    "silence": 2,
    "silence to leader": 2,
    "late starts": 1,
    "late stops": 1,
    "lost starts": 1,
    "wrong address": 1,
    "restart": 1,
}

#: Faults of instances, of which most groups have one, with their weights.
INSTANCE_FAULTS = {
    "kill leader": 4,
    "freeze leader": 2,
    "cut leader from store": 2,
    "restart instance": 1,
    "freeze instance": 1,
}
INSTANCE_FAULT_SHARE = 0.7

#: Share of the departures beside which another worker leaves.
SECOND_DEPARTURE_SHARE = 0.3

#: Steps of the jobs, and durations of their tasks. Unit: seconds.
STEPS = (
    {"count": 6, "cpu": 1000},
    {"count": 6, "cpu": 4000, "anti-affinity": 2},
    {"count": 3, "cpu": 2000, "gang": True},
    {"count": 4, "cpu": 2000, "checkpointing": True},
    {"count": 1, "cpu": 1000},
)
TASK_DURATIONS_S = (0.3, 0.8, 1.5, 4.0)
ENDLESS_STEP = {"count": 3, "cpu": 2000, "long-running": True, "anti-affinity": 1}
ENDLESS_JOB = "00000000000000e0"

#: Time after a reduction of a capacity during which starts may still use the old one. Unit:
#: seconds.
CAPACITY_DELAY_S = 1.0

#: Log events that name the proof by which a run was taken for over, or all runs of a worker.
PROOF_EVENTS = ("run over without its end", "run was not over", "worker gone")


class DepartureScenario:
    """A cell whose workers leave, with groups of faults on one worker, drawn from a seed.

    Parameters
    ----------
    seed : int
    policy : SchedulingPolicy, default=None
    """

    def __init__(self, *, seed, policy=None):
        self.random_state = Random(seed)
        self.cell = PlatformCell(
            n_instances=len(NAMES),
            n_workers=N_WORKERS,
            random_state=seed,
            policy=policy,
            has_start_times=self.random_state.random() < 0.7,
            slow=NAMES if self.random_state.random() < 0.3 else (),
            weak=NAMES if self.random_state.random() < 0.4 else (),
        )
        self.audit = self.cell.audit_ends()
        self.jobs = [f"{number:016x}" for number in range(N_JOBS)]
        self.leaving = {}
        self.faults = []
        self.log = LogRecorder(filter=lambda record, _: record.message in PROOF_EVENTS)
        self.events = sorted(self._draw_events(), key=lambda event: event[0])

    def _draw_events(self):
        draw = self.random_state.uniform
        yield 0.0, self._send, (ENDLESS_JOB, ENDLESS_STEP, "600 done 2000")
        for job_id in self.jobs:
            yield draw(0.0, FAULTS_S), self._submit, (job_id,)
        for _ in range(self.random_state.randint(2, 4)):
            yield draw(0.5, FAULTS_S), self._begin_group, ()
        yield HEALED_S, self._heal, ()
        yield DURATION_S, lambda: None, ()

    def play(self):
        """Run the simulation; return the violations found."""
        with self.log.applicationbound():
            self.cell.start()
            began_at = self.cell.clock.seconds()
            for at, act, args in self.events:
                while self.cell.clock.seconds() - began_at < at:
                    self.cell.advance(STEP_S)
                act(*args)
            states = self._job_states()
        return self.find_broken_rules(states)

    # Rules

    def find_broken_rules(self, states):
        """Return the violations at the end, for the states of the jobs that callers were shown."""
        cell = self.cell
        cell.mark_unacknowledged_ends()
        broken = find_violations(cell.spans, cell.all_workers(), capacity_delay_s=CAPACITY_DELAY_S)
        return [
            *(f"{text}, by {self._proofs(text.split()[0])}" for text in broken),
            *self.audit.violations(),
            *self._check_jobs(states),
            *self._check_workers(),
        ]

    def _proofs(self, task):
        """Return by what the runs of a task, or the workers that they ran on, count as over."""
        workers = {worker.identity: worker.worker_id for worker in self.cell.all_workers()}
        names = {span.worker for span in self.cell.runs_of(task)}
        proofs = set()
        for record in self.log.records:
            values = record.kwargs
            if values.get("task") == task:
                proofs.add(str(values["proof"]))
            elif "replaced" in values and workers.get(values["worker"]) in names:
                proofs.add("worker replaced" if values["replaced"] else "worker removed")
        return sorted(proofs)

    def _job_states(self):
        """Return the state or error status of each job that a caller is shown."""
        name = next(iter(self.cell.daemons))
        answers = {
            job_id: self.cell.call(name, "GET", f"/urgent/{job_id}")
            for job_id in [*self.jobs, ENDLESS_JOB]
        }
        self.cell.advance(1.0)
        return {
            job_id: answer[0][1]["state"] if answer and answer[0][0] == 200 else str(answer)
            for job_id, answer in answers.items()
        }

    def _check_jobs(self, states):
        """Return the jobs that did not complete; one may fail whose task lost two workers."""
        broken = []
        for job_id in self.jobs:
            may_fail = max_crashes_per_task(self.cell, job_id) >= 2
            if states[job_id] != "completed" and not (states[job_id] == "failed" and may_fail):
                broken.append(f"{job_id} is {states[job_id]}")
        n_active = sum(
            span.ended_at is None and span.task.startswith(ENDLESS_JOB) for span in self.cell.spans
        )
        if n_active != ENDLESS_STEP["count"]:
            broken.append(f"{n_active} tasks of the job without end run")
        return broken

    def _check_workers(self):
        """Return the workers that the leader keeps after their ends, and those that it misses."""
        known = set(self.cell.daemons[self.cell.leader()].context.leader._scheduler.workers)
        alive = {worker.identity for worker in self.cell.workers.values() if worker.alive}
        return [
            *(f"{worker_id} is kept after its end" for worker_id in sorted(known - alive)),
            *(f"{worker_id} is not known to the leader" for worker_id in sorted(alive - known)),
        ]

    # Jobs

    def _submit(self, job_id):
        rng = self.random_state
        seconds = rng.choice(TASK_DURATIONS_S)
        self._send(job_id, rng.choice(STEPS), f"{seconds} done 1000")

    def _send(self, job_id, step, payload):
        name = self.random_state.choice(list(self.cell.daemons))
        payload = f"{payload.rpartition(' ')[0]} {step['cpu']}"
        answers = self.cell.submit(name, job_id, step, spec=payload)
        self.cell.clock.callLater(2.0, self._retry, job_id, step, payload, answers)

    def _retry(self, job_id, step, payload, answers):
        """Send a submission again that was refused or not answered."""
        if not answers or answers[0][0] != 200:
            self._send(job_id, step, payload)

    # Faults

    def _begin_group(self):
        """Begin faults that meet on one worker, mostly one with runs, and one of an instance."""
        rng = self.random_state
        present = [worker for worker in self.cell.workers.values() if worker.alive]
        busy = [worker for worker in present if worker.active]
        worker_id = rng.choice(busy or present).worker_id
        kinds = rng.choices(list(WORKER_FAULTS), WORKER_FAULTS.values(), k=rng.randint(2, 5))
        for kind in sorted(set(kinds), key=kinds.index):
            self._schedule(kind, worker_id)
        if "leave" in kinds and rng.random() < SECOND_DEPARTURE_SHARE:
            self._schedule("leave", rng.choice(present).worker_id)
        if rng.random() < INSTANCE_FAULT_SHARE:
            [kind] = rng.choices(list(INSTANCE_FAULTS), INSTANCE_FAULTS.values())
            self._schedule(kind, None)

    def _schedule(self, kind, worker_id):
        begins_in_s = self.random_state.uniform(0.0, GROUP_S)
        for_s = self.random_state.choice(DURATIONS_S)
        self.cell.clock.callLater(begins_in_s, self._begin_fault, kind, worker_id, for_s)

    def _begin_fault(self, kind, worker_id, for_s):
        if worker_id is not None and not self.cell.workers[worker_id].alive:
            return
        self.faults.append((round(self.cell.clock.seconds(), 3), kind, worker_id, for_s))
        end = self._begin_worker_fault if worker_id is not None else self._begin_instance_fault
        end = end(kind, worker_id, for_s)
        if end is not None:
            self.cell.clock.callLater(for_s, end)

    def _begin_worker_fault(self, kind, worker_id, for_s):
        """Begin a fault of a worker; return what ends it, or None."""
        cell, worker = self.cell, self.cell.workers[worker_id]
        faults = cell.worker_faults[worker_id]
        match kind:
            case "leave":
                self._leave(worker_id)
            case "drain" if worker_id not in self.leaving:
                cell.drain_worker(worker_id, for_s)
            case "unlist":
                cell.store.remove("servers", worker_id)
                return lambda: self._register(worker)
            case "refuse":
                return self._refuse(worker)
            case "silence" | "silence to leader":
                faults.silent = True
                faults.only = {cell.leader()} if kind == "silence to leader" else None
                return faults.clear
            case "late starts" | "late stops":
                setattr(worker, f"n_{kind.replace(' ', '_')}", 2)
                # Without a delay, only the answer is lost.
                worker.late_s = self.random_state.choice([0.0, for_s])
            case "lost starts":
                worker.n_lost_starts = 2
            case "wrong address" if cell.store.value("servers", worker_id) is not None:
                other = self.random_state.choice(list(cell.workers.values()))
                cell.store.put("servers", worker_id, {**worker.entry(), "address": other.address})
                return lambda: self._register(worker)
            case "restart" if cell.has_start_times and worker_id not in self.leaving:
                # Without start times, a worker that starts again has a new id.
                cell.restart_worker(worker_id)
        return None

    def _leave(self, worker_id):
        if worker_id not in self.leaving:
            departure = draw_departure(self.random_state)
            self.faults.append(departure)
            self.leaving[worker_id] = LeavingWorker(
                cell=self.cell, worker_id=worker_id, departure=departure
            )

    def _refuse(self, worker):
        if not self._is_listening(worker):
            return None
        self.cell.stop_listening(worker.worker_id)
        return lambda: self._listen(worker)

    def _is_listening(self, worker):
        return self.cell.wire.servers.get(worker.address) is worker

    def _listen(self, worker):
        is_leaving = worker.worker_id in self.leaving
        if self._is_present(worker) and not is_leaving and not self._is_listening(worker):
            self.cell.listen_again(worker.worker_id)

    def _is_present(self, worker):
        return worker.alive and self.cell.workers[worker.worker_id] is worker

    def _register(self, worker):
        """Write the entry of a worker again, unless the worker has removed it itself."""
        leaving = self.leaving.get(worker.worker_id)
        if self._is_present(worker) and (leaving is None or leaving.is_listed):
            self.cell.store.put("servers", worker.worker_id, worker.entry())

    def _begin_instance_fault(self, kind, _, for_s):
        """Begin a fault of an instance; return what ends it, or None."""
        cell = self.cell
        name = cell.leader() if "leader" in kind else cell.other()
        if name not in cell.daemons:
            return None
        match kind.partition(" ")[0]:
            case "kill" | "restart":
                cell.kill(name)
                return lambda: cell.start_instance(name)
            case "freeze":
                cell.pause(name)
                return lambda: cell.resume(name)
            case "cut":
                cell.store_faults.silent = True
                cell.store_faults.only = {name}
                return cell.store_faults.clear

    def _heal(self):
        """End what has no end of its own, and add workers for tasks that have no place any more."""
        for worker in list(self.cell.workers.values()):
            if worker.worker_id not in self.leaving:
                worker.remaining_s = None
            self._listen(worker)
            self._register(worker)
        for number in range(N_WORKERS, N_WORKERS + N_ADDED_WORKERS):
            self.cell.add_worker(f"i-{number}", f"w{number}:1")


@pytest.mark.parametrize("seed", [0, 1, 22, 23, 26, 55, 101, 110, 117])
def test_tasks_run_once_while_workers_leave(seed):
    """Guards against signs that are no proof: refused connections, answers of other workers."""
    assert DepartureScenario(seed=seed).play() == []


@pytest.mark.parametrize("seed", [24, 33])
def test_tasks_run_once_under_the_policy_for_pressure(seed):
    assert DepartureScenario(seed=seed, policy=PRESSURE_POLICY).play() == []


def _quiet_scenario():
    """Return a scenario without faults, with the states of its jobs at the end."""
    scenario = DepartureScenario(seed=0)
    scenario.events = [event for event in scenario.events if event[1] != scenario._begin_group]
    scenario.cell.start()
    began_at = scenario.cell.clock.seconds()
    for at, act, args in scenario.events:
        while scenario.cell.clock.seconds() - began_at < min(at, FAULTS_S + 8.0):
            scenario.cell.advance(STEP_S)
        act(*args)
    return scenario, scenario._job_states()


def _plant_run(scenario, *, began_after_s):
    """Add a second run of a task, `began_after_s` after the end of the first."""
    first = next(span for span in scenario.cell.spans if span.how == "done")
    second = structs.replace(
        first,
        worker=next(name for name in scenario.cell.workers if name != first.worker),
        run_id=first.run_id + 1,
        began_at=first.ended_at + began_after_s,
        ended_at=first.ended_at + began_after_s + 0.01,
        how="stopped",
    )
    scenario.cell.spans.append(second)


def _lapse_first_run(scenario):
    """Add a second run of a task whose first end was not acknowledged before its lease lapsed."""
    first = next(span for span in scenario.cell.spans if span.how == "done")
    worker = scenario.cell.workers[first.worker]
    worker.unacknowledged_ends.add((first.task, first.run_id))
    _plant_run(scenario, began_after_s=0.5)


def _keep_worker(scenario):
    """End a worker of which the leader learns nothing."""
    scenario.cell.workers["i-0"].alive = False


def _miss_worker(scenario):
    """Add a worker that the leader does not find."""
    scenario.cell.add_worker("i-9", "w9:1", is_registered=False)


def _lose_job(scenario):
    scenario.jobs.append("00000000000000ff")


def _lose_endless_task(scenario):
    span = next(span for span in scenario.cell.spans if span.task.startswith(ENDLESS_JOB))
    span.ended_at = scenario.cell.clock.seconds()


def _exceed_capacity(scenario):
    scenario.cell.spans[0].cpu = 16001


@pytest.mark.parametrize(
    ("plant", "is_found"),
    [
        (lambda scenario: None, False),
        (lambda scenario: _plant_run(scenario, began_after_s=0.5), True),
        (lambda scenario: _plant_run(scenario, began_after_s=-0.05), True),
        (_lapse_first_run, False),
        (_exceed_capacity, True),
        (_keep_worker, True),
        (_miss_worker, True),
        (_lose_job, True),
        (_lose_endless_task, True),
    ],
)
def test_planted_violations_are_found(plant, is_found):
    """The checks of the scenarios must be able to fail."""
    scenario, states = _quiet_scenario()
    states["00000000000000ff"] = "running"
    plant(scenario)
    assert bool(scenario.find_broken_rules(states)) is is_found
