"""Parts of the leader that end with an error while the store loses writes of the leader's row."""

import json
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from anvilflow.standins import StoreCall

from ._faults import Fault, make_faults

#: Kinds of these faults with their weights: the leader's part or its part for the election ends
#: with an error, or only the store is lossy.
PART_KINDS = {"fail home": 4, "fail home leadership": 3, "lossy": 2}

#: Shares of the failures of parts that meet a lossy store and a kill of the leader, and the bounds
#: of the time from the failure to each of them. Unit: seconds.
LOSSY_SHARE = 0.75
LOSSY_S = (-0.6, 0.1)
KILL_SHARE = 0.5
KILL_S = (0.5, 4.0)

#: Durations of a lossy store; None: for a single transaction. Unit: seconds.
LOSSY_DURATIONS_S = (None, 1.0, 2.0, 4.0)

#: Share of the lossy stores that carry out the first transaction late and lose the others until
#: then, and its delays; in the rest the outcome of each transaction is drawn. Unit: seconds.
FIRST_LATE_SHARE = 0.6
FIRST_LATE_S = (2.0, 3.0, 4.0)

#: Outcomes of a transaction on the leader's row, with their weights: it is not carried out, carried
#: out late without an answer, carried out at once and answered late or never, or not affected.
OUTCOMES = {"lost": 5, "late": 3, "answered late": 1, "unanswered": 1, "carried out": 1}

#: Delays of transactions and answers that are late. Unit: seconds.
LATE_S = (0.5, 1.5, 2.5, 4.0)


def make_part_failures(random_state, *, n_faults, seconds):
    """Return `n_faults` random faults, and those of the store and the leader that they meet."""
    faults = make_faults(random_state, n_faults=n_faults, seconds=seconds, weights=PART_KINDS)
    for fault in faults[:]:
        if fault.kind == "lossy":
            continue
        for kind, share, bounds in (
            ("lossy", LOSSY_SHARE, LOSSY_S),
            ("kill home", KILL_SHARE, KILL_S),
        ):
            if random_state.random() < share:
                at = max(0.5, fault.at + random_state.uniform(*bounds))
                met = Fault(at=at, for_s=fault.for_s, kind=kind, pick=random_state.random())
                faults.append(met)
    return faults


class LossyStore:
    """Passes calls on to a store; transactions on the leader's row are subject to faults.

    Parameters
    ----------
    reactor : IReactorTime
    store : MetadataStore
    """

    def __init__(self, *, reactor, store):
        self.reactor = reactor
        self.store = store
        self._random_state = None
        self._on_harm = None
        self._is_first_late = False
        self._loses_all = False
        self._is_single = False
        self._until = 0.0
        self._late_calls = []

    def begin(self, fault, on_harm):
        """Begin a fault; `on_harm` is called with the delay of each transaction that it harms."""
        self._random_state = Random(fault.pick)
        self._on_harm = on_harm
        duration_s = self._random_state.choice(LOSSY_DURATIONS_S)
        self._is_first_late = self._random_state.random() < FIRST_LATE_SHARE
        self._loses_all = False
        self._is_single = duration_s is None and not self._is_first_late
        duration_s = duration_s or max(LOSSY_DURATIONS_S[1:])
        self._until = self.reactor.seconds() + duration_s

    def heal(self):
        """End the fault; transactions that would be late are lost."""
        self._until = 0.0
        for call in self._late_calls:
            if call.active():
                call.cancel()
        self._late_calls.clear()

    def handle(self, method, path, query, body, headers):
        """Return the store's answer, or a Deferred that fires late or never."""
        call = (method, path, query, body, headers)
        if self.reactor.seconds() >= self._until or not _writes_leader_row(path, body):
            return self.store.handle(*call)
        outcome, late_s = self._draw_outcome()
        if outcome != "carried out":
            self._on_harm(late_s)
        if outcome == "late":
            later = self.reactor.callLater(late_s, self.store.handle, *call)
            self._late_calls.append(later)
        if outcome in ("lost", "late"):
            return Deferred()
        answer = self.store.handle(*call)
        if outcome == "unanswered":
            return Deferred()
        if outcome == "answered late":
            return deferLater(self.reactor, late_s, lambda: answer)
        return answer

    def _draw_outcome(self):
        """Return the outcome of the next transaction, and by how much it is late if it is."""
        late_s = self._random_state.choice(LATE_S)
        if self._is_first_late:
            self._is_first_late = False
            late_s = self._random_state.choice(FIRST_LATE_S)
            self._until = self.reactor.seconds() + late_s
            self._loses_all = True
            return "late", late_s
        if self._loses_all:
            return "lost", 0.0
        if self._is_single:
            self._until = 0.0
        [outcome] = self._random_state.choices(list(OUTCOMES), weights=list(OUTCOMES.values()))
        return outcome, late_s if "late" in outcome else 0.0


def _writes_leader_row(path, body):
    if path != StoreCall.COMMIT or b'"home"' not in body:
        return False
    return any(item["table"] == "home" for item in json.loads(body)["writes"])
