"""How much of its link an instance uses."""

#: Weight of the newest measure: a burst counts within some tenths of a second.
NEWEST_SHARE = 0.3

_BYTES_PER_MBIT = 125_000


class LinkUtilization:
    """Follows the share of the instance's link that is in use, in the busier direction.

    Parameters
    ----------
    settings : callable
        Returns the settings; they tell the bandwidth.
    count : callable
        Returns the bytes sent and received so far.
    """

    def __init__(self, *, settings, count):
        self.share = 0.0
        self._settings = settings
        self._count = count
        self._before = None

    def measure(self, now):
        """Note what was sent and received since the last time."""
        counted = (now, *self._count())
        before, self._before = self._before, counted
        mbps = self._settings().link_mbps
        if before is None or not mbps or now <= before[0]:
            return
        busier = max(counted[1] - before[1], counted[2] - before[2])
        share = busier / (now - before[0]) / (mbps * _BYTES_PER_MBIT)
        self.share += NEWEST_SHARE * (share - self.share)
