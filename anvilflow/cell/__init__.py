"""Instances of a cell, which accept jobs, elect a leader and run tasks on workers."""

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
