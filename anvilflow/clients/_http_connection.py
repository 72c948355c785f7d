"""One kept connection to an HTTP server: a request goes out, its answer is read."""

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol


class AnswerLostError(ConnectionError):
    """The connection ended before the answer was whole: the request may have had its effect."""


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    on_begin : callable
        Called with the status when the head of the answer is there.
    on_data : callable
        Called with each piece of the answer.

    Notes
    -----
    `done` fires with the status and the body. Cancelled, it closes the connection: an answer that
    is given up would go on arriving, and take the bandwidth from the next try. On a link of
    5 Mbit/s no try ever came to an end.
    """

    __slots__ = ("connection", "done", "is_given_up", "on_begin", "on_data", "pieces", "status")

    def __init__(self, *, on_begin, on_data):
        self.on_begin = on_begin
        self.on_data = on_data
        self.connection = None
        self.is_given_up = False
        self.done = Deferred(self._give_up)
        self.status = None
        self.pieces = []

    def _give_up(self, _):
        self.is_given_up = True
        if self.connection is not None:
            self.connection.abort()

    def end(self, result):
        """Fire `done`, unless it was given up."""
        if not self.is_given_up:
            self.done.callback(result)

    def fail(self, error):
        """Fail `done`, unless it was given up."""
        if not self.is_given_up:
            self.done.errback(error)


class HttpConnection(Protocol):
    """Carries one exchange at a time; what arrives is read by a parser of the libraries.

    Parameters
    ----------
    on_idle : callable
        Called with the connection when it can take the next exchange.
    on_closed : callable
        Called with the connection when it is gone.

    Notes
    -----
    `idle_since` is the time at which whoever keeps it took it back. Unit: seconds.
    """

    def __init__(self, *, on_idle, on_closed):
        self.idle_since = 0.0
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._exchange = None
        self._parser = HttpResponseParser(self)
        self._has_length = False
        self._is_over = False
        self._must_close = False

    def connectionMade(self):
        """Send small writes at once.

        With Nagle's algorithm on, a request's second segment waits for the acknowledgement of the
        first, which the other end delays: every so often a call of 20 ms took more than 200 ms.
        """
        self.transport.setTcpNoDelay(True)

    def send(self, request, exchange):
        """Send a request, head and body in one write; its answer goes to `exchange`."""
        self._exchange = exchange
        exchange.connection = self
        self._has_length = False
        self.transport.write(request)

    def abort(self):
        """Close at once; what is in progress gets no answer."""
        self._exchange = None
        self.transport.abortConnection()

    # What arrives

    def dataReceived(self, data):
        """Take bytes; those that nobody has asked for end the connection."""
        if self._exchange is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            self._must_close = True
            if not self._is_over:
                self._fail(AnswerLostError(f"the answer cannot be read: {exc}"))
                self.transport.abortConnection()
                return
        if self._is_over and self._exchange is not None:
            self._is_over = False
            self._finish()

    def connectionLost(self, reason):
        """Take the end; of a body whose length was not said the connection's end is the end."""
        self._on_closed(self)
        exchange = self._exchange
        if exchange is None:
            return
        if exchange.status is not None and not self._has_length:
            self._exchange = None
            exchange.end((exchange.status, b"".join(exchange.pieces)))
            return
        self._fail(AnswerLostError(f"the connection ended: {reason.getErrorMessage()}"))

    def _fail(self, error):
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.fail(error)

    def _finish(self):
        exchange, self._exchange = self._exchange, None
        if self._must_close:
            self.transport.loseConnection()
        else:
            self._on_idle(self)
        exchange.end((exchange.status, b"".join(exchange.pieces)))

    # What the parser calls

    def on_message_begin(self):
        """An answer begins; a second one in the same piece was asked for by nobody."""
        if self._is_over:
            raise AnswerLostError("two answers to one request")

    def on_header(self, name, _):
        """Note whether the answer says where it ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self):
        """The head of the answer is there."""
        exchange = self._exchange
        exchange.status = self._parser.get_status_code()
        exchange.on_data()
        exchange.on_begin(exchange.status)

    def on_body(self, piece):
        """A piece of the body is there; whoever saw its head may have given it up."""
        if self._exchange is not None:
            self._exchange.pieces.append(piece)
            self._exchange.on_data()

    def on_message_complete(self):
        """The answer is whole; the parser must not be left from within its own call."""
        self._is_over = True
        self._must_close = not self._parser.should_keep_alive()
