"""Framed connection to another instance."""

from collections import deque

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer

from ..exceptions import FrameError
from ._codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from .gen.ttypes import Heartbeat, Hello

#: Largest number of messages in one frame, which limits how long a frame can delay a heartbeat.
_MESSAGES_PER_FRAME = 128


@implementer(IPushProducer)
class Link(Int32StringReceiver):
    """A connection with a bounded send queue that records when the peer last sent a frame.

    Parameters
    ----------
    hello : Hello
        Description of this instance, sent first on the connection.
    clock : IReactorTime
    queue_limit : int
        Largest number of messages in the send queue; heartbeats are exempt.
    events : object
        Receives the calls ``link_up(link)``, ``link_down(link)``, ``link_message(link, body)`` and
        ``link_broken(link, error)``.

    Notes
    -----
    Messages sent in one iteration of the reactor are written together. When the peer reads slowly,
    the transport pauses the link, and messages stay in the queue. When the queue is full, ``send``
    refuses further messages, so that memory stays bounded; the sender must then report the failure
    to its own caller.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, *, hello, clock, queue_limit, events):
        self.hello = hello
        self.clock = clock
        self.queue_limit = queue_limit
        self.events = events
        self.peer = None
        #: Deferred set by the dialling side; fires with the link when the peer's Hello arrives.
        self.ready = None
        self.heard_at = clock.seconds()
        self.n_sent = 0
        self.n_received = 0
        self.n_bytes_out = 0
        self.n_bytes_in = 0
        self._queue = deque()
        self._flush = None
        self._paused = False
        self._closed = False

    @property
    def n_queued(self):
        """Number of messages in the send queue."""
        return len(self._queue)

    # Transport events

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._write([self.hello])

    def connectionLost(self, reason):
        self._closed = True
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        self.events.link_down(self)

    def stringReceived(self, string):
        self.heard_at = self.clock.seconds()
        self.n_bytes_in += len(string)
        try:
            bodies = decode_frame(string)
        except FrameError as exc:
            self.events.link_broken(self, exc)
            self.abort()
            return
        for body in bodies:
            self._handle_message(body)

    def lengthLimitExceeded(self, length):
        self.events.link_broken(self, FrameError(f"a frame of {length} bytes is too large"))
        self.abort()

    def pauseProducing(self):
        self._paused = True

    def resumeProducing(self):
        self._paused = False
        self._schedule()

    def stopProducing(self):
        self._paused = True

    # Sending and closing

    def send(self, body):
        """Queue a message; return False when the link is not open or its queue is full."""
        if self._closed or self.peer is None:
            return False
        if len(self._queue) >= self.queue_limit and not isinstance(body, Heartbeat):
            return False
        self._queue.append(body)
        self._schedule()
        return True

    def abort(self):
        """Close the connection at once, without waiting for the peer to close its end."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _handle_message(self, body):
        self.n_received += 1
        if isinstance(body, Hello):
            self.peer = body
            self.events.link_up(self)
        elif self.peer is not None:
            self.events.link_message(self, body)

    def _schedule(self):
        if self._flush is None and self._queue and not self._paused and not self._closed:
            self._flush = self.clock.callLater(0, self._flush_now)

    def _flush_now(self):
        self._flush = None
        while self._queue and not self._paused:
            n_messages = min(len(self._queue), _MESSAGES_PER_FRAME)
            self._write([self._queue.popleft() for _ in range(n_messages)])

    def _write(self, bodies):
        data = encode_frame(bodies)
        self.n_sent += len(bodies)
        self.n_bytes_out += len(data)
        self.sendString(data)


class LinkFactory(Factory):
    """Builds a :class:`Link` for each connection, dialled or accepted."""

    noisy = False

    def __init__(self, *, make_link):
        self.make_link = make_link

    def buildProtocol(self, addr):
        return self.make_link()
