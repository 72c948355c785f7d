"""Follows a table of the store, and reads it anew when its history is gone."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, RevisionGoneError

#: Pause between readings after the beginning of a leader, and for how long. Instances that have not
#: found it yet cannot tell it of the jobs that they accept: a lookup waited for up to a second.
#: Unit: seconds.
QUICK_PAUSE_S = 0.1
QUICK_S = 1.5

#: Wait after a reading that failed. Unit: seconds.
AGAIN_S = 0.3


class TableFollower:
    """Hands the changes of a table on until it is closed.

    Parameters
    ----------
    context : CellContext
    log : Logger
    table : str
    read : callable
        Reads the table whole; returns a Deferred of its rows and version.
    take : callable
        Called with rows, whether they are the whole table (what is not among them is gone), the
        version up to which the table is known now, and when it was asked for. Unit: seconds.
    wait_s, pause_s : float, default=0.0
        Longest wait of one reading, and pause between two. Unit: seconds.
    """

    def __init__(self, *, context, log, table, read, take, wait_s=0.0, pause_s=0.0):
        self.context = context
        self.log = log
        self.table = table
        self.read = read
        self.take = take
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.closed = False

    def close(self):
        """Hand nothing on any more."""
        self.closed = True

    @inlineCallbacks
    def run(self, version):
        """Follow the table from `version`."""
        quick_until = self.context.clock.seconds() + QUICK_S
        pause = min(QUICK_PAUSE_S, self.pause_s)
        while not self.closed:
            yield self._sleep(pause)
            is_quick = self.context.clock.seconds() < quick_until
            pause = min(QUICK_PAUSE_S, self.pause_s) if is_quick else self.pause_s
            is_whole = version is None
            requested_at = self.context.clock.seconds()
            try:
                if is_whole:
                    rows, version = yield self.read()
                else:
                    rows, version = yield self._changes(version)
            except RevisionGoneError:
                self.log.info("history gone, reading anew", table=self.table, after=version)
                version = None
                continue
            except PlatformError as exc:
                self.log.info("table not followed", table=self.table, error=str(exc))
                pause = AGAIN_S
                continue
            if not self.closed:
                self.take(rows, is_whole, version, requested_at)

    def _changes(self, version):
        return self.context.store.follow(self.table, version, wait_s=self.wait_s)

    def _sleep(self, delay):
        return deferLater(self.context.clock, delay, lambda: None)
