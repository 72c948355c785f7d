"""Tests of the time until clients are served again after a take-over or an outage."""

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.defer import inlineCallbacks

from anvilflow.cell import _gateway, _links, _recorder, _store_probe
from anvilflow.cell._job_store import store_job
from anvilflow.exceptions import PlatformUnavailableError

from ._helpers import JOB, STEP, make_cell

#: Number of instances in the larger deployments.
N_INSTANCES = 30


def test_all_instances_find_a_new_leader_without_delay():
    """The leader of a large cell is killed; one instance claims, the others look up the new leader.

    Only claims wait for their turn. If lookups waited as well, the last of thirty instances would
    refuse calls that need the leader for 1.8 s.
    """
    cell = make_cell(n_instances=N_INSTANCES)
    cell.kill(cell.leader())
    cell.advance(0.6)
    leaders = cell.leaders()
    assert leaders == [cell.leader()]
    followers = [name for name in cell.daemons if name not in leaders]
    found = [name for name in followers if cell.daemons[name].context.links.leader_link]
    assert found == followers


def test_one_instance_claims_when_all_detect_the_leaders_end_together():
    """All instances of a large cell detect the leader's end at the same time.

    Each reads the leader's row immediately. The claims keep their order, so that one new leader
    follows and not three.
    """
    cell = make_cell(n_instances=N_INSTANCES)
    term = cell.store.value("home", "home", part="cell")["term"]
    cell.kill(cell.leader())
    cell.advance(3.0)
    assert cell.store.value("home", "home", part="cell")["term"] == term + 1


@pytest.mark.parametrize(
    ("kind", "safeguard"), [("silent", True), ("silent", False), ("status", True)]
)
def test_jobs_are_accepted_right_after_an_outage(monkeypatch, kind, safeguard):
    """The store is unavailable for four seconds; clients submit jobs 0.25 s after its return.

    Without the store probe an instance detects the return only by its next call: its feeds wait
    seconds for answers that will not come, and it refuses jobs until then. After an outage with
    refusals the leader, which retries all the time, accepts jobs even without the probe.
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


def test_probe_reads_only_while_the_store_may_be_unavailable():
    """Guards against probes of a store that answers: its calls are counted and paid for."""
    cell = make_cell(n_instances=3)
    before = cell.store.n_reads
    cell.advance(5.0)
    n_quiet_reads = cell.store.n_reads - before
    cell.store_faults.status = 503
    cell.advance(1.0)
    cell.submit(cell.other(), JOB, STEP)
    cell.store_faults.clear()
    cell.advance(1.0)
    before = cell.store.n_reads
    cell.advance(5.0)
    assert cell.store.n_reads - before <= n_quiet_reads + 5


@pytest.mark.parametrize("safeguard", [True, False])
def test_slow_store_does_not_get_repeated_writes(monkeypatch, safeguard):
    """The store takes half a second for each write; a client submits a job and gets 200.

    The gateway reads the row while it waits. When it wrote again instead, and then the leader too,
    they filled the job's part of the store, and the store refused later writes.
    """
    if not safeguard:
        monkeypatch.setattr(_gateway, "store_job_with_read_back", _write_repeatedly)
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
def _write_repeatedly(store, value, *, clock, read_back_after_s):
    for _ in range(3):
        try:
            version = yield store_job(store, value, timeout=read_back_after_s)
        except PlatformUnavailableError:
            continue
        return version
    return 0


def test_refused_read_of_a_job_is_not_reported_as_a_refused_job():
    """The store carries out a job's write late and without an answer, and refuses reads meanwhile.

    The client must not get "not accepted", because the job runs once the write takes effect.
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


def test_refused_writes_of_a_gateway_do_not_depose_the_leader():
    """The store refuses jobs submitted to the leader's instance, and accepts the leader's records.

    Such a refusal means that a part is full of jobs. When it was taken for an outage, the leader
    asked for a take-over, and three leaders followed each other in three seconds.
    """
    cell = make_cell(n_instances=4)
    leader = cell.leader()
    term = cell.store.value("home", "home", part="cell")["term"]
    for _ in range(20):
        cell.daemons[leader].context.store_health.record_failure()
        cell.advance(0.1)
    assert cell.store.value("home", "home", part="cell")["term"] == term


