"""Messages between the parts of one instance."""

from typing import Any

from msgspec import Struct


class MembersListed(Struct, kw_only=True):
    """The membership list was read; `members` holds all of its entries."""

    members: list


class LiveChanged(Struct, kw_only=True):
    """The set of live instances or the listed workers (by name) changed."""

    live: tuple
    workers: dict


class PeerUp(Struct, kw_only=True):
    """A connection to another instance was established."""

    instance: str
    incarnation: str


class PeerDown(Struct, kw_only=True):
    """The connection to an instance was lost; messages sent over it may not have arrived.

    `heard_at` is the time at which the last frame was received from the instance. Unit: seconds.
    """

    instance: str
    heard_at: float


class PeerLeaving(Struct, kw_only=True):
    """Another instance reported that it is leaving."""

    instance: str


class WorkersLeaving(Struct, kw_only=True):
    """Another instance reported that the membership list shows these workers as leaving."""

    workers: list


class DigestReady(Struct, kw_only=True):
    """The owner part computed a new digest of its load, to be sent to the other instances."""

    digest: Any


class CatalogChanged(Struct, kw_only=True):
    """A new revision of the configuration is in force.

    `keys` are those of the changed resources, or None when all resources were read anew.
    """

    revision: int
    keys: list | None


class RevisionHint(Struct, kw_only=True):
    """Another instance has a newer revision in force."""

    revision: int


class CommitRequest(Struct, kw_only=True):
    """Request to write records in one transaction under conditions.

    `done` is called with None when the records are durable, else with the error.
    """

    conditions: list
    writes: list
    done: Any


class LeavingChanged(Struct, kw_only=True):
    """This instance is leaving."""
