"""Events of a run, in the order in which they happened."""

from msgspec import Struct

from ..resources import Amounts


class _Event(Struct, kw_only=True, tag_field="event", tag=True):
    at: float


class WorkerKnown(_Event):
    """A worker and what it holds."""

    worker: str
    capacity: Amounts


class RunBegan(_Event):
    """A worker began to run a request or an attempt of a task."""

    worker: str
    item: str
    task: bool
    needs: Amounts
    token: str = ""


class RunEnded(_Event):
    """A worker ended a run; `how` is ok, failed, stopped, lapsed or lost."""

    worker: str
    item: str
    how: str


class Sent(_Event):
    """A caller sent a request; `token` is unique in the run and goes with the payload."""

    token: str
    idempotent: bool
    key: str = ""


class Answered(_Event):
    """A caller got its answer; `echoed` is the token that came back with it."""

    token: str
    outcome: str
    echoed: str = ""


class TargetLeaving(_Event):
    """The platform's list says that a worker is leaving."""

    worker: str


class ConfigAccepted(_Event):
    """An operator was told that a revision is accepted."""

    revision: int


class ConfigInForce(_Event):
    """An instance, in one life of it, has a revision in force."""

    instance: str
    incarnation: str
    revision: int


class History:
    """Collects events; parts and stand-ins of one process share it.

    Parameters
    ----------
    clock : IReactorTime
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.events = []

    def add(self, kind, **values):
        """Record an event of type `kind` now."""
        self.events.append(kind(at=self.clock.seconds(), **values))
