"""Parts of one instance; each owns its sockets and state and exchanges messages with the others."""

from ..runtime import Bus, Part, ReactorNetwork, Supervisor
from ._calls import JobCall, RequestAnswer, RequestCall
from ._config import ConfigPart
from ._context import Context
from ._coordinator import CoordinatorPart, coordinator_key
from ._daemon import Daemon, make_daemon
from ._gateway import GatewayPart
from ._members import MembersPart
from ._operators import OperatorsPart
from ._owner import OwnerPart
from ._peers import PeersPart
from ._store import StorePart

__all__ = [
    "Bus",
    "ConfigPart",
    "Context",
    "CoordinatorPart",
    "Daemon",
    "GatewayPart",
    "JobCall",
    "MembersPart",
    "OperatorsPart",
    "OwnerPart",
    "Part",
    "PeersPart",
    "ReactorNetwork",
    "RequestAnswer",
    "RequestCall",
    "StorePart",
    "Supervisor",
    "coordinator_key",
    "make_daemon",
]
