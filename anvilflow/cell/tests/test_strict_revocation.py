"""Strict revocation: no call succeeds that was sent too long after its API key was removed."""

from random import Random

import pytest
from twisted.internet.task import deferLater

from anvilflow.cell import Bounds
from anvilflow.cell._config_proof import CLOCK_DRIFT, ConfigProof

from ._helpers import JOB, STEP, make_cell
from .test_api_keys import KEY, OTHER_KEY, make_config

#: Time after its removal within which a key may still be accepted. Unit: seconds.
REVOKE_S = 5.0

NAMES = ("a0", "a1", "a2")


def make_strict_cell(**values):
    """Return a started cell with two accounts and strict revocation."""
    bounds = Bounds(strict_revocation=True, revoke_s=REVOKE_S, config_apply_s=3.0)
    return make_cell(config=make_config(), bounds=bounds, **values)


def get(cell, name, key=KEY, *, queue="urgent", wait_s=1.0):
    """Make a call and return its status and headers, or None without an answer."""
    answers = cell.call(name, "GET", f"/{queue}/", key=key)
    for _ in range(round(wait_s / 0.05)):
        if not answers:
            cell.advance(0.05)
    return (answers[0][0], answers[0][2]) if answers else None


def is_in_rotation(cell, name):
    """Whether the balancer sends new connections to an instance."""
    return cell.daemons[name].supervisor.part("entry")._is_ready()


def cut_off_from_store(cell, *names):
    """Let calls of some instances to the store have no effect and no answer."""
    cell.store_faults.silent = True
    cell.store_faults.only = set(names)


def remove_key(cell, version=2):
    """Remove the first key; return the time of the acknowledgement."""
    cell.store.put("op", "config", make_config(version, a=[], b=[OTHER_KEY]))
    return cell.clock.seconds()


@pytest.mark.parametrize("safeguard", [True, False])
def test_instance_cut_off_from_the_store_stops_accepting_a_removed_key(monkeypatch, safeguard):
    if not safeguard:
        monkeypatch.setattr(ConfigProof, "expires_in_s", lambda *_: 1.0)
    cell = make_strict_cell()
    name = cell.other()
    cut_off_from_store(cell, name)
    cell.advance(0.1)
    removed_at = remove_key(cell)
    assert get(cell, name)[0] == 200
    cell.advance(removed_at + REVOKE_S - cell.clock.seconds())
    status, headers = get(cell, name)
    assert (status == 503) is safeguard
    if safeguard:
        assert headers[b"connection"] == b"close"
        assert b"retry-after" in headers
        # A key that is still in force is refused as well, public queues are served.
        assert get(cell, name, OTHER_KEY)[0] == 503
        assert get(cell, name, None, queue="open")[0] == 200
        assert not is_in_rotation(cell, name)
        counts = cell.daemons[name].context.meters.counts
        assert counts["unproven_refusals", ()] == 2
        cell.store_faults.clear()
        cell.advance(2.0)
        assert get(cell, name)[0] == 401
        assert get(cell, name, OTHER_KEY)[0] == 200
        assert is_in_rotation(cell, name)


def test_instances_serve_keys_without_a_pause_while_the_store_answers():
    cell = make_strict_cell()
    for _ in range(100):
        cell.advance(0.13)
        assert {get(cell, name)[0] for name in NAMES} == {200}
        assert all(is_in_rotation(cell, name) for name in NAMES)


@pytest.mark.parametrize("safeguard", [True, False])
def test_suspended_instance_checks_anew_before_it_accepts_a_key(monkeypatch, safeguard):
    """Its connections have stopped responding, so that it does not learn of the removal at once."""
    if not safeguard:
        monkeypatch.setattr(ConfigProof, "expires_in_s", lambda *_: 1.0)
    cell = make_strict_cell()
    name = cell.other()
    cell.pause(name)
    cell.wire.drop_pending_answers(name)
    remove_key(cell)
    cell.advance(REVOKE_S + 0.5)
    cell.resume(name)
    status, _ = get(cell, name)
    assert (status != 200) is safeguard
    if safeguard:
        cell.advance(1.0)
        assert get(cell, name)[0] == 401
        assert get(cell, name, OTHER_KEY)[0] == 200


