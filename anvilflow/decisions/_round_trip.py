"""How long answers take, and when one that has not come is late."""

from msgspec import Struct


class RoundTripSettings(Struct, kw_only=True, frozen=True):
    """How an estimate follows what is measured.

    Parameters
    ----------
    mean_share, deviation_share : float, default=1/8 and 1/4
        Weight of the newest time in the mean and in the deviation.
    n_deviations : float, default=4
        Deviations above the mean from which an answer is late.
    first_s : float, default=0.4
        Time limit before the first answer. Unit: seconds.
    longest_s : float, default=1.5
        Longest time limit. Unit: seconds.
    """

    mean_share: float = 1 / 8
    deviation_share: float = 1 / 4
    n_deviations: float = 4.0
    first_s: float = 0.4
    longest_s: float = 1.5


class RoundTrip:
    """Smoothed mean and deviation of the time until answers come, as in RFC 6298.

    A fixed time limit takes a full link for a silent other end: each answer that comes later than
    it is asked for once more, and what is asked again keeps the link full.

    Parameters
    ----------
    settings : RoundTripSettings, default=None

    Examples
    --------
    >>> round_trip = RoundTrip()
    >>> round_trip.answered(0.2)
    >>> round(round_trip.limit_s(), 3)
    0.6
    >>> round_trip.timed_out()
    >>> round(round_trip.limit_s(), 3)
    1.2
    """

    __slots__ = ("_deviation_s", "_factor", "_mean_s", "settings")

    def __init__(self, *, settings=None):
        self.settings = settings or RoundTripSettings()
        self._mean_s = None
        self._deviation_s = 0.0
        self._factor = 1.0

    @property
    def mean_s(self):
        """Smoothed time until an answer comes, 0 before the first one. Unit: seconds."""
        return self._mean_s or 0.0

    def answered(self, seconds):
        """Note the time that an answer took."""
        self._factor = 1.0
        if self._mean_s is None:
            self._mean_s, self._deviation_s = seconds, seconds / 2
            return
        settings = self.settings
        error = seconds - self._mean_s
        self._mean_s += settings.mean_share * error
        self._deviation_s += settings.deviation_share * (abs(error) - self._deviation_s)

    def timed_out(self):
        """Note a call without an answer: the next one is waited for twice as long."""
        if self.limit_s() < self.settings.longest_s:
            self._factor *= 2

    def limit_s(self):
        """Return how long an answer is waited for. Unit: seconds."""
        settings = self.settings
        usual_s = settings.first_s
        if self._mean_s is not None:
            usual_s = self._mean_s + settings.n_deviations * self._deviation_s
        return min(settings.longest_s, self._factor * usual_s)
