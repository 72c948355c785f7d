"""Claims and records that are lost or carried out late, beside parts and leaders that end."""

import json
from collections import Counter
from random import Random

import pytest
from twisted.internet.defer import Deferred

from anvilflow.cell import Bounds
from anvilflow.standins import PlatformCell, StoreCall

#: Numbers of instances, and of workers.
INSTANCE_COUNTS = (1, 1, 2, 3, 3, 4)
N_WORKERS = 4

#: Period in which groups of faults begin, time at which the leader is killed when they have ended,
#: and longest time until the last job has ended. Unit: seconds.
FAULTS_S = 9.0
LAST_KILL_S = 17.0
DURATION_S = 60.0
STEP_S = 0.02

#: Numbers of groups of faults and of the faults in one, the time within which these begin, the
#: jobs that are submitted for each, and how long before it. Unit of the times: seconds.
GROUP_COUNTS = (2, 3, 4)
GROUP_SIZES = (0, 0, 1, 2)
GROUP_S = 0.4
JOBS_PER_GROUP = 3
SUBMITTED_BEFORE_S = (0.0, 1.0)

#: Numbers of tasks, their processor in thousandths of a core, and their durations. Unit of
#: `TASK_DURATIONS_S`: seconds.
TASK_COUNTS = (4, 8, 16)
TASK_CPU = 1000
TASK_DURATIONS_S = (0.3, 0.7, 1.0, 2.5)

#: Shares of jobs with a second step, of those that are sent twice, and of those cancelled.
TWO_STEP_SHARE = 0.3
SENT_TWICE_SHARE = 0.2
CANCEL_SHARE = 0.1

#: Shares of the cells with slow links, with little processor, and with rows that are removed soon.
SLOW_SHARE = 0.4
WEAK_SHARE = 0.3
REMOVAL_SHARE = 0.3

#: Time for which those keep states, period in which rows are removed and writes are lost again, and
#: later times at which the leader is killed. Unit: seconds.
STATUS_KEPT_S = 1.0
REMOVAL_S = (18.0, 24.0)
REMOVAL_KILLS_S = (26.0, 29.0)

#: Faults, with their weights.
FAULTS = {
    "end leader part": 2,
    "end election part": 2,
    "depose": 2,
    "kill leader": 2,
    "kill all": 1,
    "pause leader": 2,
    "pause instance": 1,
    "drain leader": 2,
    "cut leader": 1,
    "slow store": 2,
    "silent store": 1,
    "store silent to leader": 1,
    "drop history": 1,
}

#: Share of the groups that begin with a leader that gives up while its row stays, the faults by
#: which it does, and the time within which it does. Unit of `GIVE_UP_S`: seconds.
GIVE_UP_SHARE = 0.7
GIVE_UP_FAULTS = ("end leader part", "end election part", "depose")
GIVE_UP_S = 0.1

#: Share of the groups with a store that loses calls, and for how long. Unit: seconds.
LOSSY_SHARE = 0.9
LOSSY_DURATIONS_S = (0.5, 1.5, 3.0, 5.0)

#: What becomes of a transaction while the store loses calls, with weights, by kind of loss. One
#: that is late is carried out without an answer.
LOSSES = (
    {"pass": 3, "lost": 5, "late": 2},
    {"pass": 2, "lost": 2, "late": 6},
    {"lost": 6, "late": 4},
    {"lost": 4, "late": 6},
    {"pass": 5, "unanswered": 5},
    {"pass": 2, "lost": 2, "late": 2, "unanswered": 2, "delayed": 2},
)

#: Delays of late transactions and of answers. Unit: seconds.
LATE_RANGE_S = (0.2, 6.0)
ANSWER_DELAY_RANGE_S = (0.2, 1.5)

#: Share of the losses that meet the leader's row only, and of those that meet reads as well, with
#: the share of the reads that are lost then.
LEADER_ROW_ONLY_SHARE = 0.5
LOST_READS_SHARE = 0.2
READ_LOSS = 0.3

