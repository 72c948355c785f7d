"""Runtime of a process: supervised parts, the message bus between them, clock and sockets."""

from ._bus import Bus
from ._clock import use_steady_clock
from ._network import ReactorNetwork
from ._part import Part
from ._supervisor import MAX_RESTARTS, Supervisor

__all__ = ["MAX_RESTARTS", "Bus", "Part", "ReactorNetwork", "Supervisor", "use_steady_clock"]
