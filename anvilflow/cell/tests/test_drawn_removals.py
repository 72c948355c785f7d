"""Jobs whose rows are removed, under random faults before and changes of leader after that."""

from random import Random

import pytest
from twisted.internet.task import deferLater

from anvilflow.cell import Bounds
from anvilflow.cell._garbage_collector import RETENTION_MARGIN_S, SWEEP_S
from anvilflow.cell._tables import JOBS, PART
from anvilflow.standins import PlatformCell

#: Groups of a fault and the jobs that are submitted beside it, and time within which these come.
#: Unit of `GROUP_S`: seconds.
MAX_GROUPS = 5
JOBS_PER_GROUP = 4
GROUP_S = 0.7

#: Share of the groups with a slow store, and least time for which it is slow. Unit of
#: `SLOW_STORE_S`: seconds.
SLOW_STORE_SHARE = 0.4
SLOW_STORE_S = 2.0

#: Share of the plays in which the first leader that removes rows hands over just then, in a slow
#: store.
HANDOVER_SHARE = 0.6

NAMES = tuple(f"a{number}" for number in range(4))

#: Time for which states are kept: short, so that the scenario outlasts the removal of rows. Unit:
#: seconds.
STATUS_KEPT_S = 1.0

#: Period in which jobs are submitted, beside faults; period in which the rows of all jobs are
#: removed, beside changes of leader in a slow store; and duration of the simulation. Unit: seconds.
SUBMISSION_S = 6.0
REMOVAL_S = (
    STATUS_KEPT_S + RETENTION_MARGIN_S,
    SUBMISSION_S + GROUP_S + RETENTION_MARGIN_S + 2 * SWEEP_S,
)
DURATION_S = REMOVAL_S[1] + 12.0
STEP_S = 0.02

#: Durations of pauses and cuts, and of single calls to a slow store. Unit: seconds.
FAULT_DURATIONS_S = (0.1, 0.3, 0.45, 0.55, 1.0, 2.0)
CALL_DURATIONS_S = (0.02, 0.3, 1.0)

#: Calls that a slow store delays, each for a time of its own: transactions, those on the parts of
#: the table of jobs, and reads by table.
SLOW_CALLS = ("commit", "commit jobs", "jobs", "ended", "progress", "servers", "home")

#: Faults while jobs are submitted, and changes of leader later, with their weights.
EARLY_FAULTS = {
    "kill leader": 3,
    "pause leader": 3,
    "pause instance": 2,
    "cut from leader": 3,
    "cut to leader": 1,
    "reconnect": 1,
    "slow store": 2,
}
LATE_FAULTS = {
    "kill leader": 2,
    "drain leader": 3,
    "pause leader": 1,
    "reconnect": 1,
    "slow store": 3,
}


