"""HTTP calls with a time limit, over connections that are kept open."""

from functools import lru_cache
from urllib.parse import urlsplit

from twisted.internet.defer import TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.protocol import Factory

from ..utils import encode
from ._http_connection import AnswerLostError, Exchange, HttpConnection
from ._time_limit import TimeLimit

#: Head of a request, and of its answer, as seen on the wire. Unit: bytes.
HEAD_BYTES = 200

#: Failures before anything of the request left the process: it certainly had no effect.
NOT_SENT = (ConnectError, DNSLookupError)

#: Failures after which a request may or may not have had its effect.
MAYBE_SENT = (TimeoutError, AnswerLostError)

#: Places whose names are kept ready: the workers and services of a large cell.
MAX_PLACES = 4_096


def _nothing(*_):
    """Take no notice."""


@lru_cache(maxsize=MAX_PLACES)
def _place(url):
    """Return host, port and path of a URL."""
    parts = urlsplit(url)
    path = f"{parts.path or '/'}?{parts.query}" if parts.query else parts.path or "/"
    return parts.hostname, parts.port or 80, path


class HttpClient:
    """Sends requests to one kind of service.

    Parameters
    ----------
    clock : IReactorTime
        The reactor.
    connections : int, default=8
        Idle connections kept per address.
    connect_timeout : float, default=1.0
        Unit: seconds.

    Notes
    -----
    The framework's own agent took 0.22 ms of processor a call and four times as many system calls,
    most of what the deciding instance of a cell did. A request that fails on a kept connection is
    not sent again here: it may have run, and whether it may run twice is not for this to decide.
    """

    def __init__(self, *, clock, connections=8, connect_timeout=1.0):
        self.clock = clock
        self.connections = connections
        self.connect_timeout = connect_timeout
        self.n_calls = 0
        self.n_bytes_out = 0
        self.n_bytes_in = 0
        self._idle = {}

    def post(self, url, body, *, timeout, held_s=0.0, headers=None):
        """Post bytes, see :meth:`call`."""
        return self.call(b"POST", url, body, timeout=timeout, held_s=held_s, headers=headers)

    def get(self, url, *, timeout):
        """Get a resource, see :meth:`call`."""
        return self.call(b"GET", url, b"", timeout=timeout)

    def call(
        self,
        method,
        url,
        body,
        *,
        timeout,
        held_s=0.0,
        idle_timeout=None,
        on_begin=_nothing,
        headers=None,
    ):
        """Make a call; the Deferred fires with the status and the body, whole.

        Parameters
        ----------
        method : bytes
        url : str
        body : bytes
        timeout : float
            For the whole exchange, the answer's body included. Unit: seconds.
        held_s : float, default=0.0
            How long the server may hold its answer back, as asked. Unit: seconds.
        idle_timeout : float, default=None
            Longest pause between two pieces of the answer; `timeout` then ends with the answer's
            beginning. For answers whose size others decide. Unit: seconds.
        on_begin : callable
            Called with the status when the head of the answer is there.
        headers : dict, default=None
        """
        host, port, path = _place(url)
        request = _request(method, host, port, path, body, headers)
        limit = TimeLimit(clock=self.clock, timeout=timeout, idle_timeout=idle_timeout)
        on_data = limit.progress if idle_timeout is not None else _nothing
        exchange = Exchange(on_begin=on_begin, on_data=on_data)
        call = limit.watch(exchange.done)
        self.n_calls += 1
        self.n_bytes_out += len(body) + HEAD_BYTES
        call.addCallback(self._count)
        due_at = self.clock.seconds() + held_s
        if self._send((host, port), request, exchange):
            call.addErrback(self._distrust, (host, port), due_at)
        return call

    def _count(self, result):
        self.n_bytes_in += len(result[1]) + HEAD_BYTES
        return result

    def post_json(self, url, value, *, timeout):
        """Post a value as JSON."""
        return self.post(url, encode(value), timeout=timeout)

    def close(self):
        """Close the kept connections."""
        kept, self._idle = self._idle, {}
        for connection in [each for place in kept.values() for each in place]:
            connection.transport.loseConnection()

    # Connections

    def _send(self, place, request, exchange):
        """Send a request; return whether it goes over a kept connection."""
        kept = self._idle.get(place)
        if kept:
            kept.pop().send(request, exchange)
            return True
        factory = Factory.forProtocol(
            lambda: HttpConnection(
                on_idle=lambda connection: self._keep(place, connection),
                on_closed=lambda connection: self._drop(place, connection),
            )
        )
        endpoint = TCP4ClientEndpoint(self.clock, *place, timeout=self.connect_timeout)
        connecting = endpoint.connect(factory)
        connecting.addCallback(self._connected, request, exchange)
        connecting.addErrback(exchange.fail)
        # Given up while it connects, the call must not be sent afterwards.
        exchange.connection = _Connecting(connecting)
        return False

    def _distrust(self, failure, place, due_at):
        """Close what was kept since before the answer to a call on a kept connection was due.

        What lost track of one connection lost track of all that were open. Each further try would
        take the next of them and wait for its time to be over: a change of the configuration came
        late by as many time limits. A server that answers slowly costs new connections.
        """
        if failure.check(TimeoutError):
            kept = self._idle.get(place, ())
            for connection in [each for each in kept if each.idle_since <= due_at]:
                kept.remove(connection)
                connection.abort()
        return failure

    def _connected(self, connection, request, exchange):
        if exchange.is_given_up:
            connection.abort()
            return
        connection.send(request, exchange)

    def _keep(self, place, connection):
        connection.idle_since = self.clock.seconds()
        kept = self._idle.setdefault(place, [])
        if len(kept) < self.connections:
            kept.append(connection)
        else:
            connection.transport.loseConnection()

    def _drop(self, place, connection):
        kept = self._idle.get(place, ())
        if connection in kept:
            kept.remove(connection)
        if not kept:
            self._idle.pop(place, None)


class _Connecting:
    """Stands for a connection that is not there yet."""

    __slots__ = ("_connecting",)

    def __init__(self, connecting):
        self._connecting = connecting

    def abort(self):
        """Connect no further."""
        self._connecting.cancel()


def _request(method, host, port, path, body, headers):
    """Return the bytes of a request."""
    lines = [b"%b %b HTTP/1.1" % (method, path.encode("ascii"))]
    lines.append(b"Host: %b:%d" % (host.encode("ascii"), port))
    for name, values in (headers or {}).items():
        lines += [b"%b: %b" % (name, value) for value in values]
    if body or method != b"GET":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])
