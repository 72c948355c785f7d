"""One direction of a slow link."""

from collections import deque

#: Bytes that a connection sends in its turn: 13 ms at the slowest rate. Unit: bytes.
TURN_BYTES = 8192


class Line:
    """Connections share its bytes a second in turns; without a rate all bytes pass at once.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.bytes_s = None
        self._waiting = deque()
        self._busy = False

    def send(self, leg, data):
        """Send bytes to one end of a connection."""
        waiting = next((queue for other, queue in self._waiting if other is leg), None)
        if waiting is not None:
            waiting.extend(data)
        elif self.bytes_s is None:
            _write(leg, data)
        else:
            self._waiting.append((leg, bytearray(data)))
            if not self._busy:
                self._turn()

    def _turn(self):
        self._busy = bool(self._waiting)
        if not self._busy:
            return
        leg, queue = self._waiting.popleft()
        data = bytes(queue[:TURN_BYTES])
        del queue[:TURN_BYTES]
        # What waits for an end that is gone takes no time on the line.
        is_open = _write(leg, data)
        if queue and is_open:
            self._waiting.append((leg, queue))
        takes_s = len(data) / self.bytes_s if is_open and self.bytes_s else 0.0
        self.reactor.callLater(takes_s, self._turn)


def _write(leg, data):
    is_open = leg.transport is not None and leg.transport.connected and not leg.pair.silent
    if is_open:
        leg.transport.write(data)
    return bool(is_open)
