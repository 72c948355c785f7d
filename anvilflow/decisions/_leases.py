"""Arithmetic of leases between two clocks that are not shared.

A renewal names the moment on the *worker's* clock up to which a task may run. A renewal that is
delayed on the way therefore cannot make the lease longer than its sender reckoned, which a
renewal of the form "for 15 s from now" would.
"""

from msgspec import Struct


class LeaseClock(Struct, kw_only=True):
    """What an owner knows of a worker's clock.

    Parameters
    ----------
    worker_time : float
        Reading of the worker's clock in its last answer. Unit: seconds.
    sent, received : float
        Own time at which that call was sent and answered. Unit: seconds.

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
        """Return the moment on the worker's clock at which a lease given now ends.

        The earliest that the worker's clock can show now is counted from the answer's receipt:
        the lease is a little shorter than `lease_s`, never longer.
        """
        return self.worker_time + (now - self.received) + lease_s

    def own_time_of(self, until, drift):
        """Return the own time by which the worker's clock surely shows `until`.

        The worker's clock may run slow by `drift`, and may have been read as late as at receipt.
        """
        return self.received + (until - self.worker_time) * (1 + drift)


def lease_over_at(clock, until, drift):
    """Return the own time from which a task under this lease certainly no longer runs."""
    return clock.own_time_of(until, drift)
