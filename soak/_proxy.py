"""Loopback proxy that injects faults: delays, resets, one-way partitions and silent connections."""

from twisted.internet.defer import maybeDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from ._shared_link import SharedLink

#: Timeout of a connection to the target. Unit: seconds.
CONNECT_S = 1.0


class Proxy:
    """Forwards connections to one target.

    Parameters
    ----------
    reactor : IReactorTCP
    host : str
        Loopback address to listen on.
    target : (str, int)
    port : int, default=0
        Port to listen on; 0: any free one.

    Notes
    -----
    `delay_s` delays all data. `cut_to_target` and `cut_from_target` hold the data of one direction
    back until :meth:`heal`, and `refuses` resets new connections. :meth:`silence` drops all further
    data of the connections that are open, while new ones work. While `is_powered_off`, the target
    has no power, and new connections are accepted but never answered. `refused_at` is the time at
    which the target last refused a connection. `is_closing` is set while its port is being
    closed, which the reactor does in its next iteration.
    """

    def __init__(self, *, reactor, host, target, port=0):
        self.reactor = reactor
        self.host = host
        self.target = target
        self.pairs = []
        self.is_powered_off = False
        self.refused_at = float("-inf")
        self.is_closing = False
        self._is_stopped = False
        self.link_by_direction = {
            True: SharedLink(reactor=reactor),
            False: SharedLink(reactor=reactor),
        }
        self.port = reactor.listenTCP(port, _make_factory(self), interface=host, backlog=256)
        self.heal()

    @property
    def address(self):
        """Address on which the proxy listens."""
        return f"{self.host}:{self.port.getHost().port}"

    def heal(self):
        """End all faults except those of silenced connections."""
        self.delay_s = 0.0
        self.cut_to_target = False
        self.cut_from_target = False
        self.refuses = False
        for pair in self.pairs:
            pair.flush()

    def limit(self, bytes_per_s):
        """Limit the rate of each direction; None removes the limit."""
        for link in self.link_by_direction.values():
            link.bytes_per_s = bytes_per_s

    def silence(self):
        """Drop all further data of the open connections, without closing them."""
        for pair in self.pairs:
            pair.is_silenced = True

    def reset(self, random_state, share):
        """Reset each open connection with probability `share`."""
        for pair in list(self.pairs):
            if random_state.random() < share:
                pair.abort()

    def stop_listening(self):
        """Refuse new connections; those that are open work on."""
        if not self._is_stopped:
            self._is_stopped = self.is_closing = True
            maybeDeferred(self.port.stopListening).addBoth(self._closed)

    def _closed(self, _):
        self.is_closing = False

    def close(self):
        """Stop listening and abort all connections."""
        self.stop_listening()
        for pair in list(self.pairs):
            pair.abort()


class _Pair:
    """The two legs of a proxied connection, to the client and to the target, with pending data."""

    def __init__(self, *, proxy, client):
        self.proxy = proxy
        self.client = client
        self.server = None
        self.is_silenced = False
        self._pending_data = {True: [], False: []}
        self._next_send_at = {True: 0.0, False: 0.0}

    def connect(self):
        host, port = self.proxy.target
        self.server = _Leg(pair=self, to_target=False)
        endpoint = TCP4ClientEndpoint(self.proxy.reactor, host, port, timeout=CONNECT_S)
        done = connectProtocol(endpoint, self.server)
        done.addCallbacks(lambda _: self.flush(), lambda _: self.refuse())

    def refuse(self):
        self.proxy.refused_at = self.proxy.reactor.seconds()
        self.abort()

    def forward(self, data, to_target):
        if not self.is_silenced:
            self._pending_data[to_target].append(data)
            self.flush()

    def flush(self):
        for to_target, cut in (
            (True, self.proxy.cut_to_target),
            (False, self.proxy.cut_from_target),
        ):
            leg = self.server if to_target else self.client
            if cut or leg is None or leg.transport is None or not leg.transport.connected:
                continue
            pending, self._pending_data[to_target] = self._pending_data[to_target], []
            for data in pending:
                self._send(leg, data, to_target)

    def _send(self, leg, data, to_target):
        now = self.proxy.reactor.seconds()
        # Data stays in order even if the delay has become shorter.
        at = max(now + self.proxy.delay_s, self._next_send_at[to_target])
        self._next_send_at[to_target] = at
        link = self.proxy.link_by_direction[to_target]
        if at <= now:
            link.send(leg, data)
        else:
            self.proxy.reactor.callLater(at - now, link.send, leg, data)

    def lost(self):
        """Handle the close of one leg: abort the other unless the pair is silenced."""
        if self in self.proxy.pairs:
            self.proxy.pairs.remove(self)
        if not self.is_silenced:
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
        self.pair.forward(data, self.to_target)

    def connectionLost(self, reason):
        self.pair.lost()


class _ClientLeg(_Leg):
    def connectionMade(self):
        super().connectionMade()
        if self.pair.proxy.refuses:
            self.transport.abortConnection()
            return
        self.pair.proxy.pairs.append(self.pair)
        if self.pair.proxy.is_powered_off:
            self.pair.is_silenced = True
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
