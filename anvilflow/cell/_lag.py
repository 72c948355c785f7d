"""How late a process is: its own measure of being short of processor."""

#: Longest lag that counts: what others allow for it stays bounded. Unit: seconds.
MAX_LAG_S = 1.0

#: Part of a lag that is left at the next measure. One of a second is under `SHORT_S` after 2 s.
KEPT_SHARE = 0.8

#: Lag from which the process is short of processor. A quota takes a tenth of a second away from a
#: process that has enough on the whole. Unit: seconds.
SHORT_S = 0.15


class LagMeter:
    """Compares when a periodic call came with when it was due.

    A process with too little processor does all that it is asked to, late: heartbeats, renewals of
    leases, answers that wait to be read. Seen from outside it looks dead, and each take-over costs
    more processor than was missing. Its lag tells the two apart.

    Parameters
    ----------
    period : float
        Of the calls. Unit: seconds.
    """

    def __init__(self, *, period):
        self.period = period
        self.lag_s = 0.0
        self._called_at = None

    @property
    def is_short(self):
        """Whether the process is short of processor."""
        return self.lag_s >= SHORT_S

    def called(self, now):
        """Note a call."""
        if self._called_at is not None:
            late_s = now - self._called_at - self.period
            self.lag_s = min(MAX_LAG_S, max(late_s, self.lag_s * KEPT_SHARE, 0.0))
        self._called_at = now
