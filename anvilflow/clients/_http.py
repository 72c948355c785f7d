"""HTTP client with timeouts and persistent connections."""

from collections import Counter, deque
from functools import lru_cache
from urllib.parse import urlsplit

from twisted.internet.defer import TimeoutError, fail
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.protocol import Factory

from ..utils import encode
from ._http_connection import Exchange, HttpConnection, ResponseLostError
from ._time_limit import TimeLimit

#: Estimated size of the head of a request or a response on the wire. Unit: bytes.
HEAD_BYTES = 200


class InvalidRequestError(ValueError):
    """The URL or a header cannot be used: the request was not sent."""


#: Failures before any byte of the request was sent: the request had no effect.
NOT_SENT = (ConnectError, DNSLookupError, InvalidRequestError)

#: Failures after which the request may or may not have taken effect.
MAYBE_SENT = (TimeoutError, ResponseLostError)

#: URLs whose parts are cached; enough for the workers and services of a large cell.
MAX_CACHED_URLS = 4_096

#: Control characters, which the head of a request contains only at the ends of its lines.
_CONTROL_CHARACTERS = bytes([*range(0x20), 0x7F]).replace(b"\t", b"")


def _no_op(*_):
    """Do nothing."""


@lru_cache(maxsize=MAX_CACHED_URLS)
def _split_url(url):
    """Return host, port and path of a URL."""
    parts = urlsplit(url)
    path = f"{parts.path or '/'}?{parts.query}" if parts.query else parts.path or "/"
    return parts.hostname, parts.port or 80, path


