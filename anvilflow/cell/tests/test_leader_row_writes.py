"""Tests that the outcome of a write of the leader's row is proven by the row's write number."""

import json

import pytest
from msgspec import Struct, structs
from twisted.internet.defer import Deferred

from anvilflow.cell._leader_row_store import LeaderRowStore, WriteOutcome
from anvilflow.cell._tables import LEADER_KEY, LEADER_TABLE, PART, LeaderRow
from anvilflow.jobs import HandoverWorker
from anvilflow.platform import Row
from anvilflow.standins import StoreCall
from anvilflow.utils import decode, encode

from ._helpers import JOB, make_cell

#: Duration of a task. Unit: seconds.
WORK_S = 0.7


class _LossyStore:
    """Carries out the first write of the leader's row late, and loses the later ones until then.

    `late_s` is None for a store that never carries the first one out either.
    """

    def __init__(self, cell, late_s):
        self.cell = cell
        self.late_s = late_s
        self.handle = cell.store.handle
        self.began_at = None
        self.n_lost = 0
        cell.store.handle = self

    def __call__(self, method, path, *call):
        now = self.cell.clock.seconds()
        if path != StoreCall.COMMIT or not _writes_leader_row(call[1]):
            return self.handle(method, path, *call)
        if self.began_at is None:
            self.began_at = now
            if self.late_s is not None:
                self.cell.clock.callLater(self.late_s, self.handle, method, path, *call)
            return Deferred()
        if self.late_s is None or now < self.began_at + self.late_s:
            self.n_lost += 1
            return Deferred()
        return self.handle(method, path, *call)


def _writes_leader_row(body):
    return any(item["key"] == LEADER_KEY for item in json.loads(body)["writes"])


def _n_kept_ends(cell):
    return sum(len(worker.finished) for worker in cell.workers.values())


def _cell_that_gives_up_leading():
    cell = make_cell(n_instances=1, n_workers=4)
    cell.submit("a0", JOB, {"count": 16, "cpu": 2000}, spec=f"{WORK_S} done 2000")
    cell.advance(0.6)
    return cell


@pytest.mark.parametrize("late_s", [1.5, 3.0, 6.0])
def test_late_claim_of_the_same_process_is_not_taken_for_a_record(late_s):
    """Guards against ends that are acknowledged although their transaction was never made."""
    cell = _cell_that_gives_up_leading()
    store = _LossyStore(cell, late_s)
    cell.daemons["a0"].context.leader.deposed()
    cell.advance(late_s + 1.0)
    cell.store.handle = store.handle
    cell.kill("a0")
    cell.start_instance("a1")
    cell.advance(20.0)
    cell.mark_unacknowledged_ends()
    assert store.n_lost > 0
    assert cell.check() == []
    assert len(cell.spans) == 16


def test_row_of_a_former_term_is_not_taken_for_a_claim():
    """Guards against an instance that leads without a claim, as the row names its former term."""
    cell = _cell_that_gives_up_leading()
    store = _LossyStore(cell, None)
    cell.daemons["a0"].context.leader.deposed()
    cell.advance(5.0)
    assert store.n_lost > 0
    assert cell.leaders() == []
    assert _n_kept_ends(cell) == 16
    cell.store.handle = store.handle
    cell.advance(3.0)
    assert cell.leaders() == ["a0"]
    assert _n_kept_ends(cell) == 0


def test_claim_whose_answer_is_lost_is_proven_by_its_number():
    """Guards against a claim that is repeated, and a term that is lost, after a lost answer."""
    cell = make_cell(n_instances=1)
    handle = cell.store.handle

    def lose_answer(method, path, *call):
        answer = handle(method, path, *call)
        if path == StoreCall.COMMIT and _writes_leader_row(call[1]):
            cell.store.handle = handle
            return Deferred()
        return answer

    cell.store.handle = lose_answer
    cell.daemons["a0"].context.leader.deposed()
    cell.advance(3.0)
    assert cell.leaders() == ["a0"]
    assert cell.store.value(LEADER_TABLE, LEADER_KEY, part=PART)["term"] == 2


