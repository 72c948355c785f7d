"""What every process is built of: supervised parts, their bus, the reactor's sockets."""

from ._bus import Bus
from ._clock import use_steady_clock
from ._network import ReactorNetwork
from ._part import Part
from ._supervisor import MAX_RESTARTS, Supervisor

__all__ = ["MAX_RESTARTS", "Bus", "Part", "ReactorNetwork", "Supervisor", "use_steady_clock"]
