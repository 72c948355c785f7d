"""Registry entries that lapse, come back late or are overwritten, beside changes of leader."""

from random import Random

import pytest
from twisted.internet.task import deferLater

from anvilflow.standins import PlatformCell

NAMES = tuple(f"a{number}" for number in range(5))

#: Period in which jobs are submitted and faults begin, time by which all faults have ended, and
#: longest time until the last job has ended. Unit: seconds.
FAULTS_S = 14.0
HEALED_S = 40.0
DURATION_S = 90.0
STEP_S = 0.02

#: Number of jobs, the processor that a task needs, in thousandths of a core, and durations of the
#: tasks. Unit of `TASK_DURATIONS_S`: seconds.
N_JOBS = 20
TASK_CPU = (2000, 8000, 16000)
TASK_DURATIONS_S = (0.3, 1.0, 2.0, 5.0, 5.0)

#: Durations of outages, time after the return of the store within which the workers register
#: again, and time for which the store is slow from then on. Unit: seconds.
OUTAGES_S = (1.0, 2.5, 4.5)
RETURN_S = 2.0
SLOW_STORE_S = 4.0

#: Durations of single calls to a slow store. Unit: seconds.
CALL_DURATIONS_S = (0.0, 0.05, 0.24, 0.5, 0.7)

#: Calls that a slow store delays, each for a time of its own: transactions, feeds that wait for
#: changes, feeds that do not, and reads by table.
SLOW_CALLS = ("commit", "waiting feed", "feed", "servers", "jobs", "progress", "ended", "home")

#: Shares of outages in which only some entries lapse, of those that only some instances notice,
#: of those with a slow return, of those that another outage follows within `RETURN_S`, of those in
#: which the history of changes is lost, and of those with a series of changes of leader.
PARTIAL_SHARE = 0.4
UNEVEN_SHARE = 0.15
SLOW_SHARE = 0.9
SECOND_OUTAGE_SHARE = 0.2
HISTORY_SHARE = 0.1
SERIES_SHARE = 0.4

#: Kinds of changes of leader, with their weights, the largest number of a series, and pauses
#: between two. Unit of `SERIES_PAUSES_S`: seconds.
CHANGES = {"kill": 4, "pause": 2, "drain": 2}
MAX_CHANGES = 4
SERIES_PAUSES_S = (0.1, 0.3, 0.6, 1.0, 2.0)

#: Values that another program writes over a worker's entry, and times after which the worker
#: restores it. Unit of `OVERWRITTEN_S`: seconds.
FOREIGN_ENTRIES = ({"hello": 1}, {"service": "nobody's", "address": "w0:1"}, {"state": "resting"})
OVERWRITTEN_S = (0.5, 2.0, 6.0)


