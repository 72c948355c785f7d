"""Randomized runs of real instances under externally injected faults.

Each instance runs as a separate process. The store, the advice service and the workers are
stand-ins in the process of the soak. Faults are injected by signals, by fault switches of the
stand-ins and by a loopback proxy on each connection; a launcher changes the time of day of an
instance. At the end of a soak all instances lose power right after an acknowledgement, and some of
them restart. In some soaks the configuration grows before that, over slow links. The states shown
to callers and the runs on workers are checked against the invariants of the system.
"""

from ._run import SoakRun, run_seed

__all__ = ["SoakRun", "run_seed"]
