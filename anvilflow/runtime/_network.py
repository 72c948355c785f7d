"""Listening and outgoing TCP connections on the reactor."""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from ..settings import parse_address


class ReactorNetwork:
    """Opens the TCP sockets of the process.

    Parameters
    ----------
    reactor : IReactorTCP
    """

    def __init__(self, *, reactor):
        self.reactor = reactor

    def listen(self, address, factory):
        """Listen on `address`; return an object with ``stopListening`` and the bound address."""
        target = parse_address(address)
        port = self.reactor.listenTCP(target.port, factory, interface=target.host, backlog=512)
        return port, f"{target.host}:{port.getHost().port}"

    def dial(self, address, protocol, timeout):
        """Connect `protocol`; the Deferred fails without a connection after `timeout` seconds."""
        target = parse_address(address)
        endpoint = TCP4ClientEndpoint(self.reactor, target.host, target.port, timeout=timeout)
        return connectProtocol(endpoint, protocol)
