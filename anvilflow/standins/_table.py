"""Stand-in for the platform's transactional table service."""

from sortedcontainers import SortedDict
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import Row
from ..exceptions import PlatformUnavailableError, PreconditionError
from ..resources import resource_key
from ..utils import to_builtins
from ._faults import deliver_on_clock
from ._server import make_app

#: Time that a client in memory waits for a response. Unit: seconds.
_TIMEOUT_S = 2.0


class TableState:
    """Rows with versions; a version is the number of the transaction that wrote the row."""

    def __init__(self):
        self.rows = SortedDict()
        self.version = 0
        self.n_commits = 0
        self.n_written = 0
        self.n_reads = 0

    def read(self, keys):
        """Return ``[key, version, value]`` for each key."""
        self.n_reads += 1
        return [[key, *self.rows.get(key, (0, None))] for key in keys]

    def scan(self, prefix, after, limit):
        """Return the rows under `prefix` that come after `after`."""
        self.n_reads += 1
        found = []
        for key in self.rows.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key == after:
                continue
            found.append([key, *self.rows[key]])
            if len(found) >= limit:
                break
        return found

    def declare(self, resources):
        """Store resources as if they had been accepted one after the other."""
        writes = []
        for revision, resource in enumerate(resources, start=1):
            key = resource_key(resource)
            value = to_builtins(resource)
            writes.append((f"config/item/{key}", {"revision": revision, "value": value}))
            writes.append((f"config/log/{revision:012d}", {"key": key, "value": value}))
        writes.append(("config/revision", len(resources)))
        self.commit([], writes)

    def commit(self, conditions, writes):
        """Write all rows if all conditions hold; return the transaction's number."""
        for key, version in conditions:
            current = self.rows.get(key, (0, None))[0]
            if current != version:
                raise PreconditionError("a row has changed", details={"key": key})
        self.version += 1
        self.n_commits += 1
        self.n_written += len(writes)
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.version, value)
        return self.version


class _RateLimiter:
    """Delays calls that exceed a rate, as the service does."""

    def __init__(self, *, clock, per_second):
        self.clock = clock
        self.interval_s = 1.0 / per_second
        self.next_free = 0.0

    def wait(self):
        """Return the delay of the next call."""
        now = self.clock.seconds()
        self.next_free = max(now, self.next_free + self.interval_s)
        return max(0.0, self.next_free - now)


class TableServer:
    """Serves a :class:`TableState` over HTTP under the service's rate limits.

    Parameters
    ----------
    clock : IReactorTime
    state : TableState
    faults : Faults
    commits_per_s, reads_per_s : float
        Rates above which calls are delayed.
    """

    def __init__(self, *, clock, state, faults, commits_per_s=400.0, reads_per_s=2000.0):
        self.clock = clock
        self.state = state
        self.faults = faults
        self._commits = _RateLimiter(clock=clock, per_second=commits_per_s)
        self._reads = _RateLimiter(clock=clock, per_second=reads_per_s)
        self.app = make_app(
            {"read": self._read, "scan": self._scan, "commit": self._commit}, faults
        )

    @inlineCallbacks
    def _limited(self, rate):
        delay = rate.wait()
        if delay > 0.001:
            yield deferLater(self.clock, delay, lambda: None)

    @inlineCallbacks
    def _read(self, value):
        yield self._limited(self._reads)
        return {"rows": self.state.read(value["keys"])}

    @inlineCallbacks
    def _scan(self, value):
        yield self._limited(self._reads)
        return {"rows": self.state.scan(value["prefix"], value["after"], value["limit"])}

    @inlineCallbacks
    def _commit(self, value):
        yield self._limited(self._commits)
        return {"version": self.state.commit(value["conditions"], value["writes"])}


class MemoryTable:
    """The interface of :class:`TableClient` on a :class:`TableState` in the same process."""

    def __init__(self, *, state, faults, clock):
        self.state = state
        self.faults = faults
        self.clock = clock
        self.n_reads = 0
        self.n_commits = 0
        self.n_written = 0

    @inlineCallbacks
    def read(self, keys):
        """Return the rows at `keys`."""
        self.n_reads += 1
        rows = yield self._call(self.state.read, list(keys), changes=False)
        return [Row(key=key, version=version, value=value) for key, version, value in rows]

    @inlineCallbacks
    def scan(self, prefix, *, after="", limit=500):
        """Return a page of the rows under `prefix`."""
        self.n_reads += 1
        rows = yield self.faults.around(self.state.scan, prefix, after, limit, changes=False)
        return [Row(key=key, version=version, value=value) for key, version, value in rows]

    @inlineCallbacks
    def scan_all(self, prefix):
        """Return all rows under `prefix`."""
        rows = yield self.scan(prefix, limit=10**9)
        return rows

    @inlineCallbacks
    def commit(self, conditions, writes):
        """Write all rows if all conditions hold, else none."""
        self.n_commits += 1
        self.n_written += len(writes)
        version = yield self._call(
            self.state.commit,
            [(item.key, item.version) for item in conditions],
            [(item.key, to_builtins(item.value)) for item in writes],
        )
        return version

    def _call(self, act, *args, changes=True):
        return deliver_on_clock(
            self.clock,
            self.faults.around(act, *args, changes=changes),
            timeout=_TIMEOUT_S,
            error=PlatformUnavailableError,
        )
