"""In-memory HTTP calls in virtual time, with faults: loss, delays and late execution."""

from collections import Counter, defaultdict
from urllib.parse import parse_qsl, urlsplit

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from ..clients import ResponseLostError
from ..exceptions import AnvilflowError
from ._slow_link import SlowLink
from ._wire_client import HEAD_BYTES, WireClient

#: Header with the name of the calling process.
CALLER = b"x-caller"

#: Network delay between any two processes, one way. Unit: seconds.
ONE_WAY_DELAY_S = 0.001


class WireFaults:
    """Fault switches of one server.

    Parameters
    ----------
    refuses : bool
        Connections are refused.
    silent : bool
        Calls are accepted, but neither executed nor answered.
    status : int or None
        Every call is answered with this status and not executed.
    loses_answers : bool
        Calls are executed, but the answers are lost.
    late_s : float
        If not 0, calls are executed after this delay and not answered. Unit: seconds.
    slow_s : float
        Delay before calls are executed and answered. Unit: seconds.
    answer_delay_s : float
        Delay of the answers of calls that have been executed. Unit: seconds.
    only : set of str or None
        Names of the callers that the faults apply to; None: all.
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Switch off all faults."""
        self.refuses = False
        self.silent = False
        self.status = None
        self.loses_answers = False
        self.late_s = 0.0
        self.slow_s = 0.0
        self.answer_delay_s = 0.0
        self.only = None

    def apply_to(self, caller):
        """Return whether the faults apply to a caller."""
        return self.only is None or caller in self.only


