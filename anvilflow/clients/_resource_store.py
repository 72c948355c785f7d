"""Declared resources stored in the table under one increasing revision.

There are three kinds of rows: ``config/revision`` holds the newest revision, ``config/item/KEY`` a
resource with the revision of its last write, and ``config/log/N`` the change made at revision N.
One transaction writes all three, on the condition that neither the revision nor the resource has
changed since they were read.
"""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import (
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    PreconditionError,
    RevisionGoneError,
)
from ..resources import Change, parse_resource
from ..utils import to_builtins
from ._table import Condition, Write

#: Changes kept in the log; a reader that is further behind lists all resources again.
MAX_LOG_CHANGES = 5000

_REVISION = "config/revision"
_ITEM = "config/item/"
_LOG = "config/log/"

#: Attempts of a write that conflicts with other writers or whose response is lost.
_MAX_WRITE_ATTEMPTS = 12

#: Attempts to list all resources without a change in between.
_MAX_LIST_ATTEMPTS = 8


class WriteResult(Struct, kw_only=True):
    """Result of a write: the revision of the resource, and whether the write changed it."""

    revision: int
    changed: bool


class ResourceStore:
    """Reads and writes declared resources.

    Parameters
    ----------
    table : TableClient
    """

    def __init__(self, *, table):
        self.table = table

    @inlineCallbacks
    def revision(self):
        """Return the newest revision, 0 if nothing has been written."""
        [row] = yield self.table.read([_REVISION])
        return row.value or 0

    @inlineCallbacks
    def changes_after(self, revision, *, limit=200):
        """Return up to `limit` changes that follow `revision`, in order.

        Raises
        ------
        RevisionGoneError
            AF203, if the log no longer holds the changes after `revision`.
        """
        rows = yield self.table.scan(_LOG, after=_log_key(revision), limit=limit)
        changes = [
            Change(
                revision=int(row.key[len(_LOG) :]), key=row.value["key"], value=row.value["value"]
            )
            for row in rows
        ]
        if changes and changes[0].revision != revision + 1:
            raise RevisionGoneError(
                f"changes after revision {revision} are no longer kept; list all resources again",
                details={"oldest": changes[0].revision},
            )
        return changes

    @inlineCallbacks
    def listing(self):
        """Return the newest revision and all resources as ``{key: (revision, value)}``."""
        for _ in range(_MAX_LIST_ATTEMPTS):
            before = yield self.revision()
            rows = yield self.table.scan_all(_ITEM)
            after = yield self.revision()
            if before == after:
                items = {
                    row.key[len(_ITEM) :]: (row.value["revision"], row.value["value"])
                    for row in rows
                }
                return before, items
        raise PlatformUnavailableError("the configuration changed during every attempt to list it")

    @inlineCallbacks
    def write(self, key, resource, *, expected=None, check=None):
        """Create or replace the resource at `key`, or delete it if `resource` is None.

        Parameters
        ----------
        key : str
        resource : resource or None
        expected : int, default=None
            Revision that the stored resource must have, 0 if it must not exist, None for any.
        check : callable, default=None
            Called with the stored resource or None; returns the resource to write; None deletes it.

        Returns
        -------
        written : Written
            A write of the stored value changes nothing and returns `changed` False. A write whose
            response was lost can therefore be repeated.

        Raises
        ------
        ConflictError
            AF202 with the current revision, if the resource is not at revision `expected`.
        PlatformUnavailableError
            AF402: the write may or may not have taken effect and can be repeated.
        """
        last_error = None
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                written = yield self._write_once(key, resource, expected, check)
                return written
            except PreconditionError as exc:
                last_error = exc
            except PlatformUnavailableError as exc:
                if last_error is not None and isinstance(last_error, PlatformUnavailableError):
                    raise
                last_error = exc
        raise PlatformUnavailableError(
            f"{key} was not written in {_MAX_WRITE_ATTEMPTS} attempts: {last_error}"
        )

    @inlineCallbacks
    def _write_once(self, key, resource, expected, check):
        revision_row, item_row = yield self.table.read([_REVISION, _ITEM + key])
        stored = item_row.value["value"] if item_row.value else None
        current = item_row.value["revision"] if item_row.value else 0
        if check is not None:
            resource = check(parse_resource(stored) if stored else None)
        value = to_builtins(resource) if resource is not None else None
        if value == stored:
            if value is None:
                raise NotFoundError(f"{key} does not exist")
            return WriteResult(revision=current, changed=False)
        if expected is not None and expected != current:
            raise ConflictError(
                f"{key} is at revision {current}, not {expected}; read it again",
                details={"revision": current},
            )
        revision = (revision_row.value or 0) + 1
        writes = [
            Write(key=_REVISION, value=revision),
            Write(
                key=_ITEM + key,
                value={"revision": revision, "value": value} if value is not None else None,
            ),
            Write(key=_log_key(revision), value={"key": key, "value": value}),
        ]
        if revision > MAX_LOG_CHANGES:
            writes.append(Write(key=_log_key(revision - MAX_LOG_CHANGES), value=None))
        conditions = [
            Condition(key=_REVISION, version=revision_row.version),
            Condition(key=_ITEM + key, version=item_row.version),
        ]
        yield self.table.commit(conditions, writes)
        return WriteResult(revision=revision, changed=True)


def _log_key(revision):
    return f"{_LOG}{revision:012d}"
