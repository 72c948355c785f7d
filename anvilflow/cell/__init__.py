"""Instances of a cell on the users' platform: accept jobs, elect a leader, run tasks on workers."""

from ._context import CellContext
from ._daemon import CellDaemon, make_cell_daemon, run_cell
from ._settings import CellSettings, ListenSettings, load_cell_settings

__all__ = [
    "CellContext",
    "CellDaemon",
    "CellSettings",
    "ListenSettings",
    "load_cell_settings",
    "make_cell_daemon",
    "run_cell",
]
