"""Connections in memory, under a virtual clock, that can be cut or blocked in one direction."""

from collections import Counter

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionRefusedError,
    TCPTimedOutError,
)
from twisted.python.failure import Failure

#: Processor time of the system call of one write or read on a kept connection. Unit: seconds.
WRITE_S = 2e-5


class _Pipe:
    """Transport at one end: written bytes arrive at the other end after the delay, in order."""

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
        """Send bytes; they are lost if the direction is blocked."""
        if self.closed or self.network.is_blocked(self.here, self.there):
            return
        self.network.count(self.here, self.there, len(data))
        if self.network.is_limited(self.here, self.there):
            self._queued.append(data)
            if not self._is_sending:
                self._send_queued()
        else:
            self.network.later(self.here, self.there, self.other.receive, data)

    def _send_queued(self):
        """Transmit all queued bytes over both ends' links; bytes written later follow."""
        data = b"".join(self._queued)
        self._queued.clear()
        self._is_sending = True
        self.network.transmit(self.here, self.there, len(data), lambda: self._sent(data))

    def _sent(self, data):
        self._is_sending = False
        if not self.network.is_blocked(self.here, self.there):
            self.network.later(self.here, self.there, self.other.receive, data)
        if self._queued and not self.closed:
            self._send_queued()

    def receive(self, data):
        """Pass bytes to this end's protocol."""
        if not self.closed:
            self.protocol.dataReceived(data)

    def abortConnection(self):
        """Close both ends; if the direction is blocked, only this one."""
        if self.closed:
            return
        self._close(ConnectionAborted())
        if not self.network.is_blocked(self.here, self.there):
            self.network.later(self.here, self.there, self.other.peer_closed)

    loseConnection = abortConnection

    def peer_closed(self):
        """Handle the close of the other end."""
        if not self.closed:
            self._close(ConnectionDone())

    def setTcpNoDelay(self, enabled):
        """Do nothing: the option has no meaning in memory."""

    def registerProducer(self, producer, streaming):
        """Do nothing: the producer is never paused."""

    def _close(self, reason):
        self.closed = True
        self.network.pipes.pop(self, None)
        if self.protocol.transport is not None:
            self.protocol.connectionLost(Failure(reason))


class MemoryNetwork:
    """Network between the instances in one process.

    Parameters
    ----------
    clock : Clock
    random_state : random.Random
    delay_s : float, default=0.001
        Minimum one-way delay; a random delay of up to the same length is added. Unit: seconds.
    blocked_dials_time_out : bool, default=False
        Whether a connection attempt in a blocked direction fails only after its timeout, as in a
        real partition, instead of being refused at once.

    Notes
    -----
    `links` and `send_links` hold the slow links for received and sent bytes, by instance; other
    instances have no limit. `bytes` counts the sent bytes, by sender and receiver.
    """

    def __init__(self, *, clock, random_state, delay_s=0.001, blocked_dials_time_out=False):
        self.clock = clock
        self.random_state = random_state
        self.delay_s = delay_s
        self.blocked_dials_time_out = blocked_dials_time_out
        self.links = {}
        self.send_links = {}
        self.bytes = Counter()
        self.pipes = {}
        self._listeners = {}
        self._blocked = set()
        self._arrivals = {}
        self._clocks = {}

    def at(self, name):
        """Return the network as seen by the instance `name`."""
        return _View(network=self, name=name)

    def cut(self, name):
        """Close every connection of a killed instance, as its kernel does."""
        self.stop_listening(name)
        for pipe in [pipe for pipe in self.pipes if pipe.here == name]:
            pipe.closed = True
            self.pipes.pop(pipe, None)
            if not self.is_blocked(pipe.here, pipe.there):
                self.later(name, pipe.there, pipe.other.peer_closed)

    def block(self, here, there):
        """Drop everything sent from `here` to `there`, on old and new connections."""
        self._blocked.add((here, there))

    def unblock(self, here, there):
        """Stop dropping what is sent from `here` to `there`."""
        self._blocked.discard((here, there))

    def heal(self):
        """Unblock all directions."""
        self._blocked.clear()

    def is_blocked(self, here, there):
        """Return whether the direction is blocked."""
        return (here, there) in self._blocked

    def add_clock(self, name, clock):
        """Deliver to the instance `name` on its own clock, so that a pause delays the bytes."""
        self._clocks[name] = clock

    def later(self, here, there, call, *args):
        """Schedule a call after the delay, but not before earlier ones from the same sender."""
        now = self.clock.seconds()
        arrival = now + self.delay_s * (1 + self.random_state.random())
        arrival = max(arrival, self._arrivals.get(here, 0.0))
        self._arrivals[here] = arrival
        self._clocks.get(there, self.clock).callLater(arrival - now, call, *args)

    def is_limited(self, here, there):
        """Return whether bytes in this direction pass a slow link."""
        return here in self.send_links or there in self.links

    def transmit(self, here, there, n_bytes, on_end):
        """Transmit bytes over the sender's link, then over the receiver's."""
        links = [link for link in (self.send_links.get(here), self.links.get(there)) if link]
        _send_over(links, n_bytes, on_end)

    def count(self, here, there, n_bytes):
        """Count bytes, and charge both ends the processor time of the write and of the read."""
        self.bytes[here, there] += n_bytes
        for name in (here, there):
            clock = self._clocks.get(name)
            if clock is not None:
                clock.charge(WRITE_S)

    def listen(self, name, factory):
        """Accept connections to `name`."""
        self._listeners[name] = factory
        return _Port(network=self, name=name)

    def stop_listening(self, name):
        """Stop accepting connections to `name`."""
        self._listeners.pop(name, None)

    def dial(self, here, there, protocol, timeout=0.0):
        """Connect `protocol` to the instance `there`."""
        if self.blocked_dials_time_out and self.is_blocked(here, there):
            pending = Deferred()
            clock = self._clocks.get(here, self.clock)
            clock.callLater(timeout, pending.errback, TCPTimedOutError())
            return pending
        if there not in self._listeners or self.is_blocked(here, there):
            return fail(ConnectionRefusedError())
        near = _Pipe(network=self, here=here, there=there)
        far = _Pipe(network=self, here=there, there=here)
        near.other, far.other = far, near
        near.protocol, far.protocol = protocol, self._listeners[there].buildProtocol(None)
        self.pipes.update({near: None, far: None})
        near.protocol.makeConnection(near)
        # The kernel accepts for a paused process; the process sees the connection on its own clock.
        self.later(here, there, self._accept, far)
        return succeed(protocol)

    def _accept(self, pipe):
        if not pipe.closed:
            pipe.protocol.makeConnection(pipe)


def _send_over(links, n_bytes, on_end):
    if not links:
        on_end()
        return
    link, *others = links
    link.receive(n_bytes, on_data=lambda: None, on_end=lambda: _send_over(others, n_bytes, on_end))


class _Port:
    def __init__(self, *, network, name):
        self.network = network
        self.name = name

    def stopListening(self):
        """Stop accepting connections."""
        self.network.stop_listening(self.name)


class _View:
    """The network as seen by one instance."""

    def __init__(self, *, network, name):
        self.network = network
        self.name = name

    def listen(self, address, factory):
        """Listen for peers; the HTTP listeners are not part of the virtual network."""
        if not hasattr(factory, "make_link"):
            return _Port(network=self.network, name=""), address
        return self.network.listen(self.name, factory), self.name

    def dial(self, address, protocol, timeout):
        """Connect to the instance `address`: an instance's address is its name."""
        return self.network.dial(self.name, address, protocol, timeout)
