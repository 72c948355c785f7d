"""Tests that a malformed call of an instance is answered by the leader."""

import pytest

from ._helpers import JOB, make_cell

NESTED = b"[" * 20_000 + b"]" * 20_000


@pytest.mark.parametrize("verb", ["accepted", "submit"])
@pytest.mark.parametrize("body", [NESTED, b"[]", b"\xff", b""])
def test_malformed_call_of_an_instance_is_answered(verb, body):
    """Guards against one message that costs an instance its connection to the leader."""
    cell = make_cell(n_instances=3)
    links = cell.daemons[cell.other()].context.links
    link = links.leader_link
    replies = []
    call = links.call_leader(
        0.5, verb=verb, job_id=JOB, queue="urgent", version=1, body=body, account=None
    )
    call.addBoth(replies.append)
    cell.advance(0.3)
    assert [reply.outcome for reply in replies] == ["failed"]
    assert links.leader_link is link
    assert cell.store.value("home", "home", part="cell")["term"] == 1