#: Durations of other faults, delays of calls to a slow store, and times after which an instance is
#: started again. Unit: seconds.
FAULT_DURATIONS_S = (0.2, 0.6, 1.0, 2.0, 4.0)
CALL_DURATIONS_S = (0.05, 0.25, 0.6)
RESTART_DELAYS_S = (0.05, 0.3, 1.0)

#: Most faults of one part of a process: its supervisor ends the process after more.
MAX_PART_FAULTS = 4


class _LossyStore:
    """Loses, delays or executes late the calls to a store, as its current loss says."""

    def __init__(self, *, store, clock, random_state):
        self.clock = clock
        self.random_state = random_state
        self.handle = store.handle
        self.outcomes = {}
        self.is_for_leader_row = False
        self.loses_reads = False
        self.until = 0.0
        store.handle = self._handle

    def begin(self, for_s):
        """Draw a loss for some time. Unit: seconds."""
        self.outcomes = self.random_state.choice(LOSSES)
        self.is_for_leader_row = self.random_state.random() < LEADER_ROW_ONLY_SHARE
        self.loses_reads = self.random_state.random() < LOST_READS_SHARE
        self.until = self.clock.seconds() + for_s

    def _handle(self, method, path, query, body, headers):
        call = (method, path, query, body, headers)
        if self.clock.seconds() >= self.until:
            return self.handle(*call)
        if path != StoreCall.COMMIT:
            is_lost = self.loses_reads and self.random_state.random() < READ_LOSS
            return Deferred() if is_lost else self.handle(*call)
        if self.is_for_leader_row and not _writes_leader_row(body):
            return self.handle(*call)
        return self._commit(call)

    def _commit(self, call):
        weights = self.outcomes
        match self.random_state.choices(list(weights), weights=list(weights.values()))[0]:
            case "pass":
                return self.handle(*call)
            case "late":
                delay_s = self.random_state.uniform(*LATE_RANGE_S)
                self.clock.callLater(delay_s, self.handle, *call)
            case "unanswered":
                self.handle(*call)
            case "delayed":
                answer = Deferred()
                delay_s = self.random_state.uniform(*ANSWER_DELAY_RANGE_S)
                self.clock.callLater(delay_s, answer.callback, self.handle(*call))
                return answer
        return Deferred()


def _writes_leader_row(body):
    return any(item["table"] == "home" for item in json.loads(body)["writes"])


