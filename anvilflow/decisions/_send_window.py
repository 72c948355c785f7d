"""How many calls may be under way at once, by how long their answers take."""

#: Calls under way at the beginning, at the least and at the most.
FIRST_LIMIT = 16
MIN_LIMIT = 8
MAX_LIMIT = 512

#: Time that answers may wait behind others, beyond the shortest round trip, before the window
#: shrinks: longer than a processor's quota stands still, shorter than what callers notice. Unit:
#: seconds.
MAX_QUEUED_S = 0.1

#: Part of the window that is left when answers come late.
KEPT_SHARE = 0.7

#: Part of the window that has to be in use for it to grow: answers to a few calls do not show what
#: the link carries.
USED_SHARE = 0.5

#: Time for which the shortest round trip is remembered, and the longest that is taken for one over
#: an empty link: a queue that stands for longer must not become the measure. Unit: seconds.
SHORTEST_KEPT_S = 10.0
LONGEST_EMPTY_S = 0.1


class SendWindow:
    """A window that grows while answers come soon, and shrinks when they queue.

    What is sent beyond what a link carries waits on it, where it can be neither ordered nor taken
    back, and makes everything else on it late. Additive increase and multiplicative decrease by
    delay, as in TCP Vegas.

    Parameters
    ----------
    now : float
        Unit: seconds.

    Examples
    --------
    >>> window = SendWindow(now=0.0)
    >>> window.n_under_way = 12
    >>> window.answered(0.005, mean_s=0.005, now=1.0)
    >>> window.limit
    17
    >>> window.answered(0.4, mean_s=0.2, now=2.0)
    >>> window.limit
    11
    """

    __slots__ = ("_growing", "_limit", "_shortest", "_shrunk_at", "n_under_way")

    def __init__(self, *, now):
        self.n_under_way = 0
        self._limit = float(FIRST_LIMIT)
        self._growing = True
        self._shrunk_at = now
        self._shortest = _Shortest()

    @property
    def limit(self):
        """Calls that may be under way."""
        return int(self._limit)

    @property
    def is_open(self):
        """Whether another call may be sent."""
        return self.n_under_way < self.limit

    def answered(self, round_trip_s, *, mean_s, now):
        """Note an answer; `mean_s` is the smoothed round trip of all calls. Unit: seconds."""
        shortest_s = self._shortest.note(round_trip_s, now)
        queued_s = mean_s - shortest_s
        self._growing = self._growing and queued_s <= MAX_QUEUED_S / 2
        if queued_s > MAX_QUEUED_S:
            self.shrink(mean_s, now)
        elif self.n_under_way >= USED_SHARE * self._limit:
            growth = 1 if self._growing else 1 / self._limit
            self._limit = min(MAX_LIMIT, self._limit + growth)

    def shrink(self, pause_s, now):
        """Allow fewer calls; what was sent before the last time says nothing of that one."""
        if now < self._shrunk_at + pause_s:
            return
        self._shrunk_at = now
        self._growing = False
        self._limit = max(MIN_LIMIT, self._limit * KEPT_SHARE)


class _Shortest:
    """Shortest round trip of the last seconds, kept for two spans in turn."""

    __slots__ = ("_before", "_now", "_since")

    def __init__(self):
        self._before = self._now = float("inf")
        self._since = float("-inf")

    def note(self, seconds, now):
        """Note a round trip; return the shortest one."""
        if now - self._since > SHORTEST_KEPT_S:
            self._before, self._now, self._since = self._now, float("inf"), now
        self._now = min(self._now, seconds)
        return min(self._before, self._now, LONGEST_EMPTY_S)
