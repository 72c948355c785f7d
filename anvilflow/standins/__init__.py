"""Small stand-ins for the platform's services, with switches that inject faults."""

from ._advice_server import AdviceServer
from ._balancer import Balancer
from ._cell import Cell, make_client
from ._departures import Departure, LeavingWorker, draw_departure
from ._end_audit import EndAudit
from ._faults import Faults
from ._load_kinds import Burst, KindResult, LoadKind
from ._load_simulation import LoadSimulation, make_workers
from ._loads import (
    make_accelerator_kinds,
    make_accelerator_workers,
    make_crowded_load,
    make_processor_kinds,
    make_uneven_load,
    make_wide_kinds,
    make_wide_workers,
    simulate_load,
)
from ._membership import MembershipServer, MembershipState
from ._metadata_store import MetadataStore, StoreCall
from ._network import MemoryNetwork
from ._objects import MemoryObjects, ObjectServer, ObjectState
from ._platform_cell import (
    PlatformCell,
    find_violations,
    make_job_body,
    make_platform_config,
)
from ._platform_worker import PlatformWorker, RunSpan, WorkerCall
from ._samples import make_declarations
from ._server import listen
from ._table import MemoryTable, TableServer, TableState
from ._virtual_cell import VirtualCell
from ._wire import WireFaults, WireNetwork
from ._wire_client import WireClient
from ._worker import MemoryWorker, WorkerServer, WorkerState

__all__ = [
    "AdviceServer",
    "Balancer",
    "Burst",
    "Cell",
    "Departure",
    "EndAudit",
    "Faults",
    "KindResult",
    "LeavingWorker",
    "LoadKind",
    "LoadSimulation",
    "MembershipServer",
    "MembershipState",
    "MemoryNetwork",
    "MemoryObjects",
    "MemoryTable",
    "MemoryWorker",
    "MetadataStore",
    "ObjectServer",
    "ObjectState",
    "PlatformCell",
    "PlatformWorker",
    "RunSpan",
    "StoreCall",
    "TableServer",
    "TableState",
    "VirtualCell",
    "WireClient",
    "WireFaults",
    "WireNetwork",
    "WorkerCall",
    "WorkerServer",
    "WorkerState",
    "draw_departure",
    "find_violations",
    "listen",
    "make_accelerator_kinds",
    "make_accelerator_workers",
    "make_client",
    "make_crowded_load",
    "make_declarations",
    "make_job_body",
    "make_platform_config",
    "make_processor_kinds",
    "make_uneven_load",
    "make_wide_kinds",
    "make_wide_workers",
    "make_workers",
    "simulate_load",
]
