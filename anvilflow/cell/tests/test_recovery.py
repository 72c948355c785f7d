"""How soon callers are served again when a home has changed or an outage is over."""

import pytest

from anvilflow.cell import _store_watch

from ._helpers import JOB, STEP, make_cell

#: As many instances as the larger deployments have.
N_MANY = 30


def test_all_instances_find_a_new_home_at_once():
    """The home of a large cell is killed; one instance claims, the others look for it.

    Only a claim has to wait for its turn. If looking waited, too, the last of thirty instances
    would refuse what only a home can answer for 1.8 s.
    """
    cell = make_cell(n_instances=N_MANY)
    cell.kill(cell.home())
    cell.advance(0.6)
    homes = cell.homes()
    assert homes == [cell.home()]
    followers = [name for name in cell.daemons if name not in homes]
    found = [name for name in followers if cell.daemons[name].context.links.home_link]
    assert found == followers


def test_no_two_instances_claim_when_all_look_at_once():
    """All instances of a large cell see the home's end in the same moment.

    Each reads the row at once; the claims keep their order, so that one home follows, not three.
    """
    cell = make_cell(n_instances=N_MANY)
    term = cell.store.value("home", "home", part="cell")["term"]
    cell.kill(cell.home())
    cell.advance(3.0)
    assert cell.store.value("home", "home", part="cell")["term"] == term + 1


@pytest.mark.parametrize("kind", ["silent", "status"])
@pytest.mark.parametrize("safeguard", [True, False])
def test_jobs_are_accepted_right_after_an_outage(monkeypatch, kind, safeguard):
    """The store is away for four seconds; a client sends its job 0.25 s after the return.

    Without a watch on the store an instance only learns of the return by its next call: the
    feeds wait for seconds for answers that will not come, and until then it refuses jobs.
    """
    if not safeguard:
        monkeypatch.setattr(_store_watch, "PROBE_S", 3600.0)
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
