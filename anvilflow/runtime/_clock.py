"""The clock that timers, leases and time limits run on."""

import time


def use_steady_clock(reactor):
    """Let a reactor take its time from a clock that no step of the time of day moves.

    Its own is the time of day. Set back, all timers stood still for the size of the step; set
    ahead, leases that still ran seemed to have ended, and their tasks were started a second time.
    The clock chosen also counts the time for which a machine is suspended: other machines' clocks
    went on, and a leader that did not see the gap would go on sending orders as if it still were
    one.

    Parameters
    ----------
    reactor : IReactorTime
        Nothing may be scheduled on it yet.
    """
    reactor.seconds = _seconds


def _seconds():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