@pytest.mark.parametrize("safeguard", [True, False])
def test_late_answer_proves_the_configuration_as_of_its_request(monkeypatch, safeguard):
    """Guards against an answer that is seconds late and shows a state before the removal."""
    cell = make_strict_cell()
    if not safeguard:
        monkeypatch.setattr(
            ConfigProof, "note_read", lambda self, _: setattr(self, "as_of", cell.clock.seconds())
        )
    proof = cell.daemons["a0"].context.config_proof
    before = cell.clock.seconds()
    cell.store_faults.slow_s = 0.7
    cell.advance(3.0)
    ages_s = []
    for _ in range(60):
        cell.advance(0.05)
        ages_s.append(proof.age_s(cell.clock.seconds()))
    assert proof.as_of > before
    assert (min(ages_s) >= 0.7) is safeguard


def test_proof_counts_from_the_request_and_allows_for_drift():
    proof = ConfigProof()
    assert proof.expires_in_s(0.0, 5.0) < 0
    proof.note_row(7, in_force=True)
    proof.note_read(10.0)
    proof.note_read(9.0)
    assert proof.as_of == 10.0
    assert proof.expires_in_s(10.0 + 5.0 / (1 + CLOCK_DRIFT) + 1e-6, 5.0) < 0
    assert proof.expires_in_s(14.5, 5.0) > 0


def test_row_that_is_not_in_force_ends_the_proof():
    proof = ConfigProof()
    proof.note_row(7, in_force=True)
    proof.note_read(10.0)
    proof.note_row(9, in_force=False)
    proof.note_read(11.0)
    assert proof.as_of == 10.0
    # An older answer that arrives late does not restore it, a newer row in force does.
    proof.note_row(7, in_force=True)
    proof.note_read(12.0)
    assert proof.as_of == 10.0
    proof.note_row(10, in_force=True)
    proof.note_read(13.0)
    assert proof.as_of == 13.0


@pytest.mark.parametrize(
    "change",
    [
        lambda cell: cell.store.put("op", "config", {"version": 7, "tenants": 5}),
        lambda cell: cell.store.put("op", "config", make_config(0, a=[], b=[OTHER_KEY])),
        lambda cell: cell.store.put("op", "config", make_config(1, a=[], b=[OTHER_KEY])),
        lambda cell: cell.store.remove("op", "config"),
    ],
    ids=["unreadable", "lower version", "same version, other content", "removed"],
)
def test_keys_are_refused_where_the_newest_configuration_is_not_in_force(change):
    """The last configuration stays in force, and its proof goes on ageing."""
    cell = make_strict_cell()
    change(cell)
    cell.advance(1.0)
    assert get(cell, "a0")[0] == 200
    cell.advance(REVOKE_S)
    assert [get(cell, name)[0] for name in NAMES] == [503, 503, 503]
    assert get(cell, "a0", None, queue="open")[0] == 200
    cell.store.put("op", "config", make_config(9))
    cell.advance(1.0)
    assert [get(cell, name)[0] for name in NAMES] == [200, 200, 200]


def test_late_answer_from_before_a_removal_does_not_restore_the_proof():
    """Guards against keys that are accepted for ever after the configuration was removed."""
    cell = make_strict_cell()
    store = cell.daemons["a0"].context.store
    read = store.read

    def read_late(*values, **options):
        done = read(*values, **options)
        return done.addCallback(lambda found: deferLater(cell.clocks["a0"], 0.5, lambda: found))

    store.read = read_late
    cell.daemons["a0"].context.config_part.confirm()
    cell.advance(0.2)
    cell.store.remove("op", "config")
    cell.advance(1.0)
    assert get(cell, "a0")[0] == 200
    cell.advance(REVOKE_S)
    assert get(cell, "a0")[0] == 503


def test_outage_of_the_store_ends_the_service_of_keys_in_time_and_no_later():
    cell = make_strict_cell()
    cell.store_faults.status = 503
    cell.advance(2.0)
    assert [get(cell, name)[0] for name in NAMES] == [200, 200, 200]
    cell.advance(REVOKE_S)
    assert [get(cell, name)[0] for name in NAMES] == [503, 503, 503]
    cell.store_faults.clear()
    cell.advance(0.8)
    assert [get(cell, name)[0] for name in NAMES] == [200, 200, 200]


def test_configuration_in_force_decides_where_revocation_is_not_strict():
    cell = make_cell(config=make_config())
    name = cell.other()
    cut_off_from_store(cell, name)
    cell.advance(20.0)
    assert get(cell, name)[0] == 200
    assert is_in_rotation(cell, name)


def test_read_for_a_waiting_call_is_shared():
    cell = make_strict_cell()
    name = cell.other()
    cell.pause(name)
    cell.advance(REVOKE_S + 1.0)
    cell.resume(name)
    before = cell.daemons[name].context.store.n_reads
    answers = [cell.call(name, "GET", "/urgent/", key=KEY) for _ in range(50)]
    cell.advance(1.0)
    assert [answer[0][0] for answer in answers] == [200] * 50
    assert cell.daemons[name].context.store.n_reads - before < 20