class LostWriteScenario:
    """A cell whose store loses writes while leaders and their parts end, drawn from a seed.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, *, seed):
        self.random_state = Random(seed)
        n_instances = self.random_state.choice(INSTANCE_COUNTS)
        self.names = tuple(f"a{number}" for number in range(n_instances))
        self.removes_rows = self._draw(REMOVAL_SHARE)
        self.cell = PlatformCell(
            n_instances=n_instances,
            n_workers=N_WORKERS,
            random_state=seed,
            bounds=Bounds(status_kept_s=STATUS_KEPT_S) if self.removes_rows else None,
            slow=self.names if self._draw(SLOW_SHARE) else (),
            weak=self.names if self._draw(WEAK_SHARE) else (),
        )
        self.disagreements = set()
        self.audit = self.cell.audit_ends()
        self.store = _LossyStore(
            store=self.cell.store, clock=self.cell.clock, random_state=self.random_state
        )
        self.faults = []
        self.accepted = {}
        self.cancelled = set()
        self._n_part_faults = Counter()
        self.began_at = 0.0
        self._n_jobs = 0
        self.events = sorted(self._draw_events(), key=lambda event: event[0])

    # Drawing

    def _draw(self, share):
        return self.random_state.random() < share

    def _draw_events(self):
        draw = self.random_state.uniform
        for _ in range(self.random_state.choice(GROUP_COUNTS)):
            at = draw(1.3, FAULTS_S)
            for _ in range(JOBS_PER_GROUP):
                self._n_jobs += 1
                yield at - draw(*SUBMITTED_BEFORE_S), self._submit, f"{self._n_jobs:016x}"
            if self._draw(LOSSY_SHARE):
                yield at, self._lose_writes, self.random_state.choice(LOSSY_DURATIONS_S)
            if self._draw(GIVE_UP_SHARE):
                kind = self.random_state.choice(GIVE_UP_FAULTS)
                yield at + draw(0.0, GIVE_UP_S), self._inject, kind
            for _ in range(self.random_state.choice(GROUP_SIZES)):
                kind = self.random_state.choices(list(FAULTS), weights=list(FAULTS.values()))[0]
                yield at + draw(0.0, GROUP_S), self._inject, kind
        yield LAST_KILL_S, self._inject, "kill leader"
        if self.removes_rows:
            at = draw(*REMOVAL_S)
            yield at, self._lose_writes, self.random_state.choice(LOSSY_DURATIONS_S)
            yield at + draw(0.0, GROUP_S), self._inject, self.random_state.choice(GIVE_UP_FAULTS)
            for at in REMOVAL_KILLS_S:
                yield at, self._inject, "kill leader"

    # Play

    def play(self):
        """Run the simulation; return the violations found."""
        cell = self.cell
        cell.start()
        self.began_at = cell.clock.seconds()
        for at, act, subject in self.events:
            while cell.clock.seconds() - self.began_at < at:
                cell.advance(STEP_S)
                self._check_roles()
            act(subject)
        cell.advance(4.0)
        while self._find_lost_jobs() and cell.clock.seconds() - self.began_at < DURATION_S:
            cell.advance(1.0)
        lost = self._find_lost_jobs()
        cell.mark_unacknowledged_ends()
        errors = [repr(error) for error in cell.errors]
        return self.audit.violations() + cell.check() + lost + errors + sorted(self.disagreements)

    def _check_roles(self):
        """Note instances whose parts disagree on whether the instance leads."""
        for name, daemon in self.cell.daemons.items():
            election = daemon.supervisor.part("leadership")
            leader = daemon.supervisor.part("home")
            if election and leader and election.is_leader != (leader._claimed is not None):
                self.disagreements.add(f"{name}: the parts disagree on whether it leads")

    def _find_lost_jobs(self):
        """Return the accepted jobs that have not been done."""
        done = {span.task for span in self.cell.spans if span.how == "done"}
        return [
            f"{job_id} was accepted and has not been done"
            for job_id, (answers, tasks) in self.accepted.items()
            if job_id not in self.cancelled
            and any(answer and answer[0][0] == 200 for answer in answers)
            and not tasks <= done
        ]

    def _submit(self, job_id):
        n_tasks = self.random_state.choice(TASK_COUNTS)
        steps = [{"count": n_tasks, "cpu": TASK_CPU}]
        if self._draw(TWO_STEP_SHARE):
            steps.append({"count": n_tasks, "cpu": TASK_CPU, "after": [0]})
        spec = f"{self.random_state.choice(TASK_DURATIONS_S)} done {TASK_CPU}"
        tasks = {
            f"{job_id}.0.{step}.{number}" for step in range(len(steps)) for number in range(n_tasks)
        }
        self.accepted[job_id] = [], tasks
        self._send(job_id, steps, spec)
        after_s = self.random_state.uniform(0.3, 3.0)
        if self._draw(SENT_TWICE_SHARE):
            self.cell.clock.callLater(after_s, self._send, job_id, steps, spec)
        if self._draw(CANCEL_SHARE):
            self.cell.clock.callLater(after_s, self._cancel, job_id)

    def _send(self, job_id, steps, spec):
        if not self.cell.daemons:
            return
        name = self.random_state.choice(list(self.cell.daemons))
        answers = self.cell.submit(name, job_id, *steps, spec=spec)
        self.accepted[job_id][0].append(answers)

    def _cancel(self, job_id):
        if self.cell.daemons:
            self.cancelled.add(job_id)
            name = self.random_state.choice(list(self.cell.daemons))
            self.cell.call(name, "DELETE", f"/urgent/{job_id}")

    # Faults

    def _note(self, kind, subject):
        self.faults.append((round(self.cell.clock.seconds() - self.began_at, 2), kind, subject))

    def _lose_writes(self, for_s):
        self.store.begin(for_s)
        self._note("lossy store", (for_s, self.store.outcomes))

    def _inject(self, kind):
        cell = self.cell
        leader = cell.leader()
        for_s = self.random_state.choice(FAULT_DURATIONS_S)
        self._note(kind, (leader, for_s))
        match kind:
            case "kill all":
                for name in list(cell.daemons):
                    self._kill(name)
            case "slow store" | "silent store" | "store silent to leader":
                self._disturb_store(kind, leader, for_s)
            case "drop history":
                cell.store.drop_history()
            case "pause instance":
                self._pause(self.random_state.choice(self.names), for_s)
            case _ if leader in cell.daemons:
                self._disturb_leader(kind, leader, for_s)

    def _disturb_leader(self, kind, leader, for_s):
        cell = self.cell
        match kind:
            case "end leader part":
                self._end_part(leader, "home")
            case "end election part":
                self._end_part(leader, "leadership")
            case "depose":
                if cell.daemons[leader].context.leader is not None:
                    cell.daemons[leader].context.leader.deposed()
            case "kill leader":
                self._kill(leader)
            case "pause leader":
                self._pause(leader, for_s)
            case "drain leader":
                cell.daemons[leader].drain()
                cell.clock.callLater(2.0, self._replace, cell.daemons[leader])
            case "cut leader":
                cell.isolate(leader)
                cell.clock.callLater(for_s, self._reconnect, leader)

    def _end_part(self, name, part_name):
        daemon = self.cell.daemons[name]
        part = daemon.supervisor.part(part_name)
        if part is not None and self._n_part_faults[daemon, part_name] < MAX_PART_FAULTS:
            self._n_part_faults[daemon, part_name] += 1
            part.context.bus.on_failure(part, RuntimeError("test"))

    def _disturb_store(self, kind, leader, for_s):
        faults = self.cell.store_faults
        faults.clear()
        match kind:
            case "slow store":
                faults.slow_s = self.random_state.choice(CALL_DURATIONS_S)
                faults.answer_delay_s = self.random_state.choice(CALL_DURATIONS_S)
            case "silent store":
                faults.silent = True
            case "store silent to leader":
                faults.silent = True
                faults.only = {leader}
        self.cell.clock.callLater(for_s, faults.clear)

    def _pause(self, name, for_s):
        if name in self.cell.daemons:
            self.cell.pause(name)
            self.cell.clock.callLater(for_s, self.cell.clocks[name].resume)

    def _reconnect(self, name):
        for other in self.cell.clocks:
            self.cell.network.unblock(name, other)
            self.cell.network.unblock(other, name)

    def _kill(self, name):
        self.cell.kill(name)
        self.cell.clock.callLater(
            self.random_state.choice(RESTART_DELAYS_S), self.cell.start_instance, name
        )

    def _replace(self, drained):
        """Start a drained instance again, unless it was killed meanwhile."""
        name = drained.context.settings.instance
        if self.cell.daemons.get(name) is drained:
            self.cell.kill(name)
            self.cell.start_instance(name)


@pytest.mark.parametrize("seed", [6, 8, 11, 45])
def test_lost_and_late_writes_lose_no_acknowledged_end(seed):
    """Guards against ends that are acknowledged without a transaction that stored them."""
    assert LostWriteScenario(seed=seed).play() == []
