"""Launcher of an instance whose time of day is set ahead by SIGUSR1 and back by SIGUSR2.

The machine's clock is not changed. ``time.time`` is replaced before any module of the instance is
imported, so that code that uses the time of day as a clock is affected by the steps.
"""

import signal
import sys
import time

#: Size of one step. Unit: seconds.
STEP_S = 5.0


def install_adjustable_clock():
    """Replace ``time.time`` by a function that signals set ahead and back by `STEP_S`."""
    true_time = time.time
    offset = 0.0

    def step(number, _):
        nonlocal offset
        offset += STEP_S if number == signal.SIGUSR1 else -STEP_S

    time.time = lambda: true_time() + offset
    signal.signal(signal.SIGUSR1, step)
    signal.signal(signal.SIGUSR2, step)


if __name__ == "__main__":
    install_adjustable_clock()
    from anvilflow.cell.__main__ import main

    sys.exit(main())
