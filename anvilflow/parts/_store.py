"""Group commit of records to the table."""

from collections import deque

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformUnavailableError, PreconditionError
from ..runtime import Part
from ..utils import jitter
from ._events import CommitRequest

_FIRST_BACKOFF_S = 0.05


class StorePart(Part):
    """Commits records to the table, many in one transaction.

    The writes of a group are idempotent puts, and they do not change the rows that their conditions
    name. When the answer to a transaction is lost, the same transaction is therefore repeated until
    the table accepts or refuses it.
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
        """Accept commit requests."""
        self.on(CommitRequest, self._enqueue)

    def stop(self):
        """Stop committing; queued records are not written."""
        self._stopped = True
        super().stop()

    def dump(self):
        """Return the length of the queue, the back-off and the counts of committed work."""
        return {
            "queued": len(self._queue),
            "backoff_s": self._backoff,
            "transactions": self.n_transactions,
            "records": self.n_records,
        }

    @property
    def n_queued(self):
        """Number of queued commit requests, without those of the transaction in progress."""
        return len(self._queue)

    def _enqueue(self, _, request):
        self._queue.append(request)
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
            if not _conditions_agree(self._queue[0], versions):
                break
            request = self._queue.popleft()
            versions.update((item.key, item.version) for item in request.conditions)
            n_records += len(request.writes)
            group.append(request)
        return group

    @inlineCallbacks
    def _commit_group(self, group):
        error = yield self._commit(group)
        if error is not None and len(group) > 1:
            # One failed condition refuses the whole transaction. Committed one by one, only the
            # request with that condition fails.
            for request in group:
                yield self._commit_group([request])
            return
        for request in group:
            request.done(error)

    @inlineCallbacks
    def _commit(self, group):
        conditions = {item.key: item for request in group for item in request.conditions}
        writes = {item.key: item for request in group for item in request.writes}
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
            self.log.warning("Table is unavailable; the transaction is repeated: {}.", exc)
        self._backoff = min(limit, max(_FIRST_BACKOFF_S, 2 * self._backoff))
        delay = jitter(self.context.random_state, self._backoff)
        return deferLater(self.context.clock, delay, lambda: None)


def _conditions_agree(request, versions):
    """Whether no condition of `request` requires another version of a row than `versions` does.

    A coordinator that lost its row and claimed it again has records of both terms in the queue. A
    transaction can require only one version of the row. In one transaction, the records of the
    former term were written under the condition of the current term. They named the wrong worker,
    and a task was started in a second place.
    """
    return all(versions.get(item.key, item.version) == item.version for item in request.conditions)