def test_instance_started_beside_an_unreachable_leader_finds_the_next_without_delay():
    """The leader's machine is off; all other instances start, and one claims within 0.4 s.

    An instance that first waited for its connection to the old leader would find the successor
    0.4 s later, and calls of its clients would wait as long.
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


def test_outage_is_logged_once_by_each_instance():
    """The store is unavailable for ten seconds; each instance logs the outage and its end once.

    A line for each retry, four a second, would hide other events of the outage.
    """
    cell = make_cell(n_instances=3)
    with LogRecorder() as log:
        cell.store_faults.status = 503
        cell.advance(10.0)
        cell.store_faults.clear()
        cell.advance(2.0)
    messages = [record.msg for record in log.records]
    assert messages.count("configuration not read") == 3
    assert messages.count("store answers again") in (1, 2, 3)


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_sends_each_transaction_to_a_slow_store_once(monkeypatch, safeguard):
    """Each call to the store suddenly takes 0.5 s while a job ends.

    The leader reads its row while the transaction is pending. When it sent the transaction again
    after 0.3 s, the transaction was queued twice and delayed the claims and records behind it.
    """
    if not safeguard:
        monkeypatch.setattr(_recorder.Recorder, "_wait_for_answer", _wait_without_reading)
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
def _wait_without_reading(self, writing):
    yield writing.wait(self.context.clock, self._answer_timeout_s)
    return None


def test_claims_in_a_slow_store_keep_their_order():
    """The leader fails while each call takes 0.3 s; only one instance may claim."""
    cell = make_cell(n_instances=8)
    term = cell.store.value("home", "home", part="cell")["term"]
    cell.store_faults.slow_s = 0.3
    cell.advance(3.0)
    before = cell.store.n_writes
    cell.kill(cell.leader())
    cell.advance(2.2)
    assert cell.store.value("home", "home", part="cell")["term"] == term + 1
    # The claim and the new leader's writes, but no claims of other instances.
    assert cell.store.n_writes - before <= 6


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("kind", ["silent", "status"])
def test_instances_cut_off_from_the_store_find_the_next_leader(monkeypatch, kind, safeguard):
    """The leader and one more instance cannot reach the store for some seconds; the others can.

    These two cannot read the next leader's name in the store. They used to refuse all jobs until
    the store answered them again; clients retried a second later, too late for a short job. They
    ask the successors that the last leader named instead.
    """
    if not safeguard:
        monkeypatch.setattr(_links, "MAX_SUCCESSOR_ADDRESSES", 0)
    cell = make_cell(n_instances=5)
    former = cell.leader()
    cut_off = [former, next(name for name in cell.daemons if name != former)]
    setattr(cell.store_faults, kind, {"silent": True, "status": 503}[kind])
    cell.store_faults.only = set(cut_off)
    cell.advance(2.5)
    assert cell.leader() not in cut_off
    answers = [cell.submit(name, f"00000000000002{n:02x}", STEP) for n, name in enumerate(cut_off)]
    cell.advance(0.1)
    statuses = [answer[0][0] if answer else None for answer in answers]
    assert (statuses == [200, 200]) is safeguard


def test_accepting_jobs_does_not_keep_retrying_an_unresponsive_store():
    """A gateway is cut off from the store for seconds and receives a job every 0.4 s.

    Only the first job waits for the store. When the first job of each second tried the store
    again, it and the jobs after it waited for 0.9 s, and 7 short jobs of a scenario were late.
    """
    cell = make_cell(n_instances=4)
    name = cell.other()
    cell.store_faults.silent = True
    cell.store_faults.only = {name}
    cell.submit(name, "0000000000000300", STEP)
    cell.advance(1.5)
    accepted = []
    for number in range(12):
        answers = cell.submit(name, f"00000000000003{number + 1:02x}", STEP)
        cell.advance(0.1)
        accepted.append(bool(answers) and answers[0][0] == 200)
        cell.advance(0.3)
    assert all(accepted)
