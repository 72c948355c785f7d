"""How soon callers are served again when a leader has changed or an outage is over."""

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.defer import inlineCallbacks

from anvilflow.cell import _gateway, _links, _recorder, _store_probe
from anvilflow.cell._job_store import store_job
from anvilflow.exceptions import PlatformUnavailableError

from ._helpers import JOB, STEP, make_cell

#: As many instances as the larger deployments have.
N_MANY = 30


def test_all_instances_find_a_new_leader_at_once():
    """The leader of a large cell is killed; one instance claims, the others look for it.

    Only a claim has to wait for its turn. If looking waited, too, the last of thirty instances
    would refuse what only a leader can answer for 1.8 s.
    """
    cell = make_cell(n_instances=N_MANY)
    cell.kill(cell.leader())
    cell.advance(0.6)
    leaders = cell.leaders()
    assert leaders == [cell.leader()]
    followers = [name for name in cell.daemons if name not in leaders]
    found = [name for name in followers if cell.daemons[name].context.links.leader_link]
    assert found == followers


def test_no_two_instances_claim_when_all_look_at_once():
    """All instances of a large cell see the leader's end in the same moment.

    Each reads the row at once; the claims keep their order, so that one leader follows, not three.
    """
    cell = make_cell(n_instances=N_MANY)
    term = cell.store.value("home", "home", part="cell")["term"]
    cell.kill(cell.leader())
    cell.advance(3.0)
    assert cell.store.value("home", "home", part="cell")["term"] == term + 1


@pytest.mark.parametrize(
    ("kind", "safeguard"), [("silent", True), ("silent", False), ("status", True)]
)
def test_jobs_are_accepted_right_after_an_outage(monkeypatch, kind, safeguard):
    """The store is away for four seconds; a client sends its job 0.25 s after the return.

    Without a watch on the store an instance only learns of the return by its next call: the
    feeds wait for seconds for answers that will not come, and until then it refuses jobs. After
    an outage with refusals the leader, which tries all the time, takes jobs even without the watch.
    """
    if not safeguard:
        monkeypatch.setattr(_store_probe, "PROBE_S", 3600.0)
    cell = make_cell(n_instances=6)
    setattr(cell.store_faults, kind, {"silent": True, "status": 503}[kind])
    for number, name in enumerate(cell.daemons):
        cell.submit(name, f"00000000000001{number:02x}", STEP)
    cell.advance(4.0)
    cell.store_faults.clear()
    cell.advance(0.25)
    answers = [cell.submit(name, f"{index:016x}", STEP) for index, name in enumerate(cell.daemons)]
    cell.advance(0.1)
    accepted = [answer[0][0] for answer in answers if answer].count(200)
    assert (accepted == len(answers)) is safeguard
    cell.advance(5.0)
    assert cell.check() == []


def test_watch_asks_only_while_the_store_is_in_doubt():
    """A store that answers is not watched: its calls are counted and paid for."""
    cell = make_cell(n_instances=3)
    before = cell.store.n_reads
    cell.advance(5.0)
    quiet = cell.store.n_reads - before
    cell.store_faults.status = 503
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, STEP)
    cell.store_faults.clear()
    cell.advance(1.0)
    before = cell.store.n_reads
    cell.advance(5.0)
    assert cell.store.n_reads - before <= quiet + 5


