"""A link of limited bandwidth that one process's transfers in one direction share."""

from collections import deque

#: Period at which bytes arrive. Unit: seconds.
TICK_S = 0.01

#: Bytes that one sender puts on the link at once; its next bytes queue behind all other senders'.
#: Unit: bytes.
WINDOW_BYTES = 16_384


class Transfer:
    """Transfer of one body over the link.

    Parameters
    ----------
    n_bytes : float
        Bytes still to be transmitted.
    on_data, on_end : callable
        Called after each piece, and after the last one.
    """

    __slots__ = ("n_bytes", "on_data", "on_end", "window")

    def __init__(self, *, n_bytes, on_data, on_end):
        self.n_bytes = n_bytes
        self.window = 0
        self.on_data = on_data
        self.on_end = on_end


class SlowLink:
    """Transmits the windows of all transfers in progress one after the other.

    Parameters
    ----------
    clock : Clock
    bytes_per_s : float

    Notes
    -----
    `n_bytes` counts the bytes that have arrived.
    """

    def __init__(self, *, clock, bytes_per_s):
        self.clock = clock
        self.bytes_per_s = bytes_per_s
        self.n_bytes = 0.0
        self._transfers = deque()
        self._ticking = False

    @property
    def n_transfers(self):
        """Number of transfers in progress."""
        return len(self._transfers)

    def receive(self, n_bytes, *, on_data, on_end):
        """Start a transfer; return it."""
        transfer = Transfer(n_bytes=n_bytes, on_data=on_data, on_end=on_end)
        self._transfers.append(transfer)
        if not self._ticking:
            self._ticking = True
            self.clock.callLater(TICK_S, self._tick)
        return transfer

    def drop(self, transfer):
        """Drop a transfer whose connection is closed."""
        if transfer in self._transfers:
            self._transfers.remove(transfer)

    def _tick(self):
        left = self.bytes_per_s * TICK_S
        while left > 0 and self._transfers:
            left -= self._transmit(self._transfers[0], left)
        self._ticking = bool(self._transfers)
        if self._ticking:
            self.clock.callLater(TICK_S, self._tick)

    def _transmit(self, transfer, n_bytes):
        """Transmit bytes of the first transfer's window; return the bandwidth used, in bytes."""
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
