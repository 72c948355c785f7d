"""Long-running tasks that fail often, beside changes of leader and short outages of the store."""

from random import Random

import pytest

from anvilflow.jobs import _run_numbers
from anvilflow.standins import PlatformCell

NAMES = tuple(f"a{number}" for number in range(5))

#: Period in which the tasks fail and faults begin; time after it until all faults have ended, and
#: time from then on within which each task has to run: 6 s since its last run, and 3 s more. Unit:
#: seconds.
FAILING_S = 16.0
LAST_FAULT_S = 2.0
RUNS_AGAIN_S = 9.0
STEP_S = 0.02

#: Numbers of a term, so that a seed passes them.
RUNS_PER_TERM = (10, 20, 40)

#: Steps of the long-running jobs, durations of runs that fail, and share of the runs, without those
#: of gangs, that do not fail while the cause lasts. Unit of `FAILS_AFTER_S`: seconds.
STEPS = (
    {"count": 1, "cpu": 1000, "long-running": True},
    {"count": 3, "cpu": 1000, "long-running": True},
    {"count": 2, "cpu": 2000, "long-running": True, "gang": True},
)
FAILS_AFTER_S = (0.005, 0.02, 0.1)
SOUND_SHARE = 0.02

#: Kinds of changes of leader, the largest number of a series and pauses between two. Unit of
#: `PAUSES_S`: seconds.
CHANGES = ("kill", "kill", "pause", "drain")
MAX_CHANGES = 3
PAUSES_S = (0.2, 0.5, 1.5)


class FailingServiceScenario:
    """Clients' broken services and small jobs in a cell that loses leaders, drawn from a seed.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, *, seed):
        self.random_state = Random(seed)
        self.is_failing = True
        self.runs_per_term = self.random_state.choice(RUNS_PER_TERM)
        self.cell = PlatformCell(
            n_instances=len(NAMES),
            n_workers=self.random_state.randint(3, 8),
            random_state=seed,
            sizes=self._size,
        )
        self.lasting_tasks = []
        self.faults = []
        self.events = sorted(self._draw_events(), key=lambda event: event[0])

    def _size(self, _, payload):
        seconds, how, cpu = payload.split()
        if how not in ("lasts", "gang-lasts"):
            return float(seconds), how, int(cpu)
        sound_share = SOUND_SHARE if how == "lasts" else 0.0
        if self.is_failing and self.random_state.random() >= sound_share:
            return float(seconds), "failed", int(cpu)
        return 1e6, "done", int(cpu)

    def _draw_events(self):
        draw = self.random_state.uniform
        for number in range(self.random_state.randint(1, 3)):
            yield draw(0.0, 1.0), self._submit_service, f"{number:015x}f"
        for number in range(self.random_state.choice([0, 10, 40])):
            yield draw(0.5, FAILING_S), self._submit_small_job, f"{number:015x}b"
        for _ in range(self.random_state.randint(1, 3)):
            yield from self._draw_series(draw(3.0, FAILING_S))
        yield from self._draw_series(FAILING_S + draw(-1.0, 0.5))
        if self.random_state.random() < 0.3:
            yield draw(3.0, FAILING_S - 4.0), self._silence_store, draw(0.5, 3.0)
        yield FAILING_S, self._end_cause, None

    def _draw_series(self, at):
        for _ in range(self.random_state.randint(1, MAX_CHANGES)):
            yield at, self._change_leader, self.random_state.choice(CHANGES)
            at += self.random_state.choice(PAUSES_S)

    # Play

    def play(self):
        """Run the simulation; return the violations found."""
        cell = self.cell
        cell.start()
        began_at = cell.clock.seconds()
        for at, act, subject in self.events:
            while cell.clock.seconds() - began_at < at:
                cell.advance(STEP_S)
            act(subject)
        cell.advance(max(0.0, began_at + FAILING_S + LAST_FAULT_S - cell.clock.seconds()))
        cell.advance(RUNS_AGAIN_S)
        active = {task for worker in cell.workers.values() for task in worker.active}
        lost = [f"{task} does not run again" for task in self.lasting_tasks if task not in active]
        return cell.check() + lost + [repr(error) for error in cell.errors]

    def _submit_service(self, job_id):
        step = self.random_state.choice(STEPS)
        how = "gang-lasts" if step.get("gang") else "lasts"
        spec = f"{self.random_state.choice(FAILS_AFTER_S)} {how} {step['cpu']}"
        self.cell.submit(self._any_instance(), job_id, step, spec=spec)
        self.lasting_tasks += [f"{job_id}.0.0.{index}" for index in range(step["count"])]

    def _submit_small_job(self, job_id):
        step = {"count": 2, "cpu": 1000}
        self.cell.submit(self._any_instance(), job_id, step, spec="0.05 done 1000")

    def _any_instance(self):
        return self.random_state.choice(list(self.cell.daemons))

    # Faults

    def _end_cause(self, _):
        self.is_failing = False

    def _silence_store(self, for_s):
        self.faults.append(("store silent", for_s))
        self.cell.store_faults.silent = True
        self.cell.clock.callLater(for_s, self.cell.store_faults.clear)

    def _change_leader(self, kind):
        cell = self.cell
        leader = cell.leader()
        if leader not in cell.daemons:
            return
        self.faults.append((kind, leader))
        match kind:
            case "kill":
                cell.kill(leader)
                cell.clock.callLater(1.0, self._start_instance, leader)
            case "pause":
                cell.pause(leader)
                cell.clock.callLater(1.5, cell.resume, leader)
            case "drain":
                cell.daemons[leader].drain()
                cell.clock.callLater(1.5, self._restart_instance, leader)

    def _start_instance(self, name):
        if name not in self.cell.daemons:
            self.cell.start_instance(name)

    def _restart_instance(self, name):
        if name in self.cell.daemons:
            self.cell.kill(name)
        self._start_instance(name)


def play(monkeypatch, seed):
    """Play a seed with few run numbers a term; return the violations."""
    scenario = FailingServiceScenario(seed=seed)
    runs_per_term = scenario.runs_per_term
    monkeypatch.setattr(_run_numbers, "RUNS_PER_TERM", runs_per_term)
    monkeypatch.setattr(_run_numbers, "RESERVED_RUNS", runs_per_term)
    monkeypatch.setattr(_run_numbers, "MIN_UNUSED_RUNS", runs_per_term // 2)
    return scenario.play()


@pytest.mark.parametrize("seed", [1, 4, 13, 28])
def test_services_that_failed_often_run_again_after_changes_of_leader(monkeypatch, seed):
    """Guards against run numbers that later leaders take for unused, and against second runs."""
    assert play(monkeypatch, seed) == []
