"""Restarted workers in a cell whose leader has its commands relayed, and mixed releases."""

import pytest

from anvilflow.cell import _relay
from anvilflow.cell._relay_dispatcher import RelayDispatcher
from anvilflow.cell._worker_commands import (
    CommandOutcome,
    Verb,
    answer_from_error,
    raise_for_outcome,
)
from anvilflow.exceptions import WorkerGoneError, WorkerRefusedError
from anvilflow.peers.gen.ttypes import WorkerAnswer, WorkerOrder

from ._helpers import JOB, make_cell
from .test_drawn_restarts import RestartScenario
from .test_restarted_workers import run_earlier_job, run_job_on_restarted_worker


@pytest.fixture(autouse=True)
def use_relays(monkeypatch):
    """Let every leader relay its commands."""
    monkeypatch.setattr(RelayDispatcher, "relays_in_use", True)


def count_relayed(cell):
    """Return the number of commands that were relayed."""
    counts = cell.daemons[cell.leader()].context.meters.counts
    return sum(n for (name, labels), n in counts.items() if (name, labels[1:]) == _RELAYED)


_RELAYED = ("routes", ("carried",))


def test_relay_sends_no_command_to_another_incarnation():
    """Guards against a relay that reaches a restarted worker with commands to the former one."""
    cell = make_cell(n_instances=3, n_workers=1)
    run_earlier_job(cell)
    cell.restart_worker("i-0")
    assert run_job_on_restarted_worker(cell) == []
    assert count_relayed(cell) > 0


def test_relay_of_an_earlier_release_gets_no_commands():
    """Guards against commands over an instance that does not check which incarnation it reaches."""
    cell = make_cell(n_instances=3, n_workers=1)
    for link in cell.daemons[cell.leader()].context.links.peers.values():
        link.peer.checks_incarnations = None
    cell.advance(0.5)
    before = count_relayed(cell)
    run_earlier_job(cell)
    assert count_relayed(cell) == before


@pytest.mark.parametrize("safeguard", [True, False])
def test_relay_takes_a_raised_token_for_that_of_its_leader(monkeypatch, safeguard):
    """Guards against a relay that refuses a leader's commands after one to a restarted worker."""
    if not safeguard:
        monkeypatch.setattr(_relay, "_leader_token", lambda command: command.token)
    cell = make_cell(n_instances=2, n_workers=2)
    leader = cell.daemons[cell.leader()]
    token = leader.supervisor.part("home")._claimed.token
    context = cell.daemons[cell.other()].context
    context.payloads.keep(JOB, "0.3 done 1000")
    for number, raised in enumerate((50, 0)):
        worker = cell.workers[f"i-{number}"]
        order = WorkerOrder(
            call=10_000_000 + number,
            verb=Verb.START,
            token=token + raised,
            home_token=token,
            worker=worker.worker_id,
            address=worker.address,
            born_ms=worker.born_ms,
            limit_ms=400,
            sent_ms=round(1000 * cell.clock.seconds()),
            task=f"{JOB}.9.9.{number}",
            run_id=1,
            until_ms=round(1000 * (worker.clock_s() + 3.0)),
        )
        context.relay.serve(context.links.leader_link, order)
        cell.advance(0.1)
    assert [span.worker for span in cell.spans] == (["i-0", "i-1"] if safeguard else ["i-0"])


@pytest.mark.parametrize(("born_ms", "details"), [(7, {"born_ms": 7}), (-1, {"born_ms": None})])
def test_answer_of_a_relay_states_the_present_incarnation(born_ms, details):
    """Guards against a restart that is taken for another worker at the same address."""
    answer = WorkerAnswer(outcome=CommandOutcome.GONE, reason="gone", born_ms=born_ms)
    with pytest.raises(WorkerGoneError) as caught:
        raise_for_outcome(answer)
    assert caught.value.details == details


def test_other_worker_at_the_address_is_no_restart_over_relays():
    """Guards against a relay whose answer of another worker ends the runs of the one meant."""
    error = WorkerRefusedError("another worker", details={"reason": "misdirected"})
    of_older_release = WorkerAnswer(outcome=CommandOutcome.GONE, reason="gone")
    for answer in (answer_from_error(error), of_older_release):
        with pytest.raises(WorkerRefusedError) as caught:
            raise_for_outcome(answer)
        assert not isinstance(caught.value, WorkerGoneError)
        assert caught.value.details == {"reason": "misdirected"}


@pytest.mark.parametrize("seed", range(3))
def test_tasks_run_once_while_workers_start_again(seed):
    """Guards against lost ends and second runs over relays when incarnations share an id."""
    assert RestartScenario(seed=seed).play() == []
