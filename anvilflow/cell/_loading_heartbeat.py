"""Heartbeat rows written by a leader while it reads its tables."""

from msgspec import Struct

from ..exceptions import PlatformError, PreconditionError
from ..utils import Ticker
from ._recorder import HEARTBEAT_S
from ._tables import LEADER_KEY, LEADER_TABLE, LOADING_KEY, condition, write

#: Time after which a leader that still loads yields to another instance. 1.7 MB, the rows of all
#: jobs of 140 s at 19 jobs a second, take 2.7 s over 5 Mbit/s. Unit: seconds.
MIN_LOAD_TIMEOUT_S = 5.0

#: Maximum number of doublings of that time: one for each consecutive claim after which no leader
#: has begun to schedule. Where all links are slower than configured, one of the leaders then has
#: enough time to load.
MAX_DOUBLINGS = 5


class LoadingRow(Struct, kw_only=True):
    """Row written periodically by a leader that loads; only the increase of its version matters."""

    incarnation: str


class LoadingHeartbeat:
    """Writes a row in addition to the leader's row, until closed.

    Over a slow link a leader loads for seconds. Without this heartbeat an instance that could not
    reach the leader saw an unchanged row, and claimed. Two instances that could not reach each
    other then deposed each other in turn, each before it had started a task.

    Parameters
    ----------
    context : CellContext
    claimed : Claimed
    on_deposed : callable
    on_error : callable

    Notes
    -----
    Each write is conditional on the leader's row being as the claim left it, so that it fails after
    another claim, also of this process. The leader's row itself is not written, as the first record
    is conditional on it. Writes do not wait for the answer to the previous one, which may be late
    over a full link.

    `confirmed_at` is the time at which the last call was sent that confirmed that this is the
    leader: the claim, or one of these writes. Unit: seconds.
    """

    def __init__(self, *, context, claimed, on_deposed, on_error):
        self.context = context
        self.claimed = claimed
        self.confirmed_at = claimed.confirmed_at
        self.on_deposed = on_deposed
        self.on_error = on_error
        # Where the store is slow a write takes as long as a read: more frequent writes would queue
        # in the part of the store, and other instances read the rows less often, too.
        period = max(HEARTBEAT_S, context.store_health.answer_s)
        self._ticker = Ticker(
            clock=context.clock, period=period, call=self._write, on_error=on_error
        )
        self._closed = False
        n_doublings = min(MAX_DOUBLINGS, claimed.former.n_loads if claimed.former else 0)
        self._timeout_at = context.clock.seconds() + MIN_LOAD_TIMEOUT_S * 2**n_doublings

    @property
    def is_late(self):
        """Whether the leader has been loading for so long that another instance should take over.

        Over a congested link, answers can arrive so slowly that the reads neither fail nor
        complete, and meanwhile no other instance may lead.
        """
        return self.context.clock.seconds() >= self._timeout_at

    def start(self):
        """Start writing once per period."""
        self._ticker.start(delay=self._ticker.period)

    def close(self):
        """Stop writing."""
        self._closed = True
        self._ticker.stop()

    def _write(self):
        if self.is_late:
            return
        row = LoadingRow(incarnation=self.context.incarnation)
        sent_at = self.context.clock.seconds()
        done = self.context.store.commit(
            [condition(LEADER_TABLE, LEADER_KEY, self.claimed.row_version)],
            [write(LEADER_TABLE, LOADING_KEY, row)],
        )
        done.addCallbacks(self._written, self._write_failed, callbackArgs=(sent_at,))
        done.addErrback(self.on_error)

    def _written(self, _, sent_at):
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def _write_failed(self, failure):
        failure.trap(PlatformError)
        if not self._closed and failure.check(PreconditionError):
            self.close()
            self.on_deposed()
