"""Adaptive time limits for calls, estimated from round-trip times."""

from msgspec import Struct


class RoundTripSettings(Struct, kw_only=True, frozen=True):
    """Settings of a :class:`RoundTrip`.

    Parameters
    ----------
    mean_share, deviation_share : float, default=1/8 and 1/4
        Weight of the newest round-trip time in the mean and in the deviation.
    n_deviations : float, default=4
        Number of deviations by which the time limit is above the mean.
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
    """Smoothed mean and deviation of round-trip times, and a time limit from both, as in RFC 6298.

    A fixed time limit cannot distinguish a full link from an unresponsive peer: each call whose
    answer takes longer than the limit is sent again, and these retries keep the link full.

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
        """Smoothed round-trip time, 0 before the first answer. Unit: seconds."""
        return self._mean_s or 0.0

    def answered(self, seconds):
        """Update the estimate with the round-trip time of an answered call. Unit: seconds."""
        self._factor = 1.0
        if self._mean_s is None:
            self._mean_s, self._deviation_s = seconds, seconds / 2
            return
        settings = self.settings
        error = seconds - self._mean_s
        self._mean_s += settings.mean_share * error
        self._deviation_s += settings.deviation_share * (abs(error) - self._deviation_s)

    def timed_out(self):
        """Double the time limit after a call without an answer."""
        if self.limit_s() < self.settings.longest_s:
            self._factor *= 2

    def limit_s(self):
        """Return the time limit of the next call. Unit: seconds."""
        settings = self.settings
        usual_s = settings.first_s
        if self._mean_s is not None:
            usual_s = self._mean_s + settings.n_deviations * self._deviation_s
        return min(settings.longest_s, self._factor * usual_s)
