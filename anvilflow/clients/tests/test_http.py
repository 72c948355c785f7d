"""Timeouts and persistent connections of the HTTP client, on an in-memory reactor."""

import pytest
from twisted.internet.defer import TimeoutError
from twisted.internet.testing import MemoryReactorClock, StringTransportWithDisconnection

from anvilflow.clients import NOT_SENT, HttpClient

URL = "http://10.0.0.1:8/rows"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"


class _Transport(StringTransportWithDisconnection):
    def setTcpNoDelay(self, enabled):
        """Do nothing: the in-memory transport does not delay writes."""

    def abortConnection(self):
        self.loseConnection()


class _Exchange:
    """A call whose response the test sends."""

    def __init__(self, **limits):
        self.clock = MemoryReactorClock()
        self.results = []
        done = HttpClient(clock=self.clock).call(b"GET", URL, b"", **limits)
        done.addBoth(self.results.append)
        self.protocol = self.clock.tcpClients[0][2].buildProtocol(None)
        self.transport = _Transport()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def receive(self, data, after=0.0):
        """Advance the clock by `after`, then send a piece of the response. Unit: seconds."""
        self.clock.advance(after)
        if self.transport.connected:
            self.protocol.dataReceived(data)


def test_response_that_times_out_midway_closes_its_connection():
    """A large response over a slow link exceeds its timeout, and the caller retries.

    Unless its connection is closed, the first response still arrives and takes the bandwidth of the
    next: a slow link stayed full for a minute while no read ever completed. The log showed
    `AlreadyCalledError` each time that a cancelled response completed.
    """
    exchange = _Exchange(timeout=0.8)
    exchange.receive(HEAD + b"x" * 100)
    exchange.receive(b"x" * 100, after=0.5)
    exchange.clock.advance(0.4)
    assert exchange.results[0].check(TimeoutError)
    assert not exchange.transport.connected


def test_response_that_was_cancelled_is_not_delivered():
    """Data that arrives after the timeout is dropped, without an error in the log."""
    exchange = _Exchange(timeout=0.8)
    exchange.receive(HEAD)
    exchange.clock.advance(0.9)
    exchange.receive(b"x" * 1000)
    assert len(exchange.results) == 1


@pytest.mark.parametrize("idle_timeout", [None, 0.8])
def test_idle_timeout_lets_a_slow_response_complete(idle_timeout):
    """A response takes 4 s, a piece every 0.4 s. A timeout for the whole ends every attempt."""
    exchange = _Exchange(timeout=0.8, idle_timeout=idle_timeout)
    exchange.receive(HEAD)
    for _ in range(10):
        exchange.receive(b"x" * 100, after=0.4)
    (result,) = exchange.results
    assert (result == (200, b"x" * 1000)) is (idle_timeout is not None)


def test_idle_timeout_ends_a_stalled_response():
    """The connection stops delivering data in the middle of the body, without a reset."""
    exchange = _Exchange(timeout=5.0, idle_timeout=0.8)
    exchange.receive(HEAD, after=4.0)
    exchange.receive(b"x" * 100, after=0.7)
    exchange.clock.advance(0.7)
    assert exchange.results == []
    exchange.clock.advance(0.2)
    assert exchange.results[0].check(TimeoutError)
    assert not exchange.transport.connected


def test_body_without_a_length_ends_with_its_connection():
    """The server states no length, sends no chunks and closes the connection after the body."""
    exchange = _Exchange(timeout=1.0)
    exchange.receive(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + b"x" * 10)
    exchange.transport.loseConnection()
    assert exchange.results == [(200, b"x" * 10)]


def test_truncated_body_is_a_failure():
    """The connection ends before the stated length has arrived."""
    exchange = _Exchange(timeout=1.0)
    exchange.receive(HEAD + b"x" * 10)
    exchange.transport.loseConnection()
    assert exchange.results[0].check(Exception)


