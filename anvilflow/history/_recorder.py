"""Events of a run, recorded in the order in which they happen."""

from msgspec import Struct

from ..resources import Amounts


class _Event(Struct, kw_only=True, tag_field="event", tag=True):
    at: float


class WorkerKnown(_Event):
    """A worker and its capacity."""

    worker: str
    capacity: Amounts


class RunBegan(_Event):
    """A worker began to run a request or an attempt of a task.

    `item` identifies the request or the attempt; `task` is true for an attempt.
    """

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
    """A caller sent a request; `token` identifies it within the run and is in the payload."""

    token: str
    idempotent: bool
    key: str = ""


class Answered(_Event):
    """A caller got an answer; `echoed` is the token returned in the result."""

    token: str
    outcome: str
    echoed: str = ""


class TargetLeaving(_Event):
    """The platform's list marks a worker as leaving."""

    worker: str


class ConfigAccepted(_Event):
    """A revision was accepted, and the acceptance reported to the operator."""

    revision: int


class ConfigInForce(_Event):
    """A revision came into force on an incarnation of an instance."""

    instance: str
    incarnation: str
    revision: int


class History:
    """Collects events; shared by the parts and stand-ins of one process.

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
