"""Measurement of the lag of a process, by which it detects that it is short of processor."""

#: Upper bound of the lag, so that the allowance of other instances stays bounded. Unit: seconds.
MAX_LAG_S = 1.0

#: Factor by which a lag decays at each call. A lag of one second is below `SHORT_OF_CPU_S` after
#: 2 s.
LAG_DECAY = 0.8

#: Lag from which the process is short of processor. A CPU quota can take away a tenth of a second
#: from a process that has enough processor time overall. Unit: seconds.
SHORT_OF_CPU_S = 0.15


class LagMeter:
    """Measures how late a periodic call is.

    A process with too little processor time does all its work, but late: heartbeats, renewals of
    leases, reading of answers. To other processes it seems to have failed, and each take-over costs
    more processor time than was missing. The lag distinguishes the two cases.

    Parameters
    ----------
    period : float
        Period of the calls. Unit: seconds.
    """

    def __init__(self, *, period):
        self.period = period
        self.lag_s = 0.0
        self._called_at = None

    @property
    def is_short_of_cpu(self):
        """Whether the process is short of processor."""
        return self.lag_s >= SHORT_OF_CPU_S

    def record_call(self, now):
        """Record a call at `now` and update the lag."""
        if self._called_at is not None:
            late_s = now - self._called_at - self.period
            self.lag_s = min(MAX_LAG_S, max(late_s, self.lag_s * LAG_DECAY, 0.0))
        self._called_at = now
