"""Connections in memory, under a virtual clock, that can be cut and silenced."""

from collections import Counter

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionRefusedError,
    TCPTimedOutError,
)
from twisted.python.failure import Failure

#: Processor time of one write or read of a kept connection: a system call. Unit: seconds.
WRITE_S = 2e-5


class _Pipe:
    """One end's transport: what is written arrives at the other end after the delay, in order."""

    disconnecting = False

    def __init__(self, *, network, here, there):
        self.network = network
        self.here = here
        self.there = there
        self.other = None
        self.protocol = None
        self.closed = False
        self._queued = []
        self._is_sending = False

    def write(self, data):
        """Send bytes; over a silenced way they vanish."""
        if self.closed or self.network.is_silent(self.here, self.there):
            return
        self.network.count(self.here, self.there, len(data))
        if self.network.is_limited(self.here, self.there):
            self._queued.append(data)
            if not self._is_sending:
                self._send_queued()
        else:
            self.network.later(self.here, self.there, self.other.receive, data)

    def _send_queued(self):
        """Carry all that waits over both ends' links; what is written later follows it."""
        data = b"".join(self._queued)
        self._queued.clear()
        self._is_sending = True
        self.network.carry(self.here, self.there, len(data), lambda: self._sent(data))

    def _sent(self, data):
        self._is_sending = False
        if not self.network.is_silent(self.here, self.there):
            self.network.later(self.here, self.there, self.other.receive, data)
        if self._queued and not self.closed:
            self._send_queued()

    def receive(self, data):
        """Hand bytes to this end's protocol."""
        if not self.closed:
            self.protocol.dataReceived(data)

    def abortConnection(self):
        """Close both ends; a silenced way carries no end either."""
        if self.closed:
            return
        self._close(ConnectionAborted())
        if not self.network.is_silent(self.here, self.there):
            self.network.later(self.here, self.there, self.other.peer_closed)

    loseConnection = abortConnection

    def peer_closed(self):
        """The other end closed."""
        if not self.closed:
            self._close(ConnectionDone())

    def setTcpNoDelay(self, enabled):
        """Nothing to do in memory."""

    def registerProducer(self, producer, streaming):
        """Never asks the producer to pause."""

    def _close(self, reason):
        self.closed = True
        self.network.pipes.pop(self, None)
        if self.protocol.transport is not None:
            self.protocol.connectionLost(Failure(reason))


class MemoryNetwork:
    """Listens and dials between instances of one process.

    Parameters
    ----------
    clock : Clock
    random_state : random.Random
    delay_s : float, default=0.001
        Least delay one way; up to as much again is added at random. Unit: seconds.
    silent_dials_hang : bool, default=False
        Whether a connection over a silenced way is only given up after its time, as over a real
        cut, and not refused at once.

    Notes
    -----
    `links` and `send_links` are slow links that bytes arrive and leave over, by instance; others
    have no limit. `bytes` counts what was sent, by both ends.
    """

    def __init__(self, *, clock, random_state, delay_s=0.001, silent_dials_hang=False):
        self.clock = clock
        self.random_state = random_state
        self.delay_s = delay_s
        self.silent_dials_hang = silent_dials_hang
        self.links = {}
        self.send_links = {}
        self.bytes = Counter()
        self.pipes = {}
        self._listeners = {}
        self._silent = set()
        self._arrivals = {}
        self._clocks = {}

    def at(self, name):
        """Return the network as seen by the instance `name`."""
        return _View(network=self, name=name)

    def cut(self, name):
        """Close every connection of a killed instance, as its kernel does."""
        self.forget(name)
        for pipe in [pipe for pipe in self.pipes if pipe.here == name]:
            pipe.closed = True
            self.pipes.pop(pipe, None)
            if not self.is_silent(pipe.here, pipe.there):
                self.later(name, pipe.there, pipe.other.peer_closed)

    def silence(self, here, there):
        """Let nothing through from `here` to `there` any more, on old and new connections."""
        self._silent.add((here, there))

    def unsilence(self, here, there):
        """Let everything through that way again."""
        self._silent.discard((here, there))

    def heal(self):
        """Let everything through again."""
        self._silent.clear()

    def is_silent(self, here, there):
        """Whether the way is silenced."""
        return (here, there) in self._silent

    def add_clock(self, name, clock):
        """Deliver to the instance `name` on its own clock, so that its pause holds back bytes."""
        self._clocks[name] = clock

    def later(self, here, there, call, *args):
        """Call after the delay, not before what was sent earlier from the same place."""
        now = self.clock.seconds()
        arrival = now + self.delay_s * (1 + self.random_state.random())
        arrival = max(arrival, self._arrivals.get(here, 0.0))
        self._arrivals[here] = arrival
        self._clocks.get(there, self.clock).callLater(arrival - now, call, *args)

    def is_limited(self, here, there):
        """Whether bytes on the way go over a slow link."""
        return here in self.send_links or there in self.links

    def carry(self, here, there, n_bytes, on_end):
        """Carry bytes over the link of the sender, then over that of the receiver."""
        links = [link for link in (self.send_links.get(here), self.links.get(there)) if link]
        _carry_over(links, n_bytes, on_end)

    def count(self, here, there, n_bytes):
        """Count bytes, and the processor time of the write and of the read."""
        self.bytes[here, there] += n_bytes
        for name in (here, there):
            clock = self._clocks.get(name)
            if clock is not None:
                clock.charge(WRITE_S)

    def listen(self, name, factory):
        """Accept connections to `name`."""
        self._listeners[name] = factory
        return _Port(network=self, name=name)

    def forget(self, name):
        """Accept no more."""
        self._listeners.pop(name, None)

    def dial(self, here, there, protocol, timeout=0.0):
        """Connect `protocol` to the instance `there`."""
        if self.silent_dials_hang and self.is_silent(here, there):
            given_up = Deferred()
            clock = self._clocks.get(here, self.clock)
            clock.callLater(timeout, given_up.errback, TCPTimedOutError())
            return given_up
        if there not in self._listeners or self.is_silent(here, there):
            return fail(ConnectionRefusedError())
        near = _Pipe(network=self, here=here, there=there)
        far = _Pipe(network=self, here=there, there=here)
        near.other, far.other = far, near
        near.protocol, far.protocol = protocol, self._listeners[there].buildProtocol(None)
        self.pipes.update({near: None, far: None})
        near.protocol.makeConnection(near)
        # The kernel accepts for a paused process; its side of the connection begins on its clock.
        self.later(here, there, self._accept, far)
        return succeed(protocol)

    def _accept(self, pipe):
        if not pipe.closed:
            pipe.protocol.makeConnection(pipe)


def _carry_over(links, n_bytes, on_end):
    if not links:
        on_end()
        return
    link, *others = links
    link.receive(n_bytes, on_data=lambda: None, on_end=lambda: _carry_over(others, n_bytes, on_end))


class _Port:
    def __init__(self, *, network, name):
        self.network = network
        self.name = name

    def stopListening(self):
        """Accept no more."""
        self.network.forget(self.name)


class _View:
    """The network as one instance uses it."""

    def __init__(self, *, network, name):
        self.network = network
        self.name = name

    def listen(self, address, factory):
        """Listen for peers; the HTTP listeners are not part of the virtual network."""
        if not hasattr(factory, "make_link"):
            return _Port(network=self.network, name=""), address
        return self.network.listen(self.name, factory), self.name

    def dial(self, address, protocol, timeout):
        """Connect to the instance whose address is its name."""
        return self.network.dial(self.name, address, protocol, timeout)
