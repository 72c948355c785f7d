"""Launcher of an instance whose time of day is set ahead by SIGUSR1 and back by SIGUSR2.

The machine's clock is not changed. ``time.time`` is replaced before any module of the instance is
imported, so that code that uses the time of day as a clock is affected by the steps.

SIGRTMIN makes the leader's part fail, and the signal after it the part for the election, as an
exception that the part does not catch.

If the environment has ``SOAK_RUNS_PER_TERM``, leaders have that many run numbers of their own.
"""

import os
import signal
import sys
import time

#: Size of one step. Unit: seconds.
STEP_S = 5.0

#: Signals that make a part fail, by the name of the part.
FAILURE_SIGNALS = {"home": signal.SIGRTMIN, "leadership": signal.SIGRTMIN + 1}

#: Text of the error of a part that fails by a signal.
INJECTED_ERROR = "injected by the soak"


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


def install_part_failures():
    """Install the signals that make parts fail, on the thread of the reactor."""
    from anvilflow.cell import _daemon

    daemons = []
    make_cell_daemon = _daemon.make_cell_daemon

    def make(*args, **values):
        daemons.append(make_cell_daemon(*args, **values))
        return daemons[0]

    def fail(name):
        for daemon in daemons:
            part = daemon.supervisor.part(name)
            if part is not None:
                daemon.supervisor.on_failure(part, RuntimeError(INJECTED_ERROR))

    def on_signal(number, _):
        from twisted.internet import reactor

        [name] = [name for name, each in FAILURE_SIGNALS.items() if each == number]
        reactor.callFromThread(fail, name)

    _daemon.make_cell_daemon = make
    for number in FAILURE_SIGNALS.values():
        signal.signal(number, on_signal)


def limit_run_numbers(runs_per_term):
    """Give each leader fewer run numbers, so that the tasks of a soak pass them."""
    from anvilflow.jobs import _run_numbers

    _run_numbers.RUNS_PER_TERM = _run_numbers.RESERVED_RUNS = runs_per_term
    _run_numbers.MIN_UNUSED_RUNS = runs_per_term // 2


if __name__ == "__main__":
    install_adjustable_clock()
    if "SOAK_RUNS_PER_TERM" in os.environ:
        limit_run_numbers(int(os.environ["SOAK_RUNS_PER_TERM"]))
    install_part_failures()
    from anvilflow.cell.__main__ import main

    sys.exit(main())
