"""Random faults of a run and their ends."""

from collections import Counter

#: Kinds of faults and the relative frequency of each.
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

#: An instance is taken out of service only while more than this many are in service.
_MIN_INSTANCES = 3


class FaultPlan:
    """Injects random faults into a cell and ends each after a random time.

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
        self._out_of_service = set()
        self._n_started = cell.n_instances
        self._injectors = {
            "instance killed": self._kill_instance,
            "instance paused": self._pause_instance,
            "instance drained": self._drain_instance,
            "way silenced": self._partition_one_way,
            "table down": lambda: self._set_temporarily(
                self.cell.table_faults, "down", True, False, 8.0
            ),
            "table slow": lambda: self._set_temporarily(
                self.cell.table_faults, "slow_s", 0.7, 0.0, 5.0
            ),
            "table loses answers": lambda: self._set_temporarily(
                self.cell.table_faults, "lose_answer", True, False, 3.0
            ),
            "list unreachable": lambda: self._set_temporarily(
                self.cell.membership_faults, "down", True, False, 8.0
            ),
            "list omits a live instance": self._unlist_instance,
            "worker crashed": lambda: self._choose_worker().crash(),
            "worker silent": lambda: self._set_temporarily(
                self._choose_worker().faults, "down", True, False, 20.0
            ),
            "worker slow": lambda: self._set_temporarily(
                self._choose_worker().faults, "slow_s", 1.0, 0.0, 8.0
            ),
            "worker loses answers": lambda: self._set_temporarily(
                self._choose_worker().faults, "lose_answer", True, False, 5.0
            ),
            "worker leaves": self._remove_worker,
        }

    def inject_one(self):
        """Inject a fault of a random kind."""
        kinds = list(FAULT_KINDS)
        [kind] = self.random_state.choices(kinds, weights=FAULT_KINDS.values())
        if self._injectors[kind]() is not False:
            self.counts[kind] += 1

    def end_expired(self):
        """End the faults whose time is over."""
        now = self.cell.clock.seconds()
        for end in [end for end in self._ends if end[0] <= now]:
            self._ends.remove(end)
            end[1]()

    def end_all(self):
        """End all faults now."""
        while self._ends:
            self._ends.pop(0)[1]()
        self.cell.network.heal()

    def available_instances(self):
        """Return the instances in service; the balancer sends calls only to these."""
        return [name for name in self.cell.daemons if name not in self._out_of_service]

    def _end_later(self, longest, call):
        delay = self.random_state.uniform(0.1, longest)
        self._ends.append((self.cell.clock.seconds() + delay, call))

    def _set_temporarily(self, faults, name, value, normal, longest):
        setattr(faults, name, value)
        self._end_later(longest, lambda: setattr(faults, name, normal))

    def _choose_instance(self):
        """Return a random available instance, or None when too few are left."""
        names = self.available_instances()
        return self.random_state.choice(names) if len(names) > _MIN_INSTANCES else None

    def _choose_worker(self):
        return self.random_state.choice(list(self.cell.workers.values()))

    def _start_replacement(self):
        self._n_started += 1
        self.cell.start_instance(f"a{self._n_started}")

    def _kill_instance(self):
        name = self._choose_instance()
        if name is None:
            return False
        self.cell.crash_instance(name)
        self._end_later(5.0, self._start_replacement)
        return True

    def _pause_instance(self):
        name = self._choose_instance()
        if name is None:
            return False
        self._out_of_service.add(name)
        self.cell.pause_instance(name)
        self._end_later(25.0, lambda: self._resume_instance(name))
        return True

    def _resume_instance(self, name):
        self.cell.resume_instance(name)
        self._out_of_service.discard(name)

    def _drain_instance(self):
        name = self._choose_instance()
        if name is None:
            return False
        self._out_of_service.add(name)
        done = self.cell.daemons[name].drain()
        done.addCallback(lambda _: self._replace_drained(name))
        return True

    def _replace_drained(self, name):
        del self.cell.daemons[name]
        self.cell.membership.remove(name)
        self._out_of_service.discard(name)
        self._start_replacement()

    def _partition_one_way(self):
        names = list(self.cell.daemons)
        sender, receiver = self.random_state.sample(names, 2)
        self.cell.network.block(sender, receiver)
        self._end_later(10.0, lambda: self.cell.network.unblock(sender, receiver))

    def _unlist_instance(self):
        name = self._choose_instance()
        if name is None:
            return False
        self.cell.membership.remove(name)
        self._end_later(8.0, lambda: self._list_again(name))
        return True

    def _list_again(self, name):
        if name in self.cell.daemons:
            self.cell.list_instance(name)

    def _remove_worker(self):
        remaining = [name for name in self.cell.workers if name not in self._out_of_service]
        if len(remaining) <= len(self.cell.workers) // 2:
            return False
        name = self.random_state.choice(remaining)
        self._out_of_service.add(name)
        self.cell.worker_leaves(name)
        return True
