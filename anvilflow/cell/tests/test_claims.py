"""Claims of the leader's row that an instance makes after a delay."""

from msgspec import structs

from ._helpers import make_cell


def test_claim_from_a_leader_that_yields_is_not_made_against_its_later_term():
    """Guards against replacing a healthy leader: the instance decided on an earlier term.

    While it waited for its turn, another instance led, and the same process claimed again.
    """
    cell = make_cell(n_instances=3)
    leader = cell.leader()
    leadership = cell.daemons[cell.other()].supervisor.part("leadership")
    leadership.row = structs.replace(leadership.row, term=leadership.row.term - 1)
    leadership._leader_yields = True
    leadership._check_leader(True)
    cell.advance(2.0)
    assert cell.leader() == leader
