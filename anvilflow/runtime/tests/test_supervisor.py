"""A failed part is restarted with back-off; a part that keeps failing ends the process."""

from twisted.internet.task import Clock

from anvilflow.exceptions import PartError
from anvilflow.runtime import Supervisor


class FailingPart:
    """A part that counts its starts and stops."""

    made = 0
    stopped = 0

    def __init__(self):
        type(self).made += 1

    def start(self):
        """Open nothing."""

    def stop(self):
        """Count the stop."""
        type(self).stopped += 1


def make_supervisor():
    """Return a clock, a supervisor of one part, the class of the part and the list of give-ups."""
    kind = type("Part", (FailingPart,), {"made": 0, "stopped": 0})
    clock, given_up = Clock(), []
    supervisor = Supervisor(clock=clock, name="test", give_up=given_up.append)
    supervisor.add("part", kind)
    supervisor.start()
    return clock, supervisor, kind, given_up


def test_supervisor_restarts_part_with_growing_backoff():
    clock, supervisor, kind, given_up = make_supervisor()
    for backoff in (0.1, 0.2, 0.4):
        supervisor.on_failure(supervisor.part("part"), ValueError("fault"))
        assert supervisor.part("part") is None
        clock.advance(backoff * 0.99)
        assert supervisor.part("part") is None
        clock.advance(backoff * 0.02)
        assert supervisor.part("part") is not None
    assert (kind.made, kind.stopped, given_up) == (4, 3, [])


def test_supervisor_gives_up_on_part_that_keeps_failing():
    clock, supervisor, _, given_up = make_supervisor()
    for _ in range(6):
        supervisor.on_failure(supervisor.part("part"), ValueError("fault"))
        clock.advance(5.0)
    assert [type(error) for error in given_up] == [PartError]
    assert given_up[0].code == "AF601"


def test_supervisor_ignores_faults_outside_the_restart_window():
    clock, supervisor, _, given_up = make_supervisor()
    for _ in range(20):
        supervisor.on_failure(supervisor.part("part"), ValueError("fault"))
        clock.advance(30.0)
    assert given_up == []


def test_stop_during_backoff_cancels_the_restart():
    clock, supervisor, kind, _ = make_supervisor()
    supervisor.on_failure(supervisor.part("part"), ValueError("fault"))
    supervisor.stop()
    clock.advance(10.0)
    assert kind.made == 1
