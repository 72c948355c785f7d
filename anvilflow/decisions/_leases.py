"""Computation of lease ends between two clocks that are not synchronized.

A renewal states the time on the *worker's* clock until which a task may run. A renewal that is
delayed in transit therefore cannot extend the lease beyond what its sender computed. A renewal of
the form "for 15 s from now" would.
"""

from msgspec import Struct


class LeaseClock(Struct, kw_only=True):
    """Reading of a worker's clock, and the local times of the call that read it.

    Parameters
    ----------
    worker_time : float
        Reading of the worker's clock in its latest answer. Unit: seconds.
    sent, received : float
        Local times at which that call was sent and its answer received. Unit: seconds.

    Examples
    --------
    >>> clock = LeaseClock(worker_time=100.0, sent=5.0, received=5.2)
    >>> clock.until(now=6.2, lease_s=15.0)
    116.0
    """

    worker_time: float
    sent: float
    received: float

    def until(self, now, lease_s):
        """Return the time on the worker's clock at which a lease granted now ends.

        The result assumes that the worker read its clock when the answer was received, which gives
        the earliest time that its clock can show now. The lease is therefore slightly shorter than
        `lease_s`, never longer.
        """
        return self.worker_time + (now - self.received) + lease_s

    def local_time_of(self, until, drift):
        """Return the local time by which the worker's clock certainly shows `until`.

        The worker's clock may run slow by the ratio `drift`, and may have been read as late as
        when the answer was received.
        """
        return self.received + (until - self.worker_time) * (1 + drift)


def lease_over_at(clock, until, drift):
    """Return the local time from which a task under this lease certainly no longer runs."""
    return clock.local_time_of(until, drift)
