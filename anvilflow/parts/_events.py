"""Messages between the parts of one process."""

from typing import Any

from msgspec import Struct


class MembersListed(Struct, kw_only=True):
    """The membership list as last read."""

    members: list


class LiveChanged(Struct, kw_only=True):
    """The instances that are live, and the workers on the list by name."""

    live: tuple
    workers: dict


class PeerUp(Struct, kw_only=True):
    """A connection to an instance is there."""

    instance: str
    incarnation: str


class PeerDown(Struct, kw_only=True):
    """The connection to an instance is gone; what was sent over it may not have arrived."""

    instance: str
    heard_at: float


class PeerLeaving(Struct, kw_only=True):
    """An instance says that it is leaving."""

    instance: str


class WorkersLeaving(Struct, kw_only=True):
    """Another instance has read on the list that these workers leave."""

    workers: list


class DigestReady(Struct, kw_only=True):
    """What the owner part tells other instances of its load."""

    digest: Any


class CatalogChanged(Struct, kw_only=True):
    """The configuration in force moved on; `keys` is None after a whole listing."""

    revision: int
    keys: list | None


class RevisionHint(Struct, kw_only=True):
    """Another instance has a newer revision in force."""

    revision: int


class CommitRequest(Struct, kw_only=True):
    """Write records, on conditions; `done` is called with None or the error."""

    conditions: list
    writes: list
    done: Any


class LeavingChanged(Struct, kw_only=True):
    """This instance is leaving."""
