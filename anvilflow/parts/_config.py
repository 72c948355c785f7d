"""Part that keeps the catalog up to date with the configuration stored in the table."""

from collections import deque

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, RevisionGoneError
from ..history import ConfigInForce
from ..runtime import Part
from ._events import CatalogChanged, RevisionHint

#: Number of changes kept in memory for watches that resume at an earlier revision.
_CHANGES_KEPT = 5000


class ConfigPart(Part):
    """Applies changes of the configuration to the catalog, in order of their revisions.

    The catalog never goes back to an earlier revision. The table is polled for new revisions. A
    heartbeat of a peer that has a newer revision triggers the next poll at once, so that a change
    is in force on all instances soon after the first one has read it.
    """

    prefix = "config"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._changes = deque(maxlen=_CHANGES_KEPT)
        self._waiting = []
        self._ticker = None
        self._has_listing = False

    def start(self):
        """Start polling the table."""
        self.context.changes = self
        self.on(RevisionHint, lambda *_: self._ticker.trigger())
        self._ticker = self.every(self.context.settings.timing.config_poll_s, self._read_changes)

    def dump(self):
        """Return the revision in force and the numbers of resources and of kept changes."""
        return {
            "revision": self.context.catalog.revision,
            "resources": len(self.context.catalog),
            "changes_kept": len(self._changes),
        }

    def trigger(self):
        """Read the table now."""
        self._ticker.trigger()

    def changes_after(self, revision, limit):
        """Return up to `limit` changes after `revision`; raise AF203 when they are not kept."""
        if revision >= self.context.catalog.revision:
            return []
        if not self._changes or self._changes[0].revision > revision + 1:
            oldest = (
                self._changes[0].revision - 1 if self._changes else self.context.catalog.revision
            )
            raise RevisionGoneError(
                f"changes after revision {revision} are not kept here; list again and watch from "
                "the listing's revision",
                details={"oldest": oldest},
            )
        skip = revision + 1 - self._changes[0].revision
        return [self._changes[at] for at in range(skip, min(len(self._changes), skip + limit))]

    @inlineCallbacks
    def _read_changes(self):
        try:
            if not self._has_listing:
                yield self._load_listing()
            more = True
            while more:
                changes = yield self.context.resources.changes_after(self.context.catalog.revision)
                more = bool(changes) and self._apply(changes)
        except RevisionGoneError:
            self._has_listing = False
            self._ticker.trigger()
        except PlatformError as exc:
            self.log.debug("Configuration not read: {}.", exc)

    @inlineCallbacks
    def _load_listing(self):
        revision, items = yield self.context.resources.listing()
        if self.context.catalog.load(revision, items):
            self._changes.clear()
            self._has_listing = True
            self.context.ready = True
            self._announce_revision(None)
            self.log.info("Revision {} in force, {} resources.", revision, len(items))

    def _apply(self, changes):
        applied = [change for change in changes if self.context.catalog.apply(change)]
        self._changes.extend(applied)
        if applied:
            self._announce_revision([change.key for change in applied])
        return bool(applied)

    def _announce_revision(self, keys):
        revision = self.context.catalog.revision
        if self.context.history is not None:
            self.context.history.add(
                ConfigInForce,
                instance=self.context.name,
                incarnation=self.context.incarnation,
                revision=revision,
            )
        self.post(CatalogChanged(revision=revision, keys=keys))