class RemovalScenario:
    """A cell that outlasts the removal of its jobs' rows, with faults drawn from a seed.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, *, seed):
        self.random_state = Random(seed)
        self.cell = PlatformCell(
            n_instances=len(NAMES),
            random_state=seed,
            bounds=Bounds(status_kept_s=STATUS_KEPT_S),
            slow=NAMES if self.random_state.random() < 0.3 else (),
            weak=NAMES if self.random_state.random() < 0.3 else (),
        )
        self.audit = self.cell.audit_ends()
        self.faults = []
        self.accepted = {}
        self.call_s = {}
        self.hands_over = self.random_state.random() < HANDOVER_SHARE
        self.events = sorted(self._draw_events(), key=lambda event: event[0])

    def _draw_events(self):
        draw = self.random_state.uniform
        job_ids = iter(f"{number:016x}" for number in range(MAX_GROUPS * JOBS_PER_GROUP))
        for _ in range(self.random_state.randint(2, MAX_GROUPS)):
            at = draw(0.5, SUBMISSION_S)
            yield at, self._inject, self._draw_kind(EARLY_FAULTS)
            if self.random_state.random() < SLOW_STORE_SHARE:
                yield at - 0.1, self._inject, "slow store"
            for _ in range(JOBS_PER_GROUP):
                yield at + draw(-0.1, GROUP_S), self._submit, next(job_ids)
        for _ in range(self.random_state.randint(2, 5)):
            yield draw(*REMOVAL_S), self._inject, self._draw_kind(LATE_FAULTS)
        for _ in range(3):
            yield draw(REMOVAL_S[1], DURATION_S - 4.0), self._inject, "kill leader"
        yield DURATION_S, lambda _: None, None

    def _draw_kind(self, weights):
        return self.random_state.choices(list(weights), weights=list(weights.values()))[0]

    def play(self):
        """Run the simulation; return the violations found."""
        cell = self.cell
        cell.start()
        for name in NAMES:
            self._delay_calls(name)
        began_at = cell.clock.seconds()
        for at, act, subject in self.events:
            while cell.clock.seconds() - began_at < at:
                cell.advance(STEP_S)
            act(subject)
        cell.mark_unacknowledged_ends()
        assert cell.spans
        return cell.check() + self.audit.violations() + self._find_lost_jobs()

    def _find_lost_jobs(self):
        """Return the accepted jobs none of whose tasks has run."""
        begun = {span.task.partition(".")[0] for span in self.cell.spans}
        accepted = [job_id for job_id, answers in self.accepted.items() if answers]
        return [
            f"{job_id} was accepted and did not run"
            for job_id in accepted
            if self.accepted[job_id][0][0] == 200 and job_id not in begun
        ]

    def _submit(self, job_id):
        step = {"count": self.random_state.choice([1, 4]), "cpu": 1000}
        spec = f"{self.random_state.choice([0.2, 0.5, 1.5])} done 1000"
        name = self.random_state.choice(list(self.cell.daemons))
        self.accepted[job_id] = self.cell.submit(name, job_id, step, spec=spec)

    # Faults

    def _inject(self, kind):
        cell = self.cell
        leader = cell.leader()
        for_s = self.random_state.choice(FAULT_DURATIONS_S)
        others = [name for name in cell.daemons if name != leader]
        other = self.random_state.choice(others)
        self.faults.append((round(cell.clock.seconds(), 2), kind, for_s))
        if kind != "slow store" and leader not in cell.daemons:
            return
        match kind:
            case "kill leader":
                cell.kill(leader)
                cell.clock.callLater(1.0, self._start_instance, leader)
            case "drain leader":
                cell.daemons[leader].drain()
                cell.clock.callLater(2.0, self._restart_instance, leader)
            case "pause leader" | "pause instance":
                name = leader if kind == "pause leader" else other
                cell.pause(name)
                cell.clock.callLater(for_s, cell.resume, name)
            case "cut from leader":
                self._cut(leader, other, for_s)
            case "cut to leader":
                self._cut(other, leader, for_s)
            case "reconnect":
                link = cell.daemons[other].context.links.leader_link
                if link is not None:
                    link.abort()
            case "slow store":
                self.call_s = {
                    name: self.random_state.choice(CALL_DURATIONS_S) for name in SLOW_CALLS
                }
                cell.clock.callLater(for_s + SLOW_STORE_S, self.call_s.clear)

    def _cut(self, here, there, for_s):
        self.cell.network.block(here, there)
        self.cell.clock.callLater(for_s, self.cell.network.unblock, here, there)

    def _start_instance(self, name):
        if name not in self.cell.daemons:
            self.cell.start_instance(name)
            self._delay_calls(name)

    def _restart_instance(self, name):
        if name in self.cell.daemons:
            self.cell.kill(name)
        self._start_instance(name)

    def _delay_calls(self, name):
        """Let the calls of an instance to the store take as long as `call_s` says."""
        store, clock = self.cell.daemons[name].context.store, self.cell.clocks[name]
        commit, follow, read = store.commit, store.follow, store.read

        def later(kind, call):
            return deferLater(clock, self.call_s.get(kind, 0.0), call)

        def commit_later(conditions, writes, **values):
            is_removal = any(row.table == JOBS and row.value is None for row in writes)
            if is_removal and self.hands_over:
                self.hands_over = False
                self._inject("slow store")
                self._inject("drain leader")
            kind = "commit jobs" if writes and writes[-1].part != PART else "commit"
            return later(kind, lambda: commit(conditions, writes, **values))

        store.commit = commit_later
        store.follow = lambda table, version, **values: later(
            table, lambda: follow(table, version, **values)
        )
        store.read = lambda table, part, **values: later(table, lambda: read(table, part, **values))


@pytest.mark.parametrize("seed", [0, 4, 13, 51])
def test_no_task_runs_again_after_the_rows_of_its_job_were_removed(seed):
    """Guards against messages and reads that outlast the rows which they speak of."""
    assert RemovalScenario(seed=seed).play() == []
