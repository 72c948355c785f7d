"""Clock of the timers, leases and time limits of a process."""

import time


def use_steady_clock(reactor):
    """Make a reactor use a clock that steps of the time of day do not affect.

    By default the reactor uses the time of day. When that is set back, all timers stall for the
    size of the step. When it is set ahead, valid leases appear to have expired, and their tasks
    are started a second time. The clock used here also counts time during which the machine is
    suspended. Without that, a leader that resumes would not notice that its leadership may have
    expired by the clocks of other machines, and would continue to send commands.

    Parameters
    ----------
    reactor : IReactorTime
        Must not have any scheduled calls yet.
    """
    reactor.seconds = _seconds


def _seconds():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
