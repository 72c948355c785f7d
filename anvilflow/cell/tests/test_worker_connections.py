"""Connections of all instances to one worker, which accepts a limited number."""

from twisted.internet.testing import MemoryReactorClock

from anvilflow.cell._daemon import make_worker_http
from anvilflow.clients.tests.test_http import RESPONSE, _Transport

#: Connections that a worker accepts, of all instances and of those that have lost power.
WORKER_CONNECTIONS = 64

N_INSTANCES = 16
N_STARTS = 10


class _Worker:
    """Worker that answers all calls, one for each connection and round."""

    def __init__(self, clock):
        self.clock = clock
        self.transports = []

    @property
    def n_open(self):
        """Number of connections that are not closed, also of instances without power."""
        return sum(transport.connected for transport in self.transports)

    def answer(self):
        """Answer the calls over all connections, also new ones; return how many were open."""
        for _, _, factory, *_ in self.clock.tcpClients[len(self.transports) :]:
            transport = _Transport()
            transport.protocol = factory.buildProtocol(None)
            self.transports.append(transport)
            transport.protocol.makeConnection(transport)
        n_open = self.n_open
        for transport in self.transports:
            if transport.connected and transport.value():
                transport.clear()
                transport.protocol.dataReceived(RESPONSE)
        return n_open


def _send_starts(clock, worker):
    """Let new instances send many starts each; return the results and the most connections."""
    results = []
    for client in [make_worker_http(clock) for _ in range(N_INSTANCES)]:
        for _ in range(N_STARTS):
            client.post("http://w:1/start", b"{}", timeout=0.4).addBoth(results.append)
    return results, max(worker.answer() for _ in range(N_STARTS))


def test_worker_has_connections_left_after_all_instances_lost_power():
    """Guards against starts and stops without an answer at workers that reset connections."""
    clock = MemoryReactorClock()
    worker = _Worker(clock)
    results, n_most = _send_starts(clock, worker)
    assert n_most <= WORKER_CONNECTIONS
    clock.advance(5.0)
    n_left = worker.n_open
    clock.calls.clear()
    results_after, n_most = _send_starts(clock, worker)
    assert n_left + n_most <= WORKER_CONNECTIONS
    assert results + results_after == [(200, b"ok")] * 2 * N_INSTANCES * N_STARTS
