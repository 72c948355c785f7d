"""Utilization of the link of an instance."""

#: Weight of the newest sample in the moving average: a burst shows within some tenths of a second.
NEWEST_WEIGHT = 0.3

_BYTES_PER_MBIT = 125_000


class LinkUtilization:
    """Moving average of the used share of the instance's link, in the busier direction.

    Parameters
    ----------
    settings : callable
        Returns the settings, which give the bandwidth.
    count : callable
        Returns the bytes sent and received so far.
    """

    def __init__(self, *, settings, count):
        self.share = 0.0
        self._settings = settings
        self._count = count
        self._before = None

    def measure(self, now):
        """Update the average with the bytes sent and received since the last call."""
        counted = (now, *self._count())
        before, self._before = self._before, counted
        mbps = self._settings().link_mbps
        if before is None or not mbps or now <= before[0]:
            return
        busier = max(counted[1] - before[1], counted[2] - before[2])
        share = busier / (now - before[0]) / (mbps * _BYTES_PER_MBIT)
        self.share += NEWEST_WEIGHT * (share - self.share)
