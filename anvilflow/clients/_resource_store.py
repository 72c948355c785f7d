"""Declared resources in the table, under one revision that only grows.

Three kinds of rows: ``config/revision`` holds the newest revision, ``config/item/KEY`` each
resource with the revision of its last write, ``config/log/N`` the change made at revision N. One
transaction writes all three, on the condition that neither the revision nor the resource has
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

#: Changes kept in the log; who is further behind reads everything anew.
LOG_KEPT = 5000

_REVISION = "config/revision"
_ITEM = "config/item/"
_LOG = "config/log/"

#: Attempts of a write that loses against other writers or whose answer is lost.
_MAX_ATTEMPTS = 12

#: Attempts to read a listing during which nothing changed.
_MAX_LISTINGS = 8


class Written(Struct, kw_only=True):
    """What a write did."""

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
        """Return the newest revision."""
        [row] = yield self.table.read([_REVISION])
        return row.value or 0

    @inlineCallbacks
    def changes_after(self, revision, *, limit=200):
        """Return the changes that follow `revision`, in order.

        Raises
        ------
        RevisionGoneError
            AF203, when the log no longer reaches back that far.
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
                f"changes after revision {revision} are no longer kept; list again",
                details={"oldest": changes[0].revision},
            )
        return changes

    @inlineCallbacks
    def listing(self):
        """Return the revision and all resources as ``{key: (revision, value)}``."""
        for _ in range(_MAX_LISTINGS):
            before = yield self.revision()
            rows = yield self.table.scan_all(_ITEM)
            after = yield self.revision()
            if before == after:
                items = {
                    row.key[len(_ITEM) :]: (row.value["revision"], row.value["value"])
                    for row in rows
                }
                return before, items
        raise PlatformUnavailableError("the configuration changes faster than it can be listed")

    @inlineCallbacks
    def write(self, key, resource, *, expected=None, check=None):
        """Create, replace or delete (`resource` None) the resource at `key`.

        Parameters
        ----------
        key : str
        resource : resource or None
        expected : int, default=None
            Revision that the write is based on, 0 for "must not exist"; None: whatever is there.
        check : callable, default=None
            Called with the stored resource or None; may return a resource to write instead.

        Returns
        -------
        written : Written
            A write of what is already in force changes nothing and says so: a write whose answer
            was lost can therefore be repeated.

        Raises
        ------
        ConflictError
            AF202 with the current revision, when the resource is not at `expected`.
        PlatformUnavailableError
            AF402: the write may or may not have taken effect; repeat it.
        """
        last = None
        for _ in range(_MAX_ATTEMPTS):
            try:
                written = yield self._write_once(key, resource, expected, check)
                return written
            except PreconditionError as exc:
                last = exc
            except PlatformUnavailableError as exc:
                if last is not None and isinstance(last, PlatformUnavailableError):
                    raise
                last = exc
        raise PlatformUnavailableError(f"{key} was not written in {_MAX_ATTEMPTS} attempts: {last}")

    @inlineCallbacks
    def _write_once(self, key, resource, expected, check):
        head, item = yield self.table.read([_REVISION, _ITEM + key])
        stored = item.value["value"] if item.value else None
        current = item.value["revision"] if item.value else 0
        if check is not None:
            resource = check(parse_resource(stored) if stored else None)
        value = to_builtins(resource) if resource is not None else None
        if value == stored:
            if value is None:
                raise NotFoundError(f"{key} does not exist")
            return Written(revision=current, changed=False)
        if expected is not None and expected != current:
            raise ConflictError(
                f"{key} is at revision {current}, not {expected}; read it again",
                details={"revision": current},
            )
        revision = (head.value or 0) + 1
        writes = [
            Write(key=_REVISION, value=revision),
            Write(
                key=_ITEM + key,
                value={"revision": revision, "value": value} if value is not None else None,
            ),
            Write(key=_log_key(revision), value={"key": key, "value": value}),
        ]
        if revision > LOG_KEPT:
            writes.append(Write(key=_log_key(revision - LOG_KEPT), value=None))
        conditions = [
            Condition(key=_REVISION, version=head.version),
            Condition(key=_ITEM + key, version=item.version),
        ]
        yield self.table.commit(conditions, writes)
        return Written(revision=revision, changed=True)


def _log_key(revision):
    return f"{_LOG}{revision:012d}"
