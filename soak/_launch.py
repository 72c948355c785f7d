"""Runs an instance whose time of day can be set: ahead by SIGUSR1, back by SIGUSR2.

The machine's clock is left alone. The function that tells the time of day is replaced before
anything of the instance is imported, so that whoever takes it for a clock sees the steps.
"""

import signal
import sys
import time

#: Size of one step. Unit: seconds.
STEP_S = 5.0


def shake_time_of_day():
    """Replace ``time.time`` by one that signals set ahead and back."""
    true_time = time.time
    offset = 0.0

    def step(number, _):
        nonlocal offset
        offset += STEP_S if number == signal.SIGUSR1 else -STEP_S

    time.time = lambda: true_time() + offset
    signal.signal(signal.SIGUSR1, step)
    signal.signal(signal.SIGUSR2, step)


if __name__ == "__main__":
    shake_time_of_day()
    from anvilflow.cell.__main__ import main

    sys.exit(main())
