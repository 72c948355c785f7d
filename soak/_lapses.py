"""Registry entries that lapse in outages of the store, come back late, or are overwritten."""

from random import Random

from msgspec import Raw

from ._faults import Fault, make_faults

#: Kinds of these faults with their weights: the entries of all workers, of some or of a few lapse
#: in an outage; another outage follows while the entries come back; another program overwrites
#: entries.
LAPSE_KINDS = {
    "lapse all": 2,
    "lapse some": 2,
    "lapse few": 6,
    "lapse twice": 1,
    "overwritten": 3,
}

#: Shares of the workers whose entries are affected, at least one.
SHARES = {
    "lapse all": 1.0,
    "lapse some": 0.6,
    "lapse few": 0.2,
    "lapse twice": 1.0,
    "overwritten": 0.3,
    "odd entries": 0.3,
}

#: Least duration of an outage in which entries lapse, and time within which the workers register
#: again after it. Unit: seconds.
MIN_OUTAGE_S = 2.0
RETURN_S = 2.0

#: Delays of a store that has returned, before it carries out a call and again before it answers,
#: and for how long. Unit: seconds.
SLOW_DELAYS_S = (0.0, 0.06, 0.12, 0.25)
SLOW_S = 4.0

#: Changes of leader in the wake of half of these faults, with their weights; their largest number,
#: the time from the return of the store, or from the overwriting, within which they begin, and the
#: pauses between two. Unit of the times: seconds.
CHANGE_KINDS = {"kill home": 4, "pause home": 2, "drain home": 1}
CHANGE_SHARE = 0.5
MAX_CHANGES = 4
CHANGE_S = (-0.5, 0.8)
CHANGE_PAUSES_S = (0.3, 0.7, 1.2, 2.0)

#: Values that another program writes over an entry.
FOREIGN_ENTRIES = ({"hello": 1}, {"service": "unknown", "address": "127.0.0.1:1"})

#: Odd values of fields that a worker writes into its own entry, as JSON; drawn separately, so that
#: existing seeds keep their faults.
ODD_KINDS = {"odd entries": 1}
ODD_FIELDS = (
    ("more", b"[" * 20_000 + b"]" * 20_000),
    ("born", b"[" * 20_000 + b"]" * 20_000),
    ("address", b'"127.0.0.1:0000809999"'),
    ("address", b'"::1:8080"'),
    ("address", '"h\u00f6st:8080"'.encode()),
    ("address", rb'"127.0.0.1\n:8080"'),
    ("capacity", b'{"cpu": ' + b"9" * 400 + b', "mem-mb": 32768}'),
    ("version", b'"\xff"'),
)


def make_lapses(random_state, *, n_faults, seconds):
    """Return `n_faults` random faults of the registry, and changes of leader in their wake."""
    faults = make_faults(random_state, n_faults=n_faults, seconds=seconds, weights=LAPSE_KINDS)
    for fault in faults[:]:
        fault.for_s = max(fault.for_s, MIN_OUTAGE_S)
        if random_state.random() < CHANGE_SHARE:
            began_at = fault.at if fault.kind == "overwritten" else fault.at + fault.for_s
            faults += _make_changes(random_state, began_at)
    return faults


def _make_changes(random_state, began_at):
    at = max(0.5, began_at + random_state.uniform(*CHANGE_S))
    kinds = random_state.choices(
        list(CHANGE_KINDS),
        weights=list(CHANGE_KINDS.values()),
        k=random_state.randint(1, MAX_CHANGES),
    )
    for kind in kinds:
        yield Fault(at=at, for_s=1.0, kind=kind, pick=random_state.random())
        at += random_state.choice(CHANGE_PAUSES_S)


class LapseInjector:
    """Injects the faults of the registry.

    Parameters
    ----------
    reactor : IReactorTime
    environment : Environment
    """

    def __init__(self, *, reactor, environment):
        self.reactor = reactor
        self.environment = environment

    def inject(self, fault):
        """Begin a fault and schedule its end."""
        random_state = Random(fault.pick)
        slots = self.environment.worker_slots
        n_affected = max(1, round(SHARES[fault.kind] * len(slots)))
        affected = random_state.sample(slots, n_affected)
        if fault.kind in ("overwritten", "odd entries"):
            self._overwrite(affected, fault, random_state)
            return
        self._lapse(affected, fault.for_s, random_state)
        if fault.kind == "lapse twice":
            again_s = fault.for_s + random_state.uniform(0.0, RETURN_S)
            self._schedule(again_s, self._lapse, affected, MIN_OUTAGE_S, random_state)

    def disturbed_s(self, fault):
        """Return for how long a fault disturbs the instances. Unit: seconds."""
        if fault.kind in ("overwritten", "odd entries"):
            return 0.0
        n_outages = 2 if fault.kind == "lapse twice" else 1
        return n_outages * (fault.for_s + SLOW_S)

    def _schedule(self, delay, call, *args):
        self.reactor.callLater(delay, call, *args)

    def _lapse(self, slots, for_s, random_state):
        self.environment.store_faults.silent = True
        for slot in slots:
            worker_id = slot.worker.worker_id
            lapses_in_s = random_state.uniform(0.2, for_s)
            self._schedule(lapses_in_s, self.environment.store.remove, "servers", worker_id)
            returns_in_s = for_s + random_state.uniform(0.0, RETURN_S)
            self._schedule(returns_in_s, self._register, slot)
        self._schedule(for_s, self._restore_store, random_state.choice(SLOW_DELAYS_S))
        self._schedule(for_s + SLOW_S, self._restore_store, 0.0)

    def _restore_store(self, delay_s):
        faults = self.environment.store_faults
        faults.clear()
        faults.slow_s = faults.answer_delay_s = delay_s

    def _register(self, slot):
        """Write a worker's entry; a worker that cannot reach the store tries again later."""
        if self.environment.store_faults.silent:
            self._schedule(RETURN_S / 2, self._register, slot)
        else:
            self.environment.register(slot.worker)

    def _overwrite(self, slots, fault, random_state):
        for slot in slots:
            if fault.kind == "overwritten":
                entry = random_state.choice(FOREIGN_ENTRIES)
            else:
                name, value = random_state.choice(ODD_FIELDS)
                entry = {**slot.worker.entry(), name: Raw(value)}
            self.environment.store.put("servers", slot.worker.worker_id, entry)
            self._schedule(fault.for_s, self._register, slot)
