"""Listening and dialling on the reactor."""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from ..settings import parse_address


class ReactorNetwork:
    """Sockets of the process.

    Parameters
    ----------
    reactor : IReactorTCP
    """

    def __init__(self, *, reactor):
        self.reactor = reactor

    def listen(self, address, factory):
        """Listen; return an object with ``stopListening`` and the address in use."""
        target = parse_address(address)
        port = self.reactor.listenTCP(target.port, factory, interface=target.host, backlog=512)
        return port, f"{target.host}:{port.getHost().port}"

    def dial(self, address, protocol, timeout):
        """Connect `protocol`; the Deferred fails when nobody answers."""
        target = parse_address(address)
        endpoint = TCP4ClientEndpoint(self.reactor, target.host, target.port, timeout=timeout)
        return connectProtocol(endpoint, protocol)
