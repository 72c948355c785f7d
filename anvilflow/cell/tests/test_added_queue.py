"""A queue that was added is served by every instance, whatever becomes of the home and the feeds.

An operator's change had been confirmed long enough before; callers of the new queue were refused
all the same, at several instances at once.
"""

import pytest

from anvilflow.standins import make_platform_config

from ._helpers import make_cell

#: Time in which a change must be in force, and the time after a disturbance from which that holds
#: again. Unit: seconds.
APPLY_S = 2.0
CONTACT_S = 3.0

#: Period of asking. Unit: seconds.
ASK_S = 0.05

_ADDED = make_platform_config(5, queues=[{"name": "new", "prefix": "/new/"}])


def _ask_all(cell, path, seconds):
    """Ask all instances again and again; return the statuses that callers got, by instance."""
    answers = {name: [] for name in cell.daemons}
    for _ in range(round(seconds / ASK_S)):
        for name in cell.daemons:
            answers[name].append(cell.call(name, "GET", path))
        cell.advance(ASK_S)
    cell.advance(1.0)
    return {
        name: {status for answer in given for status, *_ in answer or [(None,)]}
        for name, given in answers.items()
    }


@pytest.mark.parametrize("loss", ["killed", "paused"])
def test_added_queue_is_served_while_the_home_is_lost(loss):
    """The home is lost 2.5 s after the change, and all others are asked how many jobs wait.

    They refused with 503 until the next home had begun: 0.5 s after a kill, 0.9 s after a pause.
    """
    cell = make_cell(n_instances=4)
    cell.store.put("op", "config", _ADDED)
    cell.advance(2.5)
    home = cell.home()
    if loss == "killed":
        cell.kill(home)
    else:
        cell.pause(home)
        del cell.daemons[home]
    statuses = _ask_all(cell, "/new/", 3.0)
    assert set.union(*statuses.values()) == {200}


@pytest.mark.parametrize("waited_s", [0.1, 0.5, 0.9, 1.3, 1.7, 2.1])
@pytest.mark.parametrize("lead_s", [0.0, 0.6, 1.2])
def test_change_is_in_force_in_time_after_connections_to_the_store_fell_silent(lead_s, waited_s):
    """All connections to the store fall silent without a reset; then the operator adds a queue.

    Instances went on refusing it with 404 for up to 3 s after the change: each waited 3.8 s from
    its call for the feed's answer, and so did the home, whose hints help the others.
    """
    cell = make_cell(n_instances=4)
    cell.advance(waited_s)
    for name in cell.daemons:
        cell.wire.silence(name)
    cell.advance(lead_s)
    cell.store.put("op", "config", _ADDED)
    cell.advance(max(APPLY_S, CONTACT_S - lead_s))
    statuses = _ask_all(cell, "/new/", 0.5)
    assert set.union(*statuses.values()) == {200}
