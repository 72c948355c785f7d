"""Rates of events that follow changes within seconds."""

from math import exp


class DecayedRate:
    """Events per second, averaged with weights that decay with age.

    Parameters
    ----------
    memory_s : float
        Time in which the weight of an event falls to 1/e. Unit: seconds.

    Examples
    --------
    >>> rate = DecayedRate(memory_s=10.0)
    >>> rate.add(6.0)
    >>> rate.advance(2.0)
    >>> round(rate.per_s, 1)
    3.3
    """

    __slots__ = ("_amount", "_memory_s", "_new", "_time_s")

    def __init__(self, *, memory_s):
        self._memory_s = memory_s
        self._amount = 0.0
        self._time_s = 0.0
        self._new = 0.0

    def add(self, amount):
        """Count events since the last call of :meth:`advance`."""
        self._new += amount

    def advance(self, elapsed_s):
        """Let the given time pass, in which the events since the last call occurred."""
        kept = exp(-elapsed_s / self._memory_s)
        self._amount = self._amount * kept + self._new
        # The integral of the weights over the observed time, so that the first rate is unbiased.
        self._time_s = self._time_s * kept + self._memory_s * (1 - kept)
        self._new = 0.0

    @property
    def per_s(self):
        """Events per second; 0 before any time has passed."""
        return self._amount / self._time_s if self._time_s > 0 else 0.0
