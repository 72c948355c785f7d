"""A link of limited bandwidth, which all answers that one process receives share."""

#: Period in which bytes arrive. Unit: seconds.
TICK_S = 0.01


class Transfer:
    """One answer's body on its way.

    Parameters
    ----------
    n_bytes : float
        What is still to come.
    on_data, on_end : callable
        Called with each piece, and after the last one.
    """

    __slots__ = ("n_bytes", "on_data", "on_end")

    def __init__(self, *, n_bytes, on_data, on_end):
        self.n_bytes = n_bytes
        self.on_data = on_data
        self.on_end = on_end


class SlowLink:
    """Shares its bandwidth evenly among the transfers under way.

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
        self._transfers = []
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
        transfers = list(self._transfers)
        for transfer in transfers:
            share = min(transfer.n_bytes, self.bytes_per_s * TICK_S / len(transfers))
            transfer.n_bytes -= share
            self.n_bytes += share
        for transfer in transfers:
            if transfer not in self._transfers:
                continue
            transfer.on_data()
            if transfer.n_bytes <= 0:
                self._transfers.remove(transfer)
                transfer.on_end()
        self._ticking = bool(self._transfers)
        if self._ticking:
            self.clock.callLater(TICK_S, self._tick)
