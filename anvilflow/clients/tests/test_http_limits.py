"""Limits on the open and idle connections of the HTTP client, on an in-memory reactor."""

from twisted.internet.error import ConnectError

from anvilflow.clients import Peer

from .test_http import RESPONSE, URL, _Server


def test_call_beyond_the_limit_is_sent_over_the_next_free_connection():
    """Guards against more connections than a server accepts."""
    server = _Server(max_open=1)
    server.call()
    server.call()
    protocol = server.accept()
    assert len(server.clock.tcpClients) == 1
    protocol.dataReceived(RESPONSE)
    protocol.dataReceived(RESPONSE)
    assert server.results == [(200, b"ok"), (200, b"ok")]


def test_call_that_waits_is_sent_when_a_connection_ends():
    """Guards against a call that waits for a connection that is gone."""
    server = _Server(max_open=1)
    server.call()
    server.call()
    server.accept()
    server.transports[0].loseConnection()
    server.accept().dataReceived(RESPONSE)
    assert server.results[1] == (200, b"ok")


def test_call_that_waits_is_sent_after_a_connection_was_refused():
    """Guards against a limit that is used up by attempts to connect."""
    server = _Server(max_open=1)
    server.call()
    server.call()
    server.clock.tcpClients[0][2].clientConnectionFailed(None, ConnectError())
    assert len(server.clock.tcpClients) == 2


def test_call_that_times_out_while_it_waits_was_not_sent():
    """Guards against a stop, and a wait for its answer, of a start that was never sent."""
    server = _Server(max_open=1)
    server.call(timeout=2.0)
    protocol = server.accept()
    server.call(timeout=0.4)
    server.clock.advance(0.5)
    assert server.results[0].check(ConnectError)
    sent = server.transports[0].value()
    protocol.dataReceived(RESPONSE)
    assert server.transports[0].value() == sent


def test_call_for_another_process_does_not_use_the_free_connection():
    """Guards against a waiting call that reaches another process than it is meant for."""
    server = _Server(max_open=1)
    server.call()
    protocol = server.accept()
    peer = Peer(name="i-1@2", url=URL, body=b"{}", headers={}, check=lambda result: result)
    server.call(peer=peer)
    protocol.dataReceived(RESPONSE)
    assert not server.transports[0].connected
    protocol = server.accept()
    protocol.dataReceived(RESPONSE)
    protocol.dataReceived(RESPONSE)
    assert server.results == [(200, b"ok"), (200, b"ok")]


def test_idle_connection_is_closed_after_its_time():
    """Guards against idle connections that use up the limit of a server."""
    server = _Server(max_idle_s=1.0)
    server.call()
    protocol = server.accept()
    protocol.dataReceived(RESPONSE)
    server.clock.advance(0.6)
    server.call()
    protocol.dataReceived(RESPONSE)
    server.clock.advance(0.9)
    assert server.transports[0].connected
    server.clock.advance(1.1)
    assert not server.transports[0].connected
    server.call()
    assert len(server.clock.tcpClients) == 2
