"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from ._line import Line

#: Time within which the target takes a connection. Unit: seconds.
CONNECT_S = 1.0


class Proxy:
    """Passes connections on to one target.

    Parameters
    ----------
    reactor : IReactorTCP
    host : str
        Loopback address to listen at.
    target : (str, int)

    Notes
    -----
    `delay_s` holds every piece back. `cut_to_target` and `cut_from_target` keep one direction back
    until :meth:`heal`, and `refuses` resets new connections. :meth:`silence` lets those that are
    open now say nothing for good, while new ones work; but not while `is_dark`, when the target has
    no power: new ones are never answered. `refused_at` is when the target last refused one.
    """

    def __init__(self, *, reactor, host, target):
        self.reactor = reactor
        self.host = host
        self.target = target
        self.pairs = []
        self.is_dark = False
        self.refused_at = float("-inf")
        self.lines = {True: Line(reactor=reactor), False: Line(reactor=reactor)}
        self.port = reactor.listenTCP(0, _make_factory(self), interface=host, backlog=256)
        self.heal()

    @property
    def address(self):
        """Where the proxy listens."""
        return f"{self.host}:{self.port.getHost().port}"

    def heal(self):
        """End all faults but those of connections that were silenced."""
        self.delay_s = 0.0
        self.cut_to_target = False
        self.cut_from_target = False
        self.refuses = False
        for pair in self.pairs:
            pair.flush()

    def limit(self, bytes_s):
        """Let so many bytes a second pass each way; None: all at once."""
        for line in self.lines.values():
            line.bytes_s = bytes_s

    def silence(self):
        """Let all open connections fall silent for good."""
        for pair in self.pairs:
            pair.silent = True

    def reset(self, random_state, share):
        """Reset a share of the open connections."""
        for pair in list(self.pairs):
            if random_state.random() < share:
                pair.abort()

    def close(self):
        """Close everything."""
        self.port.stopListening()
        for pair in list(self.pairs):
            pair.abort()


class _Pair:
    """Two connections, one to each end, and what waits between them."""

    def __init__(self, *, proxy, client):
        self.proxy = proxy
        self.client = client
        self.server = None
        self.silent = False
        self._held = {True: [], False: []}
        self._free_at = {True: 0.0, False: 0.0}

    def connect(self):
        host, port = self.proxy.target
        self.server = _Leg(pair=self, to_target=False)
        endpoint = TCP4ClientEndpoint(self.proxy.reactor, host, port, timeout=CONNECT_S)
        done = connectProtocol(endpoint, self.server)
        done.addCallbacks(lambda _: self.flush(), lambda _: self.refuse())

    def refuse(self):
        self.proxy.refused_at = self.proxy.reactor.seconds()
        self.abort()

    def carry(self, data, to_target):
        if not self.silent:
            self._held[to_target].append(data)
            self.flush()

    def flush(self):
        for to_target, cut in (
            (True, self.proxy.cut_to_target),
            (False, self.proxy.cut_from_target),
        ):
            leg = self.server if to_target else self.client
            if cut or leg is None or leg.transport is None or not leg.transport.connected:
                continue
            held, self._held[to_target] = self._held[to_target], []
            for data in held:
                self._send(leg, data, to_target)

    def _send(self, leg, data, to_target):
        now = self.proxy.reactor.seconds()
        # Never before an earlier piece, also when the delay has become shorter.
        at = max(now + self.proxy.delay_s, self._free_at[to_target])
        self._free_at[to_target] = at
        line = self.proxy.lines[to_target]
        if at <= now:
            line.send(leg, data)
        else:
            self.proxy.reactor.callLater(at - now, line.send, leg, data)

    def lost(self):
        """One end has closed: close the other, unless nobody may hear of it."""
        if self in self.proxy.pairs:
            self.proxy.pairs.remove(self)
        if not self.silent:
            self.abort()

    def abort(self):
        if self in self.proxy.pairs:
            self.proxy.pairs.remove(self)
        for leg in (self.client, self.server):
            if leg is not None and leg.transport is not None:
                leg.transport.abortConnection()


class _Leg(Protocol):
    def __init__(self, *, pair, to_target):
        self.pair = pair
        self.to_target = to_target

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        self.pair.carry(data, self.to_target)

    def connectionLost(self, reason):
        self.pair.lost()


class _ClientLeg(_Leg):
    def connectionMade(self):
        super().connectionMade()
        if self.pair.proxy.refuses:
            self.transport.abortConnection()
            return
        self.pair.proxy.pairs.append(self.pair)
        if self.pair.proxy.is_dark:
            self.pair.silent = True
        else:
            self.pair.connect()


def _make_factory(proxy):
    def build(_):
        pair = _Pair(proxy=proxy, client=None)
        pair.client = _ClientLeg(pair=pair, to_target=True)
        return pair.client

    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = build
    return factory
