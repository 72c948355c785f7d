"""Follower of a table of the store, which reads the table whole when its history is lost."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, RevisionGoneError

#: Pause between reads at the beginning of a leader's term, and the length of that period. Instances
#: that have not found the new leader yet cannot notify it of the jobs that they accept: a lookup of
#: such a job waited for up to a second. Unit: seconds.
INITIAL_PAUSE_S = 0.1
INITIAL_PERIOD_S = 1.5

#: Delay before a failed read is retried. Unit: seconds.
RETRY_DELAY_S = 0.3


class TableFollower:
    """Passes the changes of a table to a callback until closed.

    Parameters
    ----------
    context : CellContext
    log : Logger
    table : str
    read : callable
        Reads the table whole; returns a Deferred of its rows and version.
    on_rows : callable
        Called with the rows, whether they are the whole table (rows not among them are removed),
        the version up to which the table is now known, and the time of the request. Unit: seconds.
    wait_s, pause_s : float, default=0.0
        Longest wait for changes in one read, and pause between two reads. Unit: seconds.
    """

    def __init__(self, *, context, log, table, read, on_rows, wait_s=0.0, pause_s=0.0):
        self.context = context
        self.log = log
        self.table = table
        self.read = read
        self.on_rows = on_rows
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.closed = False

    def close(self):
        """Stop passing on changes."""
        self.closed = True

    @inlineCallbacks
    def run(self, version):
        """Follow the table from `version`."""
        initial_until = self.context.clock.seconds() + INITIAL_PERIOD_S
        pause = min(INITIAL_PAUSE_S, self.pause_s)
        while not self.closed:
            yield self._sleep(pause)
            is_initial = self.context.clock.seconds() < initial_until
            pause = min(INITIAL_PAUSE_S, self.pause_s) if is_initial else self.pause_s
            is_whole = version is None
            requested_at = self.context.clock.seconds()
            try:
                if is_whole:
                    rows, version = yield self.read()
                else:
                    rows, version = yield self._changes(version)
            except RevisionGoneError:
                self.log.info(
                    "table history lost, reading the whole table", table=self.table, after=version
                )
                version = None
                continue
            except PlatformError as exc:
                self.log.info("table not followed", table=self.table, error=str(exc))
                pause = RETRY_DELAY_S
                continue
            if not self.closed:
                self.on_rows(rows, is_whole, version, requested_at)

    def _changes(self, version):
        return self.context.store.follow(self.table, version, wait_s=self.wait_s)

    def _sleep(self, delay):
        return deferLater(self.context.clock, delay, lambda: None)
