"""Writes records to the table, many in one transaction."""

from collections import deque

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformUnavailableError, PreconditionError
from ..runtime import Part
from ..utils import jitter
from ._events import CommitRequest

_FIRST_BACKOFF_S = 0.05


class StorePart(Part):
    """Commits records in groups.

    Writes of a group are idempotent puts under conditions that they do not change. When an answer
    is lost the same transaction is therefore simply made again, until the table says yes or no.
    """

    prefix = "store"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._queue = deque()
        self._busy = False
        self._backoff = 0.0
        self._stopped = False
        self.n_transactions = 0
        self.n_records = 0

    def start(self):
        """Take records."""
        self.on(CommitRequest, self._ask)

    def stop(self):
        """Take no more."""
        self._stopped = True
        super().stop()

    def dump(self):
        """Return what waits and what was written."""
        return {
            "queued": len(self._queue),
            "backoff_s": self._backoff,
            "transactions": self.n_transactions,
            "records": self.n_records,
        }

    @property
    def n_queued(self):
        """Records that are not durable yet."""
        return len(self._queue)

    def _ask(self, _, ask):
        self._queue.append(ask)
        if not self._busy:
            self._busy = True
            self._run().addErrback(self.fail_with)

    @inlineCallbacks
    def _run(self):
        settings = self.context.settings.store
        while self._queue and not self._stopped:
            yield deferLater(self.context.clock, settings.commit_s, lambda: None)
            group = self._take_group(settings.records_per_commit)
            yield self._commit_group(group)
        self._busy = False

    def _take_group(self, limit):
        group = []
        n_records = 0
        versions = {}
        while self._queue and (not group or n_records + len(self._queue[0].writes) <= limit):
            if not _agrees(self._queue[0], versions):
                break
            ask = self._queue.popleft()
            versions.update((item.key, item.version) for item in ask.conditions)
            n_records += len(ask.writes)
            group.append(ask)
        return group

    @inlineCallbacks
    def _commit_group(self, group):
        error = yield self._commit(group)
        if error is not None and len(group) > 1:
            # One refused condition refuses the whole transaction; apart, only its own ask fails.
            for ask in group:
                yield self._commit_group([ask])
            return
        for ask in group:
            ask.done(error)

    @inlineCallbacks
    def _commit(self, group):
        conditions = {item.key: item for ask in group for item in ask.conditions}
        writes = {item.key: item for ask in group for item in ask.writes}
        while not self._stopped:
            try:
                yield self.context.table.commit(list(conditions.values()), list(writes.values()))
            except PreconditionError as exc:
                return exc
            except PlatformUnavailableError as exc:
                yield self._wait(exc)
                continue
            self._backoff = 0.0
            self.n_transactions += 1
            self.n_records += len(writes)
            return None
        return PlatformUnavailableError("the process is stopping")

    def _wait(self, exc):
        limit = self.context.settings.store.backoff_max_s
        if not self._backoff:
            self.log.warning("Table does not answer: {}.", exc)
        self._backoff = min(limit, max(_FIRST_BACKOFF_S, 2 * self._backoff))
        delay = jitter(self.context.random_state, self._backoff)
        return deferLater(self.context.clock, delay, lambda: None)


def _agrees(ask, versions):
    """Whether no condition of `ask` wants another version of a row than `versions` does.

    A coordinator that lost its row and took it again has records of both terms in the queue. In one
    transaction only one version of the row can be the condition: the former term's records were
    written under the present one, named the wrong worker, and a task started in a second place.
    """
    return all(versions.get(item.key, item.version) == item.version for item in ask.conditions)
