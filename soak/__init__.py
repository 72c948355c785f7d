"""Randomized runs of real instances under faults that come from outside them.

Instances run as processes of their own; store, advice and workers are stand-ins in this process.
Faults are signals, switches of the stand-ins, and loopback proxies on each connection. What callers
and workers see is checked against what the system promises. Not shaken: the time of day, which
instances use for the times of scheduled jobs only.
"""

from ._run import SoakRun, run_seed

__all__ = ["SoakRun", "run_seed"]
