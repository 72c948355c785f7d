"""Small stand-ins for what the platform gives, with switches for its faults."""

from ._balancer import Balancer
from ._cell import Cell, make_client
from ._faults import Faults
from ._membership import MembershipServer, MembershipState
from ._network import MemoryNetwork
from ._objects import MemoryObjects, ObjectServer, ObjectState
from ._samples import make_declarations
from ._server import listen
from ._table import MemoryTable, TableServer, TableState
from ._virtual_cell import VirtualCell
from ._worker import MemoryWorker, WorkerServer, WorkerState

__all__ = [
    "Balancer",
    "Cell",
    "Faults",
    "MembershipServer",
    "MembershipState",
    "MemoryNetwork",
    "MemoryObjects",
    "MemoryTable",
    "MemoryWorker",
    "ObjectServer",
    "ObjectState",
    "TableServer",
    "TableState",
    "VirtualCell",
    "WorkerServer",
    "WorkerState",
    "listen",
    "make_client",
    "make_declarations",
]
