"""One direction of a link with a limited rate."""

from collections import deque

#: Maximum chunk that a connection sends in its turn: 13 ms at the slowest rate. Unit: bytes.
CHUNK_BYTES = 8192


class SharedLink:
    """Divides its rate among connections round-robin; without a rate, data passes at once.

    Parameters
    ----------
    reactor : IReactorTime

    Notes
    -----
    `bytes_per_s` is the rate; None means no limit.
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.bytes_per_s = None
        self._waiting = deque()
        self._busy = False

    def send(self, leg, data):
        """Send data to one leg, i.e. to one end of a proxied connection."""
        waiting = next((queue for other, queue in self._waiting if other is leg), None)
        if waiting is not None:
            waiting.extend(data)
        elif self.bytes_per_s is None:
            _write(leg, data)
        else:
            self._waiting.append((leg, bytearray(data)))
            if not self._busy:
                self._send_next_chunk()

    def _send_next_chunk(self):
        self._busy = bool(self._waiting)
        if not self._busy:
            return
        leg, queue = self._waiting.popleft()
        data = bytes(queue[:CHUNK_BYTES])
        del queue[:CHUNK_BYTES]
        # Data for a closed connection takes no time on the link.
        is_open = _write(leg, data)
        if queue and is_open:
            self._waiting.append((leg, queue))
        takes_s = len(data) / self.bytes_per_s if is_open and self.bytes_per_s else 0.0
        self.reactor.callLater(takes_s, self._send_next_chunk)


def _write(leg, data):
    is_open = leg.transport is not None and leg.transport.connected and not leg.pair.is_silenced
    if is_open:
        leg.transport.write(data)
    return bool(is_open)
