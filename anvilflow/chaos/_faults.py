"""Faults of a run: each begins at random and is over after a while."""

from collections import Counter

#: Faults and how often each is chosen.
FAULT_KINDS = {
    "instance killed": 3,
    "instance paused": 3,
    "instance drained": 2,
    "way silenced": 3,
    "table down": 2,
    "table slow": 1,
    "table loses answers": 2,
    "list unreachable": 1,
    "list omits a live instance": 1,
    "worker crashed": 2,
    "worker silent": 2,
    "worker slow": 2,
    "worker loses answers": 2,
    "worker leaves": 1,
}

_MIN_INSTANCES = 3


class FaultPlan:
    """Causes faults in a cell.

    Parameters
    ----------
    cell : VirtualCell
    random_state : random.Random
    """

    def __init__(self, *, cell, random_state):
        self.cell = cell
        self.random_state = random_state
        self.counts = Counter()
        self._ends = []
        self._busy = set()
        self._n_started = cell.n_instances
        self._causes = {
            "instance killed": self._kill,
            "instance paused": self._pause,
            "instance drained": self._drain,
            "way silenced": self._silence,
            "table down": lambda: self._switch(self.cell.table_faults, "down", True, False, 8.0),
            "table slow": lambda: self._switch(self.cell.table_faults, "slow_s", 0.7, 0.0, 5.0),
            "table loses answers": lambda: self._switch(
                self.cell.table_faults, "lose_answer", True, False, 3.0
            ),
            "list unreachable": lambda: self._switch(
                self.cell.membership_faults, "down", True, False, 8.0
            ),
            "list omits a live instance": self._omit,
            "worker crashed": lambda: self._worker().crash(),
            "worker silent": lambda: self._switch(self._worker().faults, "down", True, False, 20.0),
            "worker slow": lambda: self._switch(self._worker().faults, "slow_s", 1.0, 0.0, 8.0),
            "worker loses answers": lambda: self._switch(
                self._worker().faults, "lose_answer", True, False, 5.0
            ),
            "worker leaves": self._leave,
        }

    def cause_one(self):
        """Cause a fault chosen at random."""
        kinds = list(FAULT_KINDS)
        [kind] = self.random_state.choices(kinds, weights=FAULT_KINDS.values())
        if self._causes[kind]() is not False:
            self.counts[kind] += 1

    def end_due(self):
        """End the faults that are over."""
        now = self.cell.clock.seconds()
        for end in [end for end in self._ends if end[0] <= now]:
            self._ends.remove(end)
            end[1]()

    def end_all(self):
        """End all faults."""
        while self._ends:
            self._ends.pop(0)[1]()
        self.cell.network.heal()

    def gateways(self):
        """Return the instances to which the balancer sends callers."""
        return [name for name in self.cell.daemons if name not in self._busy]

    def _later(self, longest, call):
        delay = self.random_state.uniform(0.1, longest)
        self._ends.append((self.cell.clock.seconds() + delay, call))

    def _switch(self, faults, name, value, normal, longest):
        setattr(faults, name, value)
        self._later(longest, lambda: setattr(faults, name, normal))

    def _choose(self):
        """Return an instance that nothing happens to yet, when enough others are left."""
        names = self.gateways()
        return self.random_state.choice(names) if len(names) > _MIN_INSTANCES else None

    def _worker(self):
        return self.random_state.choice(list(self.cell.workers.values()))

    def _replace(self):
        self._n_started += 1
        self.cell.start_instance(f"a{self._n_started}")

    def _kill(self):
        name = self._choose()
        if name is None:
            return False
        self.cell.crash_instance(name)
        self._later(5.0, self._replace)
        return True

    def _pause(self):
        name = self._choose()
        if name is None:
            return False
        self._busy.add(name)
        self.cell.pause_instance(name)
        self._later(25.0, lambda: self._resume(name))
        return True

    def _resume(self, name):
        self.cell.resume_instance(name)
        self._busy.discard(name)

    def _drain(self):
        name = self._choose()
        if name is None:
            return False
        self._busy.add(name)
        done = self.cell.daemons[name].drain()
        done.addCallback(lambda _: self._drained(name))
        return True

    def _drained(self, name):
        del self.cell.daemons[name]
        self.cell.membership.remove(name)
        self._busy.discard(name)
        self._replace()

    def _silence(self):
        names = list(self.cell.daemons)
        here, there = self.random_state.sample(names, 2)
        self.cell.network.silence(here, there)
        self._later(10.0, lambda: self.cell.network.unsilence(here, there))

    def _omit(self):
        name = self._choose()
        if name is None:
            return False
        self.cell.membership.remove(name)
        self._later(8.0, lambda: self._list_again(name))
        return True

    def _list_again(self, name):
        if name in self.cell.daemons:
            self.cell.list_instance(name)

    def _leave(self):
        staying = [name for name in self.cell.workers if name not in self._busy]
        if len(staying) <= len(self.cell.workers) // 2:
            return False
        name = self.random_state.choice(staying)
        self._busy.add(name)
        self.cell.worker_leaves(name)
        return True
