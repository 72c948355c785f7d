"""HTTP calls with a time limit, over connections that are kept open."""

from twisted.internet.defer import CancelledError, TimeoutError, inlineCallbacks, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseNeverReceived,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from ..utils import encode
from ._http_body import BodyReader, TimeLimit


@implementer(IBodyProducer)
class _Body:
    """A body that is written whole, in the same write as the request's head."""

    def __init__(self, *, body):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer):
        consumer.write(self.body)
        return succeed(None)

    def stopProducing(self):
        """Nothing is left to stop."""

    pauseProducing = resumeProducing = stopProducing


@implementer(IStreamClientEndpoint)
class _Endpoint:
    """A TCP endpoint whose connections send small writes at once.

    With Nagle's algorithm on, a request's second segment waits for the acknowledgement of the
    first, which the other end delays: every so often a call of 20 ms took more than 200 ms.
    """

    def __init__(self, *, clock, uri, timeout):
        self.inner = TCP4ClientEndpoint(clock, uri.host.decode("ascii"), uri.port, timeout=timeout)

    def connect(self, factory):
        return self.inner.connect(factory).addCallback(_set_no_delay)


def _set_no_delay(protocol):
    protocol.transport.setTcpNoDelay(True)
    return protocol


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connects by IP number, without a look-up of names."""

    def __init__(self, *, clock, timeout):
        self.clock = clock
        self.timeout = timeout

    def endpointForURI(self, uri):
        return _Endpoint(clock=self.clock, uri=uri, timeout=self.timeout)


#: Heads of a request and its answer, as seen on the wire with these libraries. Unit: bytes.
HEAD_BYTES = 330

#: Failures before anything of the request left the process: it certainly had no effect.
NOT_SENT = (ConnectError, DNSLookupError, RequestNotSent)


def _nothing(_):
    """Take no notice."""


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
    """

    def __init__(self, *, clock, connections=8, connect_timeout=1.0):
        self.clock = clock
        self.connections = connections
        self.connect_timeout = connect_timeout
        self.n_calls = 0
        self.n_bytes = 0
        self._pool = HTTPConnectionPool(clock, persistent=True)
        self._pool.maxPersistentPerHost = connections
        # A request that fails on a kept connection must not be sent again behind our back: it may
        # have run already, and whether it may run twice is not for the transport to decide.
        self._pool.retryAutomatically = False
        endpoints = _EndpointFactory(clock=clock, timeout=connect_timeout)
        self._agent = Agent.usingEndpointFactory(clock, endpoints, pool=self._pool)

    def post(self, url, body, *, timeout, headers=None):
        """Post bytes, see :meth:`call`."""
        return self.call(b"POST", url, body, timeout=timeout, headers=headers)

    def get(self, url, *, timeout):
        """Get a resource, see :meth:`call`."""
        return self.call(b"GET", url, b"", timeout=timeout)

    @inlineCallbacks
    def call(
        self, method, url, body, *, timeout, idle_timeout=None, on_begin=_nothing, headers=None
    ):
        """Make a call; the Deferred fires with the status and the body, whole.

        Parameters
        ----------
        method : bytes
        url : str
        body : bytes
        timeout : float
            For the whole exchange, the answer's body included. Unit: seconds.
        idle_timeout : float, default=None
            Longest pause between two pieces of the answer; `timeout` then ends with the answer's
            beginning. For answers whose size others decide. Unit: seconds.
        on_begin : callable
            Called with the status when the head of the answer is there.
        headers : dict, default=None
        """
        # The agent below treq's client: parsing the URL, cookies and content encodings, which no
        # service here uses, took as long again as the exchange itself; and an instance that starts
        # again imports 35 ms less.
        response = self._agent.request(
            method,
            url.encode("ascii"),
            Headers(headers or {}),
            _Body(body=body) if body else None,
        )
        limit = TimeLimit(clock=self.clock, timeout=timeout, idle_timeout=idle_timeout)
        call = limit.watch(response.addCallback(_read, limit, on_begin))
        self.n_calls += 1
        result = yield call
        self.n_bytes += len(body) + len(result[1]) + HEAD_BYTES
        return result

    def post_json(self, url, value, *, timeout):
        """Post a value as JSON."""
        return self.post(url, encode(value), timeout=timeout)

    def close(self):
        """Close the kept connections."""
        return self._pool.closeCachedConnections()


def _read(response, limit, on_begin):
    on_begin(response.code)
    limit.progress()
    reader = BodyReader(on_data=limit.progress)
    response.deliverBody(reader)
    return reader.done.addCallback(lambda body: (response.code, body))


#: Failures after which a request may or may not have had its effect.
MAYBE_SENT = (
    TimeoutError,
    CancelledError,
    ResponseNeverReceived,
    RequestTransmissionFailed,
    ConnectionError,
)
