"""In-memory HTTP client of one process, with the connections that it keeps."""

from collections import defaultdict
from urllib.parse import urlsplit

from twisted.internet.defer import CancelledError, Deferred, TimeoutError, fail
from twisted.python.failure import Failure

from ..clients import InvalidRequestError, make_request

#: Size of the headers of a request or response. Unit: bytes.
HEAD_BYTES = 200

#: Processor time that a real process uses for one call: two system calls and parsing. Unit:
#: seconds.
CALL_CPU_S = 5e-5


class WireClient:
    """HTTP client with the interface of :class:`anvilflow.clients.HttpClient`.

    Makes calls over a :class:`WireNetwork`. Connections are modelled for calls that are meant for a
    certain peer: each new connection is checked first, and ends with its server. Other calls use
    kept connections only to a server that accepts no new ones.
    """

    def __init__(self, *, network, name, clock):
        self.network = network
        self.name = name
        self.clock = clock
        self.n_bytes_out = 0
        self.n_bytes_in = 0
        self._idle = defaultdict(list)

    def call(
        self,
        method,
        url,
        body,
        *,
        timeout,
        held_s=0.0,
        idle_timeout=None,
        on_begin=None,
        headers=None,
        peer=None,
    ):
        """Make a call; it fails with a TimeoutError if there is no answer within `timeout`.

        The request is built as by the real client, which refuses some URLs and headers.
        """
        try:
            make_request(method, url, body, headers)
        except InvalidRequestError:
            return fail()
        exchange = _Exchange(
            clock=self.clock,
            link=lambda: self.network.links.get(self.name),
            idle_timeout=idle_timeout,
            on_begin=on_begin,
        )
        self.n_bytes_out += len(body) + HEAD_BYTES
        self.clock.charge(CALL_CPU_S)
        done = self._connect_and_call(peer, exchange, method, url, body, headers)
        done.addCallback(self._count)
        done.addCallbacks(exchange.begin, exchange.end)
        answer = exchange.limit(timeout)
        return answer.addCallbacks(self._keep, self._drop_idle, (exchange,), {}, (exchange,), {})

    def _connect_and_call(self, peer, exchange, *call):
        """Make a call over an idle connection to a peer or a closing server, or over a new one."""
        exchange.peer_key = (urlsplit(call[1]).netloc, peer.name if peer is not None else None)
        server = self._pop_idle(exchange.peer_key)
        if server is not None and (peer is not None or server in self.network.closing_servers):
            exchange.server = server
            exchange.is_kept = True
            return self.network.make_call(self.name, self.clock, *call, opened_to=server)
        exchange.server = self.network.servers.get(exchange.peer_key[0])
        if peer is not None:
            self.clock.charge(CALL_CPU_S)
        return self.network.make_call(self.name, self.clock, *call, peer=peer)

    def _pop_idle(self, key):
        """Return the server of an idle connection that is not known to be closed, or None."""
        idle = self._idle[key]
        while idle:
            server = idle.pop()
            if server not in self.network.ended_servers:
                return server
        return None

    def _keep(self, answer, exchange):
        """Keep the connection of a call that was answered."""
        self._idle[exchange.peer_key].append(exchange.server)
        return answer

    def _drop_idle(self, failure, exchange):
        """Close the idle connections after a time-out on one of them, as the real client does."""
        if failure.check(TimeoutError) and exchange.is_kept:
            self._idle[exchange.peer_key].clear()
        return failure

    def _count(self, result):
        self.n_bytes_in += len(result[1]) + HEAD_BYTES
        return result

    def post(self, url, body, *, timeout, held_s=0.0, headers=None, peer=None):
        """Make a POST request with bytes."""
        return self.call(b"POST", url, body, timeout=timeout, headers=headers, peer=peer)

    def get(self, url, *, timeout):
        """Make a GET request."""
        return self.call(b"GET", url, b"", timeout=timeout)


class _Exchange:
    """One call of a process and its response, whose body may arrive over a slow link.

    Parameters
    ----------
    clock : IReactorTime
        Clock of the calling process.
    link : callable
        Returns the SlowLink for the response, or None if the response arrives immediately.
    idle_timeout : float or None
        Maximum pause between parts of the response; None: only the whole response is limited.
        Unit: seconds.
    on_begin : callable or None
        Called with the status when the headers of the response arrive.
    """

    def __init__(self, *, clock, link, idle_timeout, on_begin):
        self.clock = clock
        self._idle_timeout = idle_timeout
        self._on_begin = on_begin
        self._find_link = link
        self._link = None
        self._answer = Deferred(self._cancelled)
        self._timeout_call = None
        self._transfer = None
        self.peer_key = None
        self.server = None
        self.is_kept = False

    @property
    def is_over(self):
        """Whether the call was answered, has failed or was cancelled."""
        return self._answer.called

    def limit(self, timeout):
        """Start the time-out; return the Deferred of the response, which fails after `timeout`."""
        self._timeout_call = self.clock.callLater(
            timeout, self.end, Failure(TimeoutError("no answer"))
        )
        return self._answer

    def begin(self, result):
        """Process the headers of the response and begin to receive its body."""
        if self._answer.called:
            return
        if self._on_begin is not None:
            self._on_begin(result[0])
        self._progress()
        self._link = self._find_link()
        if self._link is None:
            self.end(result)
            return
        self._transfer = self._link.receive(
            len(result[1]) + HEAD_BYTES, on_data=self._progress, on_end=lambda: self.end(result)
        )

    def _progress(self):
        if self._idle_timeout is not None:
            self._timeout_call.reset(self._idle_timeout)

    def end(self, result):
        """Fire the Deferred with the complete response or a failure, and release the link."""
        if self._timeout_call.active():
            self._timeout_call.cancel()
        if self._transfer is not None:
            self._link.drop(self._transfer)
        if not self._answer.called:
            self._answer.callback(result)

    def _cancelled(self, _):
        self.end(Failure(CancelledError()))
