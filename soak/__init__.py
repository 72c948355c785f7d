"""Randomized runs of real instances under faults that come from outside them.

Instances run as processes of their own; store, advice and workers are stand-ins in this process.
Faults are signals, switches of the stand-ins, and loopback proxies on each connection; the time of
day is set by a launcher. At the end all instances lose power right after an acknowledgement, and
some come back; in some soaks the configuration has grown before, over slow links. What callers and
workers see is checked against what the system promises.
"""

from ._run import SoakRun, run_seed

__all__ = ["SoakRun", "run_seed"]