class HttpClient:
    """HTTP client for one kind of service.

    Parameters
    ----------
    clock : IReactorTime
        The reactor.
    connections : int, default=8
        Maximum number of idle connections kept per address.
    max_open : int, default=None
        Maximum number of open connections per address; further calls wait for one of them. None:
        no limit.
    max_idle_s : float, default=None
        Time after which an idle connection is closed; None: it is kept. Unit: seconds.
    connect_timeout : float, default=1.0
        Timeout for opening a connection. Unit: seconds.

    Notes
    -----
    The HTTP agent of Twisted takes 0.22 ms of CPU time per call and four times as many system
    calls, which was most of the leader's CPU time. A request that fails on a kept connection is not
    sent again by the client: the server may have processed it, and only the caller can decide
    whether it may be processed twice.

    A server with a limit on its connections resets those beyond it, of whatever client. It also
    counts the connections of clients that have lost power, for as long as it does not notice.
    `max_open` and `max_idle_s` keep the connections of many clients to such a server few.
    """

    def __init__(
        self, *, clock, connections=8, max_open=None, max_idle_s=None, connect_timeout=1.0
    ):
        self.clock = clock
        self.connections = connections
        self.max_open = max_open
        self.max_idle_s = max_idle_s
        self.connect_timeout = connect_timeout
        self.n_calls = 0
        self.n_bytes_out = 0
        self.n_bytes_in = 0
        self._idle = {}
        self._n_open = Counter()
        self._waiting = {}
        self._idle_check = None

    def post(self, url, body, *, timeout, held_s=0.0, headers=None, peer=None):
        """Send a POST request, see :meth:`call`."""
        return self.call(
            b"POST", url, body, timeout=timeout, held_s=held_s, headers=headers, peer=peer
        )

    def get(self, url, *, timeout):
        """Send a GET request, see :meth:`call`."""
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
        on_begin=_no_op,
        headers=None,
        peer=None,
    ):
        """Send a request; the Deferred fires with the status and the complete body.

        Every failure arrives through the Deferred, also that of a URL or header that cannot be
        used.

        Parameters
        ----------
        method : bytes
        url : str
        body : bytes
        timeout : float
            Timeout for the whole exchange, including the response body. Unit: seconds.
        held_s : float, default=0.0
            Time for which the request allows the server to delay its response. Unit: seconds.
        idle_timeout : float, default=None
            Longest pause between two pieces of the response. If given, `timeout` covers only the
            time until the response begins. For responses of unbounded size. Unit: seconds.
        on_begin : callable
            Called with the status when the head of the response is complete.
        headers : dict, default=None
            Lists of header values by header name, all in bytes.
        peer : Peer, default=None
            The process that the request is meant for. Only connections that lead to this process
            are used; each new one is checked first, and an error of the check is that of the call.
        """
        try:
            address, request = make_request(method, url, body, headers)
        except InvalidRequestError:
            return fail()
        limit = TimeLimit(clock=self.clock, timeout=timeout, idle_timeout=idle_timeout)
        on_data = limit.progress if idle_timeout is not None else _no_op
        exchange = Exchange(on_begin=on_begin, on_data=on_data)
        call = limit.watch(exchange.done)
        self.n_calls += 1
        self.n_bytes_out += len(body) + HEAD_BYTES
        call.addCallbacks(self._count_response, _raise_if_not_sent, errbackArgs=(exchange,))
        due_at = self.clock.seconds() + held_s
        if self._send(address, request, exchange, peer):
            call.addErrback(self._close_stale_connections, address, due_at)
        return call

    def _count_response(self, result):
        self.n_bytes_in += len(result[1]) + HEAD_BYTES
        return result

    def post_json(self, url, value, *, timeout):
        """Post a value as JSON, see :meth:`call`."""
        return self.post(url, encode(value), timeout=timeout)

    def close(self):
        """Close the idle connections."""
        idle, self._idle = self._idle, {}
        for connection in [each for connections in idle.values() for each in connections]:
            connection.transport.loseConnection()

    # Connections

    def _send(self, address, request, exchange, peer):
        """Send a request; return whether it uses a kept connection."""
        name = peer.name if peer is not None else None
        self._close_connections_to_others(address, name)
        idle = self._idle.get(address)
        if idle:
            idle.pop().send(request, exchange)
            return True
        if self.max_open is not None and self._n_open[address] >= self.max_open:
            self._waiting.setdefault(address, deque()).append((request, exchange, peer))
            return False
        self._open(address, request, exchange, peer)
        return False

    def _open(self, address, request, exchange, peer):
        """Open a connection, and send a request over it."""
        name = peer.name if peer is not None else None
        self._n_open[address] += 1
        factory = Factory.forProtocol(
            lambda: HttpConnection(
                on_idle=lambda connection: self._keep(address, connection),
                on_closed=lambda connection: self._discard(address, connection),
                peer_name=name,
                is_checked=peer is None,
            )
        )
        endpoint = TCP4ClientEndpoint(self.clock, *address, timeout=self.connect_timeout)
        connecting = endpoint.connect(factory)
        connecting.addErrback(self._not_connected, address)
        connecting.addCallback(self._connected, request, exchange, peer)
        connecting.addErrback(exchange.fail)
        # A call that is cancelled while the connection opens must not be sent afterwards.
        exchange.connection = _PendingConnection(connecting)

    def _not_connected(self, failure, address):
        self._connection_ended(address)
        return failure

    def _connection_ended(self, address):
        """Note that a connection is closed; send a waiting call over a new one."""
        self._n_open[address] -= 1
        if not self._n_open[address]:
            del self._n_open[address]
        call = self._next_waiting(address)
        if call is not None:
            self._open(address, *call)

    def _next_waiting(self, address):
        """Return the first call that waits for a connection and is not cancelled, or None."""
        waiting = self._waiting.get(address)
        while waiting:
            call = waiting.popleft()
            if not waiting:
                del self._waiting[address]
            if not call[1].is_cancelled:
                return call
        return None

    def _close_stale_connections(self, failure, address, due_at):
        """Close the connections idle since before the response to a timed-out call was due.

        The call was made over a kept connection. A device between the two ends that drops the state
        of one connection drops that of all open ones. Each retry would take the next of them and
        time out too, which would delay a configuration change by as many timeouts. The cost: a
        server that responds slowly needs new connections.
        """
        if failure.check(TimeoutError):
            idle = self._idle.get(address, ())
            for connection in [each for each in idle if each.idle_since <= due_at]:
                idle.remove(connection)
                connection.abort()
        return failure

    def _close_connections_to_others(self, address, name):
        """Close the idle connections to processes that are no longer the one at an address."""
        idle = self._idle.get(address, ())
        for connection in [each for each in idle if each.peer_name != name]:
            idle.remove(connection)
            connection.abort()

    def _connected(self, connection, request, exchange, peer):
        if exchange.is_cancelled:
            connection.abort()
        elif peer is None:
            connection.send(request, exchange)
        else:
            self._check_peer(connection, request, exchange, peer)

    def _check_peer(self, connection, request, exchange, peer):
        """Send the request of a call once the check of the connection's other end has succeeded."""
        check = Exchange(on_begin=_no_op, on_data=_no_op)
        host, port, path = _split_url(peer.url)
        self.n_calls += 1
        self.n_bytes_out += len(peer.body) + HEAD_BYTES
        connection.send(_request(b"POST", host, port, path, peer.body, peer.headers), check)
        # If the call is cancelled meanwhile, its exchange closes the connection.
        exchange.connection = connection
        check.done.addCallback(self._count_response)
        check.done.addCallback(peer.check)
        check.done.addCallbacks(
            self._peer_checked,
            self._peer_refused,
            callbackArgs=(connection, request, exchange),
            errbackArgs=(connection, exchange),
        )

    def _peer_checked(self, _, connection, request, exchange):
        connection.is_checked = True
        connection.send(request, exchange)

    def _peer_refused(self, failure, connection, exchange):
        connection.abort()
        if failure.check(ResponseLostError):
            # The request of the call itself was not sent.
            exchange.fail(ConnectError(string="the peer did not answer the check"))
        else:
            exchange.fail(failure)

    def _keep(self, address, connection):
        if not connection.is_checked:
            return
        call = self._next_waiting(address)
        if call is not None:
            request, exchange, peer = call
            if connection.peer_name == (peer.name if peer is not None else None):
                connection.send(request, exchange)
                return
            # The connection leads to another process; its end opens one for the call.
            self._waiting.setdefault(address, deque()).appendleft(call)
            connection.abort()
            return
        connection.idle_since = self.clock.seconds()
        self._schedule_idle_check()
        idle = self._idle.setdefault(address, [])
        if len(idle) < self.connections:
            idle.append(connection)
        else:
            connection.transport.loseConnection()

    def _discard(self, address, connection):
        idle = self._idle.get(address, ())
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(address, None)
        self._connection_ended(address)

    def _schedule_idle_check(self):
        if self.max_idle_s is not None and self._idle_check is None:
            self._idle_check = self.clock.callLater(self.max_idle_s, self._close_long_idle)

    def _close_long_idle(self):
        """Close the connections that have been idle for too long."""
        self._idle_check = None
        idle_since = self.clock.seconds() - self.max_idle_s
        expired = [
            (idle, connection)
            for idle in self._idle.values()
            for connection in idle
            if connection.idle_since <= idle_since
        ]
        for idle, connection in expired:
            # The connection must not be used while it closes.
            idle.remove(connection)
            connection.transport.loseConnection()
        if self._idle:
            self._schedule_idle_check()