class WireNetwork:
    """Connects clients to servers by address.

    Parameters
    ----------
    clock : Clock

    Notes
    -----
    `closing_servers` have closed their listening sockets and serve the connections that are open,
    `ended_servers` have ended, and the connections to them are known to be closed.

    `calls` counts calls by caller and address, `bytes_out` and `bytes_in` the bytes of requests
    and responses. `links` holds the bandwidth-limited links for responses and `send_links` those
    for requests, by the name of the calling process.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.servers = {}
        self.closing_servers = set()
        self.ended_servers = set()
        self.faults = {}
        self.links = {}
        self.send_links = {}
        self.calls = Counter()
        self.bytes_out = Counter()
        self.bytes_in = Counter()
        self._pending_calls = defaultdict(set)
        self._calls_in_server = defaultdict(set)
        self._dropped_answers = set()

    def drop_pending_answers(self, name):
        """Block for good the connections with pending calls of the process `name`.

        These calls are never answered, even once the response is ready. Later calls use new
        connections.
        """
        self._dropped_answers |= self._pending_calls[name]

    def reset_connections(self, server):
        """Fail the pending calls to a server, as the end of its process does."""
        for done, clock in self._calls_in_server.pop(server, ()):
            lost = Failure(ResponseLostError("the connection was reset"))
            self.clock.callLater(ONE_WAY_DELAY_S, clock.callLater, 0, _settle, done, lost)

    def stop_listening(self, address, server):
        """Refuse new connections to a server, which goes on serving those that are open."""
        if self.servers.get(address) is server:
            del self.servers[address]
            self.closing_servers.add(server)

    def end_server(self, address, server):
        """End a server's process: its connections are reset, new ones are refused."""
        self.stop_listening(address, server)
        self.closing_servers.discard(server)
        self.ended_servers.add(server)
        self.reset_connections(server)

    def slow_link(self, name, bytes_per_s):
        """Limit the bandwidth of responses to the process `name`; return the link."""
        self.links[name] = SlowLink(clock=self.clock, bytes_per_s=bytes_per_s)
        return self.links[name]

    def narrow_link(self, name, bytes_per_s):
        """Limit the bandwidth of the process `name` both ways; return the link for requests."""
        self.slow_link(name, bytes_per_s)
        self.send_links[name] = SlowLink(clock=self.clock, bytes_per_s=bytes_per_s)
        return self.send_links[name]

    def serve(self, address, server):
        """Route calls to `address` to ``server.handle(verb, path, query, body, headers)``.

        Return the :class:`WireFaults` of the address.
        """
        self.servers[address] = server
        self.closing_servers.discard(server)
        return self.faults.setdefault(address, WireFaults())

    def client(self, name, clock):
        """Return an HTTP client for the process `name`, which runs on `clock`."""
        return WireClient(network=self, name=name, clock=clock)

    def make_call(self, caller, clock, method, url, body, headers, *, opened_to=None, peer=None):
        """Make a call; return a Deferred that fires on `clock` with status and body, or never.

        `opened_to` is the server that the call's connection was opened to. If it is no longer at
        the address, and does not serve its open connections either, the connection has ended, and
        the call fails. With `peer`, a new connection
        is checked first; as for any connection, opening it takes no time.
        """
        parts = urlsplit(url)
        self.calls[caller, parts.netloc] += 1
        n_check_bytes = 0 if peer is None else len(peer.body) + HEAD_BYTES
        self.bytes_out[caller, parts.netloc] += len(body) + HEAD_BYTES + n_check_bytes
        faults = self.faults.get(parts.netloc)
        server = self.servers.get(parts.netloc) if opened_to is None else opened_to
        done = Deferred()
        self._pending_calls[caller].add(done)
        done.addBoth(self._remove_pending, caller, done)
        done.addCallback(self._count_answer, caller, parts.netloc)
        if opened_to is not None and not self._is_served(parts.netloc, opened_to):
            clock.callLater(ONE_WAY_DELAY_S, done.errback, Failure(ResponseLostError("ended")))
            return done
        if server is None or (faults.refuses and faults.apply_to(caller)):
            clock.callLater(ONE_WAY_DELAY_S, done.errback, Failure(ConnectionRefusedError()))
            return done
        headers = {**(headers or {}), CALLER: [caller.encode()]}
        call = (method, parts.path, dict(parse_qsl(parts.query)), body, headers)
        arrive = (
            ONE_WAY_DELAY_S,
            self._arrive,
            parts.netloc,
            server,
            faults,
            caller,
            clock,
            call,
            done,
            peer,
        )
        link = self.send_links.get(caller)
        if link is None:
            self.clock.callLater(*arrive)
            return done
        # Data that is already on the link arrives even if the sender has cancelled the call.
        link.receive(
            len(body) + HEAD_BYTES,
            on_data=lambda: None,
            on_end=lambda: self.clock.callLater(*arrive),
        )
        return done

    def _is_served(self, address, server):
        """Whether the open connections to a server are served."""
        return self.servers.get(address) is server or server in self.closing_servers

    def _count_answer(self, result, caller, address):
        self.bytes_in[caller, address] += len(result[1]) + HEAD_BYTES
        return result

    def _remove_pending(self, result, caller, done):
        self._pending_calls[caller].discard(done)
        return result

    def _arrive(self, address, server, faults, caller, clock, call, done, peer):
        is_affected = faults.apply_to(caller)
        if is_affected and faults.silent:
            return
        if is_affected and faults.status is not None:
            self._answer((faults.status, b""), clock, done)
            return
        if is_affected and faults.late_s:
            first = call if peer is None else _check_call(peer, caller)
            self.clock.callLater(faults.late_s, self._act_late, address, first)
            return
        delay = faults.slow_s if is_affected else 0.0
        self.clock.callLater(
            delay, self._act_and_answer, server, faults, caller, clock, call, done, peer
        )

    def _act_late(self, address, call):
        """Execute a call at whatever server is at the address by now."""
        server = self.servers.get(address)
        return self._act(server, call) if server is not None else None

    def _act(self, server, call):
        return maybeDeferred(server.handle, *call)

    def _act_and_answer(self, server, faults, caller, clock, call, done, peer):
        if server in self.ended_servers:
            clock.callLater(0, _settle, done, Failure(ResponseLostError("ended")))
            return
        self._calls_in_server[server].add((done, clock))
        done.addBoth(self._remove_from_server, server, done, clock)
        result = self._act(server, call if peer is None else _check_call(peer, caller))
        if faults.apply_to(caller) and faults.loses_answers:
            return
        if peer is not None:
            result.addCallback(peer.check)
            result.addCallback(lambda _: self._act(server, call))
        answer = (clock, done, faults.answer_delay_s if faults.apply_to(caller) else 0.0)
        result.addCallbacks(self._answer, self._refuse, answer, {}, (clock, done), {})
        result.addErrback(self._raise)

    def _remove_from_server(self, result, server, done, clock):
        self._calls_in_server[server].discard((done, clock))
        return result

    def _refuse(self, failure, clock, done):
        """Pass on why the check of a new connection has failed."""
        failure.trap(AnvilflowError)
        self.clock.callLater(ONE_WAY_DELAY_S, clock.callLater, 0, _settle, done, failure)

    def _answer(self, result, clock, done, delay_s=0.0):
        if done not in self._dropped_answers:
            arrives_in_s = ONE_WAY_DELAY_S + delay_s
            self.clock.callLater(arrives_in_s, clock.callLater, 0, _settle, done, result)

    def _raise(self, failure):
        failure.printTraceback()
        failure.raiseException()


def _check_call(peer, caller):
    """Return the call that checks a new connection to a peer."""
    headers = {**peer.headers, CALLER: [caller.encode()]}
    return (b"POST", urlsplit(peer.url).path, {}, peer.body, headers)


def _settle(done, result):
    if not done.called:
        done.callback(result)