def test_start_of_a_response_is_reported_with_its_status():
    """A caller that waits for a large response must recognize a refusal by its head."""
    begun = []
    exchange = _Exchange(timeout=1.0, on_begin=begun.append)
    exchange.receive(b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 10\r\n\r\n")
    assert begun == [429]
    assert exchange.results == []


class _Server:
    """A client on an in-memory reactor; the test sends the responses."""

    def __init__(self, **values):
        self.clock = MemoryReactorClock()
        self.client = HttpClient(clock=self.clock, **values)
        self.results = []
        self.transports = []

    def call(self, **limits):
        """Make a call and collect its result."""
        done = self.client.call(b"POST", URL, b"{}", **{"timeout": 1.0, **limits})
        done.addBoth(self.results.append)
        return done

    def accept(self):
        """Establish the next pending connection; return its protocol."""
        protocol = self.clock.tcpClients[len(self.transports)][2].buildProtocol(None)
        transport = _Transport()
        transport.protocol = protocol
        self.transports.append(transport)
        protocol.makeConnection(transport)
        return protocol


RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def test_connection_is_reused_for_the_next_call():
    """The second call uses the connection of the first; a request is complete, in one write."""
    server = _Server()
    server.call(headers={b"x-expect-instance": [b"i-1"]})
    protocol = server.accept()
    sent = server.transports[0].value()
    protocol.dataReceived(RESPONSE)
    server.call()
    protocol.dataReceived(RESPONSE)
    assert server.results == [(200, b"ok"), (200, b"ok")]
    assert len(server.clock.tcpClients) == 1
    head, body = sent.split(b"\r\n\r\n")
    assert head.startswith(b"POST /rows HTTP/1.1\r\nHost: 10.0.0.1:8\r\n")
    assert b"x-expect-instance: i-1" in head
    assert b"Content-Length: 2" in head
    assert body == b"{}"


def test_connection_that_the_server_has_closed_is_not_reused():
    """The server closes a kept connection; the next call uses a new one.

    Over the closed connection the call would fail without a sign whether it was processed.
    """
    server = _Server()
    server.call()
    server.accept().dataReceived(RESPONSE)
    server.transports[0].loseConnection()
    server.call()
    server.accept().dataReceived(RESPONSE)
    assert server.results == [(200, b"ok"), (200, b"ok")]


def test_concurrent_calls_use_separate_connections_of_which_few_are_kept():
    """Three calls are in progress at once; two of their connections are kept."""
    server = _Server(connections=2)
    for _ in range(3):
        server.call()
    for _ in range(3):
        server.accept()
    for transport in server.transports:
        transport.protocol.dataReceived(RESPONSE)
    assert [transport.connected for transport in server.transports] == [True, True, False]


def test_call_that_times_out_while_connecting_is_never_sent():
    """The call times out before the connection is open: nothing may be sent afterwards."""
    server = _Server()
    server.call(timeout=0.4)
    server.clock.advance(0.5)
    assert server.results[0].check(TimeoutError)
    assert server.clock.connectors[0].stoppedConnecting


def test_response_that_is_not_http_is_a_failure_and_closes_its_connection():
    """Another service listens at the address."""
    server = _Server()
    server.call()
    server.accept().dataReceived(b"220 mail.example ready\r\n")
    assert server.results[0].check(ConnectionError)
    assert not server.transports[0].connected


def test_unsolicited_bytes_close_their_connection():
    """A late second response on a kept connection must not be taken for that of the next call."""
    server = _Server()
    server.call()
    protocol = server.accept()
    protocol.dataReceived(RESPONSE)
    protocol.dataReceived(RESPONSE)
    assert not server.transports[0].connected
    server.call()
    assert len(server.clock.tcpClients) == 2


def test_second_response_in_the_same_data_is_dropped():
    """Both arrive in one piece of data; only the first is used, and the connection is closed."""
    server = _Server()
    server.call()
    server.accept().dataReceived(RESPONSE + RESPONSE)
    assert server.results == [(200, b"ok")]
    assert not server.transports[0].connected


def test_chunked_response_is_complete():
    """Each chunk states its length, and the data is split at arbitrary positions."""
    server = _Server()
    server.call()
    protocol = server.accept()
    response = (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    for byte in response:
        protocol.dataReceived(bytes([byte]))
    assert server.results == [(200, b"abcde")]


@pytest.mark.parametrize("safeguard", [True, False])
def test_retry_after_a_timeout_does_not_use_another_connection_that_may_be_dead(
    monkeypatch, safeguard
):
    """A configuration change or a command to a worker arrives late.

    A device between the two ends drops the state of all open connections, three of which are kept.
    A call over the first times out, and the next two attempts time out over the others.

    Evidence. Six real processes whose connections to the store stopped delivering right before a
    configuration change: one applied it after 2.4 s, a second timeout later than the others, which
    applied it after 1.1 to 1.3 s. With the safeguard all applied it within 1.2 s, in three runs.
    """
    if not safeguard:
        monkeypatch.setattr(
            HttpClient, "_close_stale_connections", lambda self, failure, *_: failure
        )
    server = _Server()
    for _ in range(3):
        server.call()
    for protocol in [server.accept() for _ in range(3)]:
        protocol.dataReceived(RESPONSE)
    server.clock.advance(1.0)
    server.call(timeout=0.5)
    server.clock.advance(0.6)
    assert server.results[3].check(TimeoutError)
    server.call()
    assert (len(server.clock.tcpClients) == 4) is safeguard


def test_connection_that_responded_meanwhile_is_kept_when_another_call_times_out():
    """One of two calls gets no response; the connection of the other works."""
    server = _Server()
    for _ in range(2):
        server.call()
    first, second = (server.accept() for _ in range(2))
    first.dataReceived(RESPONSE)
    second.dataReceived(RESPONSE)
    server.clock.advance(1.0)
    server.call(timeout=0.5)
    server.call(timeout=0.5)
    server.clock.advance(0.2)
    first.dataReceived(RESPONSE)
    server.clock.advance(0.4)
    server.call()
    assert len(server.clock.tcpClients) == 2


def test_connections_are_kept_when_a_call_over_a_new_one_times_out():
    """A new connection without a response is no sign that the kept connections are dead."""
    server = _Server()
    server.call()
    server.call(timeout=0.5)
    first, _ = (server.accept() for _ in range(2))
    first.dataReceived(RESPONSE)
    server.clock.advance(0.6)
    assert server.results[1].check(TimeoutError)
    server.call()
    assert len(server.clock.tcpClients) == 2


@pytest.mark.parametrize("held_s", [0.0, 1.0])
def test_connection_that_responded_before_a_held_response_was_due_is_closed(held_s):
    """A feed waits for a change, another call is answered, then all connections stop delivering.

    The response of the feed is due only after its wait. A connection that responded before that may
    be dead as well.

    Evidence. In a soak run all connections stopped delivering once and new ones worked. An instance
    logged four reads of the store without a response, the last one 3.5 s after the first.
    """
    server = _Server()
    for _ in range(2):
        server.call()
    first, second = (server.accept() for _ in range(2))
    first.dataReceived(RESPONSE)
    second.dataReceived(RESPONSE)
    server.call(timeout=2.0, held_s=held_s)
    server.clock.advance(0.5)
    server.call()
    first.dataReceived(RESPONSE)
    server.clock.advance(1.6)
    assert server.results[3].check(TimeoutError)
    server.call()
    assert len(server.clock.tcpClients) == (3 if held_s else 2)


@pytest.mark.parametrize(
    "address", ["::1:80", "[::1:80", "h\u00f4te:80", "10.0.0.1:99999", "10.0.0.1:x"]
)
def test_url_that_cannot_be_used_fails_through_the_deferred(address):
    """Guards against an address that ends its caller with an error that no handler sees."""
    client = HttpClient(clock=MemoryReactorClock())
    results = []
    client.post(f"http://{address}/rows", b"", timeout=1.0).addErrback(results.append)
    assert results[0].check(*NOT_SENT)


@pytest.mark.parametrize("value", [b"a\r\nx-y: z", b"a\nx", b"a\rx", b"a\x00", b"\x1b[2J", b"\x7f"])
def test_header_with_a_control_character_is_not_sent(value):
    """Guards against a value that ends its header and begins another."""
    clock = MemoryReactorClock()
    results = []
    client = HttpClient(clock=clock)
    call = client.post(URL, b"", timeout=1.0, headers={b"x-expect-instance": [value]})
    call.addErrback(results.append)
    assert results[0].check(*NOT_SENT)
    assert clock.tcpClients == []