def _raise_if_not_sent(failure, exchange):
    """Raise a ConnectError if a call has timed out while it waited for a connection."""
    if failure.check(TimeoutError) and exchange.connection is None:
        raise ConnectError(string="no connection was free in time") from failure.value
    return failure


class _PendingConnection:
    """Placeholder for a connection that is still being opened."""

    __slots__ = ("_connecting",)

    def __init__(self, connecting):
        self._connecting = connecting

    def abort(self):
        """Cancel the connection attempt."""
        self._connecting.cancel()


def make_request(method, url, body, headers):
    """Return the address (host and port) and the bytes of a request.

    Raises
    ------
    InvalidRequestError
        The URL or a header cannot be used.
    """
    try:
        host, port, path = _split_url(url)
        return (host, port), _request(method, host, port, path, body, headers)
    except ValueError as exc:
        raise InvalidRequestError(f"{url[:80]!r}: {exc}") from exc


def _request(method, host, port, path, body, headers):
    """Return a request as sent on the wire."""
    lines = [b"%b %b HTTP/1.1" % (method, path.encode("ascii"))]
    lines.append(b"Host: %b:%d" % (host.encode("ascii"), port))
    for name, values in (headers or {}).items():
        lines += [b"%b: %b" % (name, value) for value in values]
    if body or method != b"GET":
        lines.append(b"Content-Length: %d" % len(body))
    head = b"\r\n".join(lines)
    # A line break within a value would end its header and begin another.
    n_others = len(head.translate(None, _CONTROL_CHARACTERS))
    if len(head) - n_others != 2 * (len(lines) - 1):
        raise ValueError("a header or the path contains control characters")
    return b"%b\r\n\r\n%b" % (head, body)