class LapseScenario:
    """A cell whose registry entries come and go beside changes of leader, drawn from a seed.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, *, seed):
        self.random_state = Random(seed)
        self.cell = PlatformCell(
            n_instances=len(NAMES),
            n_workers=self.random_state.randint(3, 6),
            random_state=seed,
            slow=NAMES if self.random_state.random() < 0.3 else (),
            weak=NAMES if self.random_state.random() < 0.2 else (),
        )
        self.audit = self.cell.audit_ends()
        self.faults = []
        self.accepted = {}
        self.call_s = {}
        self.store_down_until = 0.0
        self.began_at = 0.0
        self.events = sorted(self._draw_events(), key=lambda event: event[0])

    # Drawing

    def _draw_events(self):
        draw = self.random_state.uniform
        for number in range(N_JOBS):
            yield draw(0.1, FAULTS_S), self._submit, f"{number:016x}"
        for _ in range(self.random_state.randint(2, 4)):
            yield from self._draw_outage(draw(0.5, FAULTS_S))
        for _ in range(self.random_state.randint(1, 3)):
            at = draw(0.5, FAULTS_S)
            for worker_id in self._draw_workers(self.random_state.choice([0.2, 0.5])):
                yield at + draw(-0.1, 0.1), self._overwrite, worker_id
            yield from self._draw_series(at + draw(-0.2, 0.0), 2)
        yield HEALED_S, lambda _: None, None

    def _draw_outage(self, at):
        draw = self.random_state.uniform
        for_s = self.random_state.choice(OUTAGES_S)
        yield at, self._silence_store, for_s
        back_at = at + for_s
        share = draw(0.1, 0.8) if self.random_state.random() < PARTIAL_SHARE else 1.0
        for worker_id in self._draw_workers(share):
            yield at + draw(0.2, for_s), self._lapse, worker_id
            yield back_at + draw(0.0, RETURN_S), self._register, worker_id
        if self.random_state.random() < HISTORY_SHARE:
            yield draw(at, back_at + RETURN_S), self._drop_history, None
        if self.random_state.random() < SLOW_SHARE:
            yield back_at - 0.1, self._slow_store, None
        if self.random_state.random() < SERIES_SHARE:
            yield from self._draw_series(back_at + draw(-0.5, 1.5), 1)
        if self.random_state.random() < SECOND_OUTAGE_SHARE:
            yield from self._draw_outage(back_at + draw(0.0, RETURN_S))

    def _draw_series(self, at, min_length):
        for _ in range(self.random_state.randint(min_length, MAX_CHANGES)):
            yield at, self._change_leader, self._draw_kind(CHANGES)
            at += self.random_state.choice(SERIES_PAUSES_S)

    def _draw_kind(self, weights):
        return self.random_state.choices(list(weights), weights=list(weights.values()))[0]

    def _draw_workers(self, share):
        return [each for each in self.cell.workers if self.random_state.random() < share]

    # Play

    def play(self):
        """Run the simulation; return the violations found."""
        cell = self.cell
        cell.start()
        for name in NAMES:
            self._delay_calls(name)
        self.began_at = cell.clock.seconds()
        for at, act, subject in self.events:
            while cell.clock.seconds() - self.began_at < at:
                cell.advance(STEP_S)
            act(subject)
        while self._find_lost_jobs() and cell.clock.seconds() - self.began_at < DURATION_S:
            cell.advance(1.0)
        lost = self._find_lost_jobs()
        cell.mark_unacknowledged_ends()
        broken = cell.check() + self.audit.violations() + lost
        return broken + [repr(error) for error in cell.errors]

    def _find_lost_jobs(self):
        """Return the accepted jobs that have not been done."""
        done = {span.task for span in self.cell.spans if span.how == "done"}
        return [
            f"{job_id} was accepted and has not been done"
            for job_id, (answers, n_tasks) in self.accepted.items()
            if answers and answers[0][0] == 200
            if not all(f"{job_id}.0.0.{number}" in done for number in range(n_tasks))
        ]

    def _submit(self, job_id):
        n_tasks = self.random_state.choice([1, 2, 4])
        cpu = self.random_state.choice(TASK_CPU)
        spec = f"{self.random_state.choice(TASK_DURATIONS_S)} done {cpu}"
        name = self.random_state.choice(list(self.cell.daemons))
        answers = self.cell.submit(name, job_id, {"count": n_tasks, "cpu": cpu}, spec=spec)
        self.accepted[job_id] = answers, n_tasks

    # Faults

    def _note(self, kind, subject):
        self.faults.append((round(self.cell.clock.seconds() - self.began_at, 2), kind, subject))

    def _silence_store(self, for_s):
        cell = self.cell
        self._note("store silent", for_s)
        self.store_down_until = max(self.store_down_until, cell.clock.seconds() + for_s)
        if not cell.store_faults.silent and self.random_state.random() < UNEVEN_SHARE:
            cell.store_faults.only = set(self.random_state.sample(NAMES, 3))
        cell.store_faults.silent = True
        cell.clock.callLater(for_s, self._restore_store)

    def _restore_store(self):
        if self.cell.clock.seconds() >= self.store_down_until - STEP_S:
            self.cell.store_faults.clear()

    def _slow_store(self, _):
        self.call_s = {kind: self.random_state.choice(CALL_DURATIONS_S) for kind in SLOW_CALLS}
        self._note("store slow", dict(self.call_s))
        self.cell.clock.callLater(SLOW_STORE_S, self.call_s.clear)

    def _drop_history(self, _):
        self._note("history lost", None)
        self.cell.store.drop_history()

    def _lapse(self, worker_id):
        self._note("entry lapses", worker_id)
        self.cell.store.remove("servers", worker_id)

    def _register(self, worker_id):
        if self.cell.clock.seconds() < self.store_down_until:
            back_in_s = self.store_down_until - self.cell.clock.seconds()
            back_in_s += self.random_state.uniform(0.0, RETURN_S)
            self.cell.clock.callLater(back_in_s, self._register, worker_id)
            return
        self._note("entry back", worker_id)
        self.cell.store.put("servers", worker_id, self.cell.workers[worker_id].entry())

    def _overwrite(self, worker_id):
        entry = self.random_state.choice(FOREIGN_ENTRIES)
        self._note("entry overwritten", worker_id)
        self.cell.store.put("servers", worker_id, entry)
        for_s = self.random_state.choice(OVERWRITTEN_S)
        self.cell.clock.callLater(for_s, self._register, worker_id)

    def _change_leader(self, kind):
        cell = self.cell
        leader = cell.leader()
        if leader not in cell.daemons:
            return
        self._note(kind, leader)
        match kind:
            case "kill":
                cell.kill(leader)
                cell.clock.callLater(1.0, self._start_instance, leader)
            case "pause":
                cell.pause(leader)
                cell.clock.callLater(self.random_state.choice([0.6, 1.5]), cell.resume, leader)
            case "drain":
                cell.daemons[leader].drain()
                cell.clock.callLater(2.0, self._restart_instance, leader)

    def _start_instance(self, name):
        if name not in self.cell.daemons:
            self.cell.start_instance(name)
            self._delay_calls(name)

    def _restart_instance(self, name):
        if name in self.cell.daemons:
            self.cell.kill(name)
        self._start_instance(name)

    def _delay_calls(self, name):
        """Let the calls of an instance to the store take as long as `call_s` says.

        Half of the delay is before the store carries out a call, half after it.
        """
        store, clock = self.cell.daemons[name].context.store, self.cell.clocks[name]
        commit, follow, read = store.commit, store.follow, store.read

        def delayed(kind, call):
            half_s = self.call_s.get(kind, 0.0) / 2
            if not half_s:
                return call()
            done = deferLater(clock, half_s, call)
            return done.addCallback(lambda result: deferLater(clock, half_s, lambda: result))

        store.commit = lambda *args, **values: delayed("commit", lambda: commit(*args, **values))
        store.read = lambda table, part, **values: delayed(
            table, lambda: read(table, part, **values)
        )

        def follow_later(table, version, *, wait_s, **values):
            kind = "waiting feed" if wait_s else "feed"
            return delayed(kind, lambda: follow(table, version, wait_s=wait_s, **values))

        store.follow = follow_later


@pytest.mark.parametrize("seed", [2, 12, 42, 54])
def test_lapsed_and_overwritten_entries_hide_no_runs_from_the_next_leaders(seed):
    """Guards against second runs on workers that a leader's read of the registry left out."""
    assert LapseScenario(seed=seed).play() == []
