"""Congestion window: limits the calls in flight by their round-trip times."""

#: Initial, smallest and largest limit on calls in flight.
FIRST_LIMIT = 16
MIN_LIMIT = 8
MAX_LIMIT = 512

#: Queueing delay, the time above the shortest round trip, from which the window shrinks. It is
#: longer than a pause of a process that has used up its processor quota, and shorter than a delay
#: that callers notice. Unit: seconds.
MAX_QUEUED_S = 0.1

#: Factor by which the window shrinks when answers are late.
DECREASE_FACTOR = 0.7

#: Share of the window that has to be in use for the window to grow: answers to a few calls do not
#: show how many calls the link can carry.
MIN_USED_SHARE = 0.5

#: Span over which the shortest round trip is taken, and the largest value that counts as a round
#: trip over an idle link. With this bound, a queue that lasts longer than the span is not mistaken
#: for the delay of an idle link. Unit: seconds.
SHORTEST_SPAN_S = 10.0
MAX_SHORTEST_S = 0.1


class SendWindow:
    """Limit on calls in flight that grows while answers are quick and shrinks when calls queue.

    Calls beyond the capacity of a link queue on the link. There they can be neither reordered nor
    withdrawn, and they delay all other traffic. The limit follows the delay by additive increase
    and multiplicative decrease, as in TCP Vegas.

    Parameters
    ----------
    now : float
        Unit: seconds.

    Examples
    --------
    >>> window = SendWindow(now=0.0)
    >>> window.n_in_flight = 12
    >>> window.answered(0.005, mean_s=0.005, now=1.0)
    >>> window.limit
    17
    >>> window.answered(0.4, mean_s=0.2, now=2.0)
    >>> window.limit
    11
    """

    __slots__ = ("_in_slow_start", "_limit", "_shortest", "_shrunk_at", "n_in_flight")

    def __init__(self, *, now):
        self.n_in_flight = 0
        self._limit = float(FIRST_LIMIT)
        self._in_slow_start = True
        self._shrunk_at = now
        self._shortest = _ShortestRoundTrip()

    @property
    def limit(self):
        """Number of calls that may be in flight."""
        return int(self._limit)

    @property
    def is_open(self):
        """Whether another call may be sent."""
        return self.n_in_flight < self.limit

    def answered(self, round_trip_s, *, mean_s, now):
        """Adapt the limit to an answer; `mean_s` is the smoothed round-trip time of all calls."""
        shortest_s = self._shortest.note(round_trip_s, now)
        queued_s = mean_s - shortest_s
        self._in_slow_start = self._in_slow_start and queued_s <= MAX_QUEUED_S / 2
        if queued_s > MAX_QUEUED_S:
            self.shrink(mean_s, now)
        elif self.n_in_flight >= MIN_USED_SHARE * self._limit:
            growth = 1 if self._in_slow_start else 1 / self._limit
            self._limit = min(MAX_LIMIT, self._limit + growth)

    def shrink(self, pause_s, now):
        """Lower the limit, at most once in `pause_s` seconds.

        Answers to calls that were sent before the last decrease do not show its effect.
        """
        if now < self._shrunk_at + pause_s:
            return
        self._shrunk_at = now
        self._in_slow_start = False
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)


class _ShortestRoundTrip:
    """Shortest round trip of the current span and the one before it."""

    __slots__ = ("_current_s", "_previous_s", "_since")

    def __init__(self):
        self._previous_s = self._current_s = float("inf")
        self._since = float("-inf")

    def note(self, seconds, now):
        """Add a round trip and return the shortest one. Unit: seconds."""
        if now - self._since > SHORTEST_SPAN_S:
            self._previous_s, self._current_s, self._since = self._current_s, float("inf"), now
        self._current_s = min(self._current_s, seconds)
        return min(self._previous_s, self._current_s, MAX_SHORTEST_S)