class RevocationScenario:
    """Calls with keys at every instance, while keys are removed and instances are cut off.

    Checked is each call that succeeds: its key must have been in force `REVOKE_S` before the call
    was sent.
    """

    def __init__(self, seed):
        self.random_state = Random(seed)
        self.cell = make_strict_cell(random_state=seed)
        self.version = 1
        self.keys = {"a": [KEY], "b": [OTHER_KEY]}
        self.removed_at = {}
        self.calls = []
        self.n_jobs = 0

    def play(self, length_s=30.0):
        """Play the scenario; return the calls that should have been refused."""
        cell = self.cell
        until = cell.clock.seconds() + length_s
        changes_at = sorted(self.random_state.uniform(1.0, 20.0) for _ in range(8))
        faults_at = sorted(self.random_state.uniform(0.5, 20.0) for _ in range(4))
        began = cell.clock.seconds()
        while cell.clock.seconds() < until:
            now = cell.clock.seconds() - began
            while changes_at and now >= changes_at[0]:
                changes_at.pop(0)
                self._change_keys()
            while faults_at and now >= faults_at[0]:
                faults_at.pop(0)
                self._begin_fault()
            self._make_calls()
            cell.advance(0.1)
        return [call for call in self.calls if self._is_violation(*call)]

    def _change_keys(self):
        account = self.random_state.choice(["a", "b"])
        for key in self.keys[account][: self.random_state.choice([1, 1, 5])]:
            self.keys[account].remove(key)
            self.removed_at[key] = self.cell.clock.seconds()
        self.version += self.random_state.choice([1, 3])
        self.keys[account].append(f"{account}-{self.version}")
        self.cell.store.put("op", "config", make_config(self.version, **self.keys))

    def _begin_fault(self):
        name = self.random_state.choice(list(self.cell.daemons))
        for_s = self.random_state.uniform(1.0, 9.0)
        cell = self.cell
        match self.random_state.randrange(6):
            case 0:
                cell.pause(name)
                cell.clock.callLater(for_s, cell.resume, name)
            case 1:
                cell.kill(name)
                cell.clock.callLater(for_s, cell.start_instance, name)
            case 2:
                cut_off_from_store(cell, name)
                cell.clock.callLater(for_s, cell.store_faults.clear)
            case 3:
                cell.store_faults.slow_s = self.random_state.uniform(0.1, 1.0)
                cell.clock.callLater(for_s, cell.store_faults.clear)
            case 4:
                cell.store_faults.loses_answers = True
                cell.clock.callLater(for_s, cell.store_faults.clear)
            case _:
                cut_off_from_store(cell, name)
                cell.isolate(name)
                cell.clock.callLater(for_s, cell.store_faults.clear)

    def _make_calls(self):
        for name in list(self.cell.daemons):
            if self.cell.clocks[name].paused:
                continue
            keys = [key for each in self.keys.values() for key in each] + list(self.removed_at)
            for key in keys[-12:]:
                sent_at = self.cell.clock.seconds()
                if self.random_state.random() < 0.2:
                    self.n_jobs += 1
                    job_id = f"{self.n_jobs:016x}"
                    answers = self.cell.submit(name, job_id, STEP, key=key, spec="0.1 done 1000")
                else:
                    answers = self.cell.call(name, "GET", "/urgent/", key=key)
                self.calls.append((name, key, sent_at, answers))

    def _is_violation(self, name, key, sent_at, answers):
        is_served = bool(answers) and answers[0][0] == 200
        return is_served and sent_at > self.removed_at.get(key, sent_at) + REVOKE_S


@pytest.mark.parametrize("seed", range(6))
def test_drawn_revocations_break_no_promise(seed):
    scenario = RevocationScenario(seed)
    assert scenario.play() == []
    assert any(answers and answers[0][0] == 200 for *_, answers in scenario.calls)


def test_drawn_revocations_find_a_missing_check(monkeypatch):
    monkeypatch.setattr(ConfigProof, "expires_in_s", lambda *_: 1.0)
    assert any(RevocationScenario(seed).play() for seed in range(6))


def test_refused_submission_did_not_run():
    """Guards against a job that runs although its call was refused for want of a proof."""
    cell = make_strict_cell()
    name = cell.other()
    cut_off_from_store(cell, name)
    cell.advance(REVOKE_S + 1.0)
    [answer] = cell.submit(name, JOB, STEP, key=KEY)
    assert answer[0] == 503
    cell.store_faults.clear()
    cell.advance(3.0)
    assert cell.spans == []