@pytest.mark.parametrize("answer", [None, (500, b"")], ids=["no answer", "error"])
def test_closed_recorder_does_not_end_a_later_term_of_its_process(answer):
    """Guards against a recorder that finds the row changed after its own term has ended."""
    cell = _cell_that_gives_up_leading()
    handle = cell.store.handle
    reads = []

    def delay_reads(method, path, query, *call):
        if path == StoreCall.COMMIT and _writes_leader_row(call[0]) and not reads:
            return Deferred() if answer is None else answer
        if path == StoreCall.READ and query["table"] == LEADER_TABLE and not reads:
            reads.append(done := Deferred())
            return done
        return handle(method, path, query, *call)

    cell.store.handle = delay_reads
    while not reads:
        cell.advance(0.01)
    recorder = cell.daemons["a0"].context.leader._recorder
    cell.daemons["a0"].context.leader.deposed()
    cell.advance(0.4)
    term = cell.store.value(LEADER_TABLE, LEADER_KEY, part=PART)["term"]
    assert term == 2
    query = {"table": LEADER_TABLE, "part": PART, "from": LEADER_KEY, "target": LEADER_KEY + "\0"}
    reads[0].callback(handle("GET", StoreCall.READ, query, b"", {}))
    cell.advance(2.0)
    assert recorder.stopped
    assert cell.leaders() == ["a0"]
    assert cell.store.value(LEADER_TABLE, LEADER_KEY, part=PART)["term"] == term


def _row(**values):
    fields = {"holder": "a0", "incarnation": "1f", "address": "a0", "term": 3, **values}
    return LeaderRow(**fields)


def _stored(value, version):
    body = value if isinstance(value, bytes) else encode(value)
    return Row(table=LEADER_TABLE, part=PART, key=LEADER_KEY, version=version, value=body)


@pytest.mark.parametrize(
    ("found", "outcome"),
    [
        (lambda row: _stored(row, 8), WriteOutcome.COMMITTED),
        (lambda row: _stored(row, 7), WriteOutcome.UNDECIDED),
        (lambda row: _stored(structs.replace(row, write_number=99), 8), WriteOutcome.SUPERSEDED),
        (lambda row: _stored(structs.replace(row, incarnation="2f"), 8), WriteOutcome.SUPERSEDED),
        (lambda row: _stored(structs.replace(row, write_number=0), 8), WriteOutcome.SUPERSEDED),
        (lambda row: _stored(b"{", 8), WriteOutcome.SUPERSEDED),
        (lambda row: None, WriteOutcome.SUPERSEDED),
    ],
    ids=["this", "unchanged", "same process", "other", "earlier release", "unreadable", "none"],
)
def test_outcome_of_a_write_is_proven_by_incarnation_and_number(found, outcome):
    """Guards against a row of another write, also of the same process, taken for this one."""
    row_write = LeaderRowStore(store=None).prepare(_row(), 7)
    assert row_write.outcome(found(row_write.row)) is outcome


def test_writes_of_one_process_have_different_numbers():
    """Guards against two writes of one incarnation that cannot be told apart."""
    store = LeaderRowStore(store=None)
    assert store.prepare(_row(), 1).row.write_number != store.prepare(_row(), 1).row.write_number


def test_loading_leader_gives_up_when_its_own_process_has_claimed_again():
    """Guards against a leader that loads although a later write of its process made it void."""
    cell = make_cell(n_instances=1)
    handle = cell.store.handle

    def hold_reads(method, path, query, *call):
        if path == StoreCall.READ and query["table"] == "jobs":
            return Deferred()
        return handle(method, path, query, *call)

    cell.store.handle = hold_reads
    context = cell.daemons["a0"].context
    context.leader.deposed()
    cell.advance(0.5)
    row = LeaderRow(holder="a0", incarnation=context.incarnation, address="a0", term=9)
    cell.store.put(LEADER_TABLE, LEADER_KEY, row, part=PART)
    cell.advance(0.5)
    assert cell.store.value(LEADER_TABLE, LEADER_KEY, part=PART)["term"] == 10


class _EarlierLeaderRow(Struct, kw_only=True):
    """The row as releases before the write numbers encode and decode it."""

    holder: str
    incarnation: str
    address: str
    term: int
    handover: list[HandoverWorker] = []
    registry_version: int = 0
    n_workers: int = 0
    missing: list[str] = []
    nameless: list[str] = []
    unanswered_starts: dict[str, int] = {}
    n_loads: int = 0


@pytest.mark.parametrize("values", [{}, {"n_workers": 4, "missing": ["i-1"], "n_loads": 2}])
def test_leader_row_is_read_by_releases_with_and_without_write_numbers(values):
    """Guards against a rolling upgrade, forth or back, that loses what the row hands over."""
    row = LeaderRowStore(store=None).prepare(_row(**values), 7).row
    earlier = _EarlierLeaderRow(**{name: getattr(row, name) for name in _fields(_EarlierLeaderRow)})
    assert decode(encode(row), _EarlierLeaderRow) == earlier
    assert decode(encode(earlier), LeaderRow) == structs.replace(row, write_number=0)


def _fields(kind):
    return [field.name for field in structs.fields(kind)]
