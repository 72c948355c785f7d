"""Instances of a cell, which accept jobs, elect a leader and run tasks on workers.

Names that leave the process keep older words. In log events, metrics, messages and rows of the
store, the leader is the "home" (as in :class:`HomeBeat`, its heartbeat), a gateway an "entry", a
relay a "carrier" that "carries" commands, a command to a worker an "order" and a lease renewal a
"hold".
"""

from ._context import CellContext
from ._daemon import CellDaemon, make_cell_daemon, run_cell
from ._settings import Bounds, CellSettings, ListenSettings, load_cell_settings

__all__ = [
    "Bounds",
    "CellContext",
    "CellDaemon",
    "CellSettings",
    "ListenSettings",
    "load_cell_settings",
    "make_cell_daemon",
    "run_cell",
]
