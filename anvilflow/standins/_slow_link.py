"""A link of limited bandwidth, which all answers that one process receives share."""

from collections import deque

#: Period in which bytes arrive. Unit: seconds.
TICK_S = 0.01

#: What one sender puts on the link at once; its next bytes queue behind those of all others.
#: Unit: bytes.
WINDOW_BYTES = 16_384


class Transfer:
    """One answer's body on its way.

    Parameters
    ----------
    n_bytes : float
        What is still to come.
    on_data, on_end : callable
        Called with each piece, and after the last one.
    """

    __slots__ = ("n_bytes", "on_data", "on_end", "window")

    def __init__(self, *, n_bytes, on_data, on_end):
        self.n_bytes = n_bytes
        self.window = 0
        self.on_data = on_data
        self.on_end = on_end


class SlowLink:
    """Carries the windows of all transfers under way one after the other.

    Parameters
    ----------
    clock : Clock
    bytes_per_s : float

    Notes
    -----
    `n_bytes` counts what has arrived.
    """

    def __init__(self, *, clock, bytes_per_s):
        self.clock = clock
        self.bytes_per_s = bytes_per_s
        self.n_bytes = 0.0
        self._transfers = deque()
        self._ticking = False

    @property
    def n_transfers(self):
        """Number of transfers under way."""
        return len(self._transfers)

    def receive(self, n_bytes, *, on_data, on_end):
        """Begin a transfer; return it."""
        transfer = Transfer(n_bytes=n_bytes, on_data=on_data, on_end=on_end)
        self._transfers.append(transfer)
        if not self._ticking:
            self._ticking = True
            self.clock.callLater(TICK_S, self._tick)
        return transfer

    def drop(self, transfer):
        """End a transfer: its connection is closed."""
        if transfer in self._transfers:
            self._transfers.remove(transfer)

    def _tick(self):
        left = self.bytes_per_s * TICK_S
        while left > 0 and self._transfers:
            left -= self._carry(self._transfers[0], left)
        self._ticking = bool(self._transfers)
        if self._ticking:
            self.clock.callLater(TICK_S, self._tick)

    def _carry(self, transfer, n_bytes):
        """Carry bytes of the first transfer's window; return how many."""
        window = transfer.window = transfer.window or min(WINDOW_BYTES, transfer.n_bytes)
        share = min(n_bytes, window)
        transfer.n_bytes -= share
        transfer.window -= share
        self.n_bytes += share
        transfer.on_data()
        if transfer.window > 0 or transfer not in self._transfers:
            return share or n_bytes
        self._transfers.popleft()
        if transfer.n_bytes > 0:
            self._transfers.append(transfer)
        else:
            transfer.on_end()
        return share or n_bytes
