"""Tests of the store that loses transactions on the leader's row."""

import json
from random import Random

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from anvilflow.standins import MetadataStore, StoreCall
from anvilflow.utils import encode
from soak import _part_failures
from soak._environment import Environment
from soak._faults import Fault
from soak._instances import Instances
from soak._launch import INJECTED_ERROR
from soak._part_failures import FIRST_LATE_S, LATE_S, LossyStore, make_part_failures


class _Store:
    """A lossy store, and the number of answers to transactions on the leader's row."""

    def __init__(self, monkeypatch, *, outcome=None):
        self.clock = Clock()
        self.store = MetadataStore(clock=self.clock)
        self.lossy = LossyStore(reactor=self.clock, store=self.store)
        self.n_answers = 0
        monkeypatch.setattr(_part_failures, "FIRST_LATE_SHARE", 0.0 if outcome else 1.0)
        if outcome:
            monkeypatch.setattr(_part_failures, "OUTCOMES", {outcome: 1})
        self.harms = []
        fault = Fault(at=0.0, for_s=1.0, kind="lossy", pick=0.5)
        self.lossy.begin(fault, self.harms.append)

    def commit(self, *, table="home"):
        """Write a row on the condition that it has its present version."""
        place = {"table": table, "part": "cell", "key": table}
        version, _ = self.store.rows.get((table, "cell", table), (0, b""))
        call = {
            "expected-rev": [{**place, "ver": version}],
            "writes": [{**place, "value": ""}],
            "remove": [],
        }
        body = json.dumps(call).encode()
        answer = self.lossy.handle(b"POST", StoreCall.COMMIT, {}, body, {})
        if isinstance(answer, tuple):
            self.n_answers += 1
        else:
            answer.addCallback(self._answered)

    def _answered(self, _):
        self.n_answers += 1

    def result(self):
        """Return the version of the store and the number of answers."""
        return self.store.version, self.n_answers


@pytest.mark.parametrize(
    ("outcome", "at_once", "later"),
    [
        ("lost", (0, 0), (0, 0)),
        ("late", (0, 0), (1, 0)),
        ("answered late", (1, 0), (1, 1)),
        ("unanswered", (1, 0), (1, 0)),
        ("carried out", (1, 1), (1, 1)),
    ],
)
def test_outcomes_of_a_transaction_on_the_leaders_row(outcome, at_once, later, monkeypatch):
    """Guards against a lossy store that harms no transaction, or those of other rows, too."""
    store = _Store(monkeypatch, outcome=outcome)
    store.commit()
    assert store.result() == at_once
    assert bool(store.harms) is (outcome != "carried out")
    store.clock.advance(max(LATE_S))
    assert store.result() == later
    store.commit(table="jobs")
    assert store.result() == (later[0] + 1, later[1] + 1)


def test_late_transaction_is_followed_by_lost_ones_until_it_is_carried_out(monkeypatch):
    """Guards against a store that keeps its condition from holding: nothing would be late."""
    store = _Store(monkeypatch)
    for _ in range(3):
        store.commit()
        store.clock.advance(min(FIRST_LATE_S) / 4)
    assert store.result() == (0, 0)
    store.clock.advance(max(FIRST_LATE_S))
    assert store.result() == (1, 0)
    store.commit()
    assert store.result() == (2, 1)


def test_late_transactions_are_lost_when_the_faults_end(monkeypatch):
    """Guards against faults of the store that go on after the bounds apply again."""
    store = _Store(monkeypatch)
    store.commit()
    store.lossy.heal()
    store.clock.advance(max(FIRST_LATE_S))
    assert store.result() == (0, 0)
    store.commit()
    assert store.result() == (1, 1)


def test_part_that_fails_by_itself_is_a_violation(tmp_path):
    """Guards against an odd entry that ends the leader's part, which starts again and hides it."""
    instances = Instances(
        environment=Environment(reactor=MemoryReactorClock(), host="127.0.0.1", n_workers=1),
        folder=tmp_path,
        n_instances=2,
        free_address=iter([f"127.0.0.1:{port}" for port in range(1, 7)]).__next__,
    )
    for name, error in (("a0", INJECTED_ERROR), ("a1", "maximum recursion depth exceeded")):
        line = {"at": 1.0, "event": f"Part home failed: RuntimeError('{error}')."}
        (tmp_path / f"{name}.log").write_bytes(encode(line) + b"\n")
    [message] = instances.part_failures()
    instances.close()
    assert message.startswith("a1: ")
    assert "recursion" in message


def test_failures_of_parts_meet_a_lossy_store_and_a_kill_of_the_leader():
    """Guards against a soak in which the leader's parts never fail while the store loses writes."""
    faults = make_part_failures(Random(7), n_faults=40, seconds=10.0)
    assert faults == make_part_failures(Random(7), n_faults=40, seconds=10.0)
    failures = [fault.at for fault in faults if fault.kind.startswith("fail home")]
    met = faults[40:]
    assert len(met) > len(failures)
    assert {fault.kind for fault in met} == {"lossy", "kill home"}
    bounds = {"lossy": _part_failures.LOSSY_S, "kill home": _part_failures.KILL_S}
    for fault in met:
        first, last = bounds[fault.kind]
        assert any(first <= fault.at - at <= last or fault.at == 0.5 for at in failures)
