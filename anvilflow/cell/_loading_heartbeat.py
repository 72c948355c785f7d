"""Shows that a leader lives while it reads its tables."""

from msgspec import Struct

from ..exceptions import PlatformError, PreconditionError
from ..utils import Ticker, decode
from ._recorder import HEARTBEAT_S
from ._tables import LEADER_KEY, LEADER_TABLE, LOADING_KEY, LeaderRow, condition, write

#: Time after which a leader that still loads offers its place. 1.7 MB, the rows of all jobs of 140
#: s at 19 jobs a second, take 2.7 s over 5 Mbit/s. Unit: seconds.
FIRST_LOAD_S = 5.0

#: Each claim in a row after which no leader has begun doubles that time, at the most so often:
#: where all links are slower than thought, one of them has the time that it needs.
MAX_DOUBLINGS = 5


class LoadingRow(Struct, kw_only=True):
    """Written again and again by a leader that loads; only that its version grows counts."""

    incarnation: str


class LoadingHeartbeat:
    """Writes a row beside the leader's until closed.

    Over a slow link a leader loads for seconds. An instance that did not reach it saw a row that
    stood still, and claimed; if the two did not reach each other they took turns, each deposed
    before it had started a task.

    Parameters
    ----------
    context : CellContext
    claimed : Claimed
    on_deposed : callable
    on_error : callable

    Notes
    -----
    Each write is made on the condition that the leader's row is as the claim left it, so that
    another claim ends it. The leader's row itself stays: a late write to it could be taken for a
    record. No write waits for the answer to the one before, which may come late over the link that
    is full.
    """

    def __init__(self, *, context, claimed, on_deposed, on_error):
        self.context = context
        self.claimed = claimed
        self.on_deposed = on_deposed
        self.on_error = on_error
        # Where the store is slow a write takes as long as a reading: more of them would queue in
        # the part, and others look less often, too.
        period = max(HEARTBEAT_S, context.store_health.answer_s)
        self._ticker = Ticker(
            clock=context.clock, period=period, call=self._write, on_error=on_error
        )
        self._closed = False
        n_doublings = min(MAX_DOUBLINGS, claimed.former.n_loads if claimed.former else 0)
        self._late_at = context.clock.seconds() + FIRST_LOAD_S * 2**n_doublings

    @property
    def is_late(self):
        """Whether the leader has loaded for so long that another one should try.

        Answers that trickle over a squeezed link neither fail nor end, and nobody else may begin.
        """
        return self.context.clock.seconds() >= self._late_at

    def start(self):
        """Write each period."""
        self._ticker.start(delay=self._ticker.period)

    def close(self):
        """Write no more."""
        self._closed = True
        self._ticker.stop()

    def _write(self):
        if self.is_late:
            return
        row = LoadingRow(incarnation=self.context.incarnation)
        done = self.context.store.commit(
            [condition(LEADER_TABLE, LEADER_KEY, self.claimed.row_version)],
            [write(LEADER_TABLE, LOADING_KEY, row)],
        )
        done.addErrback(self._not_written)
        done.addErrback(self.on_error)

    def _not_written(self, failure):
        failure.trap(PlatformError)
        if self._closed or not failure.check(PreconditionError):
            return
        rows = [row for row in failure.value.details["rows"] if row.key == LEADER_KEY]
        holder = decode(rows[0].value, LeaderRow, error=PlatformError) if rows else None
        if holder is None or holder.incarnation != self.context.incarnation:
            self.close()
            self.on_deposed()