@pytest.mark.parametrize("safeguard", [True, False])
def test_slow_store_is_not_filled_with_second_writes(monkeypatch, safeguard):
    """The store takes half a second for each write; a client submits a job and hears 200.

    The entry looks for the row while it waits. Writing a second time, it and then the leader filled
    the part that the job lies in, and the store refused what came after.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway, "store_job_with_read_back", _write_again_and_again)
    cell = make_cell(n_instances=3)
    name = cell.other()
    cell.store_faults.slow_s = 0.5
    cell.store_faults.only = {name}
    before = cell.store.n_writes
    heartbeats = _count_heartbeats(cell)
    answers = cell.submit(name, JOB, STEP)
    cell.advance(2.0)
    n_writes = cell.store.n_writes - before - _count_heartbeats(cell) + heartbeats
    assert answers[0][0] == 200
    assert (n_writes == 1) is safeguard


def _count_heartbeats(cell):
    return sum(table == "home" for _, _, table, _, _, _ in cell.store.log)


@inlineCallbacks
def _write_again_and_again(store, value, *, clock, read_back_after_s):
    for _ in range(3):
        try:
            version = yield store_job(store, value, timeout=read_back_after_s)
        except PlatformUnavailableError:
            continue
        return version
    return 0


def test_refused_reading_of_a_job_is_no_refusal_of_the_job():
    """The store takes a job late and without an answer, and refuses to be read meanwhile.

    The client must not hear "not accepted": the job runs when the write takes effect.
    """
    cell = make_cell(n_instances=3)
    name = cell.other()
    cell.store_faults.late_s = 1.0
    cell.store_faults.only = {name}
    answers = cell.submit(name, JOB, STEP)
    cell.advance(0.1)
    cell.store_faults.clear()
    cell.store_faults.status = 503
    cell.store_faults.only = {name, cell.leader()}
    cell.advance(0.8)
    cell.store_faults.clear()
    cell.advance(5.0)
    assert answers[0][0] == 504
    assert len(cell.spans) == 4


def test_gateway_that_is_refused_does_not_make_the_leader_give_up():
    """The store refuses the jobs of the leader's own clients, and takes what the leader writes.

    Such a refusal says that a part is full of jobs. Taken for an outage, it made the leader offer
    its place, and three leaders followed each other in three seconds.
    """
    cell = make_cell(n_instances=4)
    leader = cell.leader()
    term = cell.store.value("home", "home", part="cell")["term"]
    for _ in range(20):
        cell.daemons[leader].context.store_health.bad()
        cell.advance(0.1)
    assert cell.store.value("home", "home", part="cell")["term"] == term


def test_instance_that_starts_beside_a_dark_leader_finds_its_successor_at_once():
    """The leader's machine is dark; all others start, and one of them claims within 0.4 s.

    An instance that waited for its connection to the dark one first would find the successor
    0.4 s later, and what its clients submit meanwhile.
    """
    cell = make_cell(n_instances=4)
    leader = cell.leader()
    cell.power_off(leader)
    others = list(cell.daemons)
    for name in others:
        cell.kill(name)
    cell.advance(0.5)
    for name in others:
        cell.start_instance(name)
    cell.advance(0.6)
    assert cell.leader() in others
    followers = [name for name in others if name != cell.leader()]
    assert [name for name in followers if cell.daemons[name].context.links.leader_link] == followers


def test_an_outage_is_logged_once_by_each_instance():
    """The store is away for ten seconds; each instance says that it is gone, and that it is back.

    A line with each try, four a second, hides what else happens in an outage.
    """
    cell = make_cell(n_instances=3)
    with LogRecorder() as log:
        cell.store_faults.status = 503
        cell.advance(10.0)
        cell.store_faults.clear()
        cell.advance(2.0)
    said = [record.msg for record in log.records]
    assert said.count("configuration not read") == 3
    assert said.count("store answers again") in (1, 2, 3)


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_gives_a_slow_store_each_transaction_once(monkeypatch, safeguard):
    """Each call to the store takes 0.5 s from one moment to the next, while a job ends.

    The leader reads its row while the answer is out, and the transaction goes on waiting. Sent
    again after 0.3 s it stood in the same queue twice, with claims and records behind it.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder.Recorder, "_watch", _wait_once)
    cell = make_cell(n_instances=3)
    cell.submit("a0", JOB, STEP)
    cell.advance(0.5)
    cell.store_faults.slow_s = 0.5
    before = cell.store.n_writes
    cell.advance(3.0)
    assert (cell.store.n_writes - before <= 6) is safeguard
    cell.store_faults.clear()
    cell.advance(3.0)
    assert cell.state("a0", JOB) == "completed"


@inlineCallbacks
def _wait_once(self, writing):
    yield writing.wait(self.context.clock, self._doubt_s)
    return None


def test_claims_in_a_slow_store_keep_their_order():
    """The leader dies while each call takes 0.3 s: one instance claims, and no other after it."""
    cell = make_cell(n_instances=8)
    term = cell.store.value("home", "home", part="cell")["term"]
    cell.store_faults.slow_s = 0.3
    cell.advance(3.0)
    before = cell.store.n_writes
    cell.kill(cell.leader())
    cell.advance(2.2)
    assert cell.store.value("home", "home", part="cell")["term"] == term + 1
    # The claim, and what the new leader writes: no crowd of others.
    assert cell.store.n_writes - before <= 6


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("kind", ["silent", "status"])
def test_instances_cut_off_from_the_store_find_the_next_leader(monkeypatch, kind, safeguard):
    """The leader and one more instance do not reach the store for some seconds; the others do.

    The next leader's name stands in the store, which those two cannot read. They refused all jobs
    until the store answered them again; a client came back a second later, too late for a quick
    job. Now they ask the successors that the last leader has named.
    """
    if not safeguard:
        monkeypatch.setattr(_links, "MAX_ADDRESSES", 0)
    cell = make_cell(n_instances=5)
    former = cell.leader()
    cut = [former, next(name for name in cell.daemons if name != former)]
    setattr(cell.store_faults, kind, {"silent": True, "status": 503}[kind])
    cell.store_faults.only = set(cut)
    cell.advance(2.5)
    assert cell.leader() not in cut
    answers = [cell.submit(name, f"00000000000002{n:02x}", STEP) for n, name in enumerate(cut)]
    cell.advance(0.1)
    statuses = [answer[0][0] if answer else None for answer in answers]
    assert (statuses == [200, 200]) is safeguard


def test_accepting_does_not_try_a_silent_store_again_and_again():
    """An instance is cut off from the store for seconds; jobs come to it, one each 0.4 s.

    The first waits for the store's answer. Tried again by the first job of each second, the store
    kept it and what came meanwhile waiting for 0.9 s; 7 quick jobs of a day were late by it.
    """
    cell = make_cell(n_instances=4)
    name = cell.other()
    cell.store_faults.silent = True
    cell.store_faults.only = {name}
    cell.submit(name, "0000000000000300", STEP)
    cell.advance(1.5)
    waits = []
    for number in range(12):
        answers = cell.submit(name, f"00000000000003{number + 1:02x}", STEP)
        cell.advance(0.1)
        waits.append(bool(answers) and answers[0][0] == 200)
        cell.advance(0.3)
    assert all(waits)
