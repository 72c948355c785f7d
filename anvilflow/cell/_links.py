"""Connections between instances: one from each instance to the leader, with calls both ways."""

from twisted.internet.defer import Deferred, TimeoutError, fail, maybeDeferred

from ..exceptions import NotReadyError, PeerTimeoutError
from ..peers import Link, LinkFactory
from ..peers.gen.ttypes import (
    AdviceCall,
    AdviceReply,
    Hello,
    HomeBeat,
    JobCall,
    JobReply,
    WorkerAnswer,
    WorkerOrder,
)
from ..runtime import Part
from ._leader_eligibility import rank_candidates, reported_cpu_milli

#: Maximum number of messages queued on one link.
QUEUE_LIMIT = 5000

#: Timeout of a connection to another instance. One-way latency is about 1 ms. Unit: seconds.
DIAL_TIMEOUT_S = 0.4

#: Timeout of the heartbeat by which an instance shows that it is the leader; a leader sends it
#: right after its hello. Unit: seconds.
LEADER_REPLY_TIMEOUT_S = 0.15

#: Maximum number of successors whose addresses the leader sends. The next leader is one of the
#: first, and in a cell of 44 instances each address is sent 220 times a second.
MAX_SUCCESSOR_ADDRESSES = 3

#: Time by which an instance must have started after this one to count as restarted: in a cell that
#: is started as a whole, the instances start within seconds of each other. Unit: seconds.
MIN_START_GAP_S = 4.0

#: Time for which the leader keeps the addresses of instances that have disconnected. When a leader
#: is deposed all others leave it for the next leader within milliseconds, and it detects that it
#: was deposed up to a second later; then it asks them for the new leader. Unit: seconds.
RECENT_PEER_S = 5.0


class LinksPart(Part):
    """Owns the connections between instances.

    Notes
    -----
    An instance keeps one connection, to the leader; the leader has one from each other instance.
    With 41 instances these are 40 connections, where a full mesh would have 820.
    """

    prefix = "links"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.peers = {}
        self.leader_link = None
        self._calls = {}
        self._leader_requests = {}
        self._recent_peers = {}
        self._restarted = set()
        self._n_calls = 0
        self._n_bytes_out = 0
        self._n_bytes_in = 0
        self._stopped = False

    def start(self):
        """Listen for connections of other instances."""
        port, address = self.context.network.listen(
            self.context.settings.listen.peers, LinkFactory(make_link=self._make_link)
        )
        self._stack.callback(port.stopListening)
        self.log.info("listening to instances", address=address)
        self.context.links = self

    def stop(self):
        """Close all connections."""
        self._stopped = True
        self.context.links = None
        self.leave_leader()
        for link in list(self.peers.values()):
            link.abort()
        super().stop()

    def _make_link(self):
        context = self.context
        hello = Hello(
            instance=context.name,
            incarnation=context.incarnation,
            failure_domain=context.settings.failure_domain,
            link_mbps=round(context.settings.link_mbps or 0),
            address=context.settings.listen.peers_address,
            cpu_milli=context.settings.cpu_milli,
            carries=True,
            up_s=int(context.up_s),
            checks_incarnations=True,
        )
        return Link(hello=hello, clock=context.clock, queue_limit=QUEUE_LIMIT, events=self)

    @property
    def reaches_home(self):
        """Whether this instance is the leader or is connected to it."""
        return self.context.leader is not None or self.leader_link is not None

    @property
    def n_bytes_out(self):
        """Bytes sent to other instances so far."""
        return self._n_bytes_out + sum(link.n_bytes_out for link in self._open_links())

    @property
    def n_bytes_in(self):
        """Bytes received from other instances so far."""
        return self._n_bytes_in + sum(link.n_bytes_in for link in self._open_links())

    def _open_links(self):
        leader = (self.leader_link,) if self.leader_link is not None else ()
        return [*self.peers.values(), *leader]

    @property
    def successors(self):
        """Names of the connected instances in the order in which they should become leader."""
        hellos = [link.peer for link in self.peers.values()]
        return [hello.instance for hello in rank_candidates(hellos, self._restarted)]

    @property
    def best_successor_cpu_milli(self):
        """CPU capacity of the best connected instance, or 0. Unit: thousandths of a core."""
        hellos = rank_candidates(link.peer for link in self.peers.values())
        return reported_cpu_milli(hellos[0]) if hellos else 0

    @property
    def successor_addresses(self):
        """Addresses of the first successors, with instances that disconnected a moment ago."""
        since = self.now - RECENT_PEER_S
        hellos = {name: hello for name, (hello, at) in self._recent_peers.items() if at >= since}
        hellos.update((name, link.peer) for name, link in self.peers.items())
        first = rank_candidates(hellos.values(), self._restarted)
        return [hello.address for hello in first if hello.address][:MAX_SUCCESSOR_ADDRESSES]

    # Connecting to the leader

    def ask_for_leader(self, address):
        """Connect to an instance; the Deferred fires with its :class:`LeaderReply`, or None.

        None means that the instance is not the leader or is unreachable.
        """
        done = self.dial(address)
        done.addCallback(self._await_leader_reply)
        done.addErrback(lambda _: None)
        return done

    def _await_leader_reply(self, link):
        self._leader_requests[link] = leader_reply = Deferred()
        leader_reply.addTimeout(LEADER_REPLY_TIMEOUT_S, self.context.clock)
        leader_reply.addErrback(self._leader_reply_failed, link)
        return leader_reply

    def _leader_reply_failed(self, failure, link):
        self._leader_requests.pop(link, None)
        link.abort()
        return failure

    def dial(self, address, timeout=DIAL_TIMEOUT_S):
        """Connect to an instance; the Deferred fires with the link when its hello has arrived."""
        link = self._make_link()
        link.ready = Deferred()
        ready = link.ready
        done = self.context.network.dial(address, link, timeout)
        done.addErrback(self._dial_failed, link)
        ready.addTimeout(timeout, self.context.clock)
        ready.addErrback(self._dial_timed_out, link)
        return ready

    def _dial_failed(self, failure, link):
        ready, link.ready = link.ready, None
        if ready is not None and not ready.called:
            ready.errback(failure)

    def _dial_timed_out(self, failure, link):
        link.ready = None
        link.abort()
        return failure

    def follow_leader(self, link):
        """Use `link` as the connection to the leader; close the one used before."""
        if self.leader_link is not None and self.leader_link is not link:
            self.leader_link.abort()
        self.leader_link = link

    def leave_leader(self):
        """Close the connection to the leader."""
        link, self.leader_link = self.leader_link, None
        if link is not None:
            link.abort()

    # Link events

    def link_up(self, link):
        """Handle the hello of the other end."""
        ready, link.ready = link.ready, None
        if ready is not None:
            ready.callback(link)
            return
        self.peers[link.peer.instance] = link
        self._note_restart(link.peer)
        if self.context.leader is not None:
            link.send(self.context.leader.heartbeat())

    def _note_restart(self, hello):
        """Record whether an instance started after this one."""
        is_later = hello.up_s is not None and hello.up_s < self.context.up_s - MIN_START_GAP_S
        if is_later:
            self._restarted.add(hello.instance)
        else:
            self._restarted.discard(hello.instance)

    def link_down(self, link):
        """Handle the loss of a connection: pending calls over it fail."""
        self._n_bytes_out += link.n_bytes_out
        self._n_bytes_in += link.n_bytes_in
        for call, (used, done) in list(self._calls.items()):
            if used is link:
                del self._calls[call]
                done.errback(PeerTimeoutError("the connection to the other instance is gone"))
        if link is self.leader_link:
            self.leader_link = None
            if not self._stopped:
                self.post(LeaderLinkLost())
        if link.peer is not None and self.peers.get(link.peer.instance) is link:
            del self.peers[link.peer.instance]
            self._recent_peers[link.peer.instance] = (link.peer, self.now)
        leader_request = self._leader_requests.pop(link, None)
        if leader_request is not None:
            leader_request.errback(PeerTimeoutError("the connection to the other instance is gone"))

    def link_broken(self, link, error):
        """Log a frame that could not be decoded."""
        self.log.warning("instance sent a malformed frame", error=str(error))

    def link_message(self, link, body):
        """Dispatch a message by its type."""
        match body:
            case JobReply() | AdviceReply() | WorkerAnswer():
                _, done = self._calls.pop(body.call, (None, None))
                if done is not None:
                    done.callback(body)
            case HomeBeat():
                if body.unanswered_starts:
                    now = self.context.clock.seconds()
                    self.context.unanswered_starts.adopt(body.unanswered_starts, now)
                leader_request = self._leader_requests.pop(link, None)
                if leader_request is not None:
                    leader_request.callback(LeaderReply(link=link, heartbeat=body))
                elif link is self.leader_link:
                    if body.sent_ms is not None and self.context.relay is not None:
                        self.context.relay.record_message_age(link, body.sent_ms)
                    self.context.bus.post(body, source=link.peer.instance)
            case JobCall():
                self._serve_job(link, body)
            case AdviceCall():
                self._serve_advice(link, body)
            case WorkerOrder():
                if self.context.relay is not None:
                    self.context.relay.serve(link, body)

    # Calls

    def call_leader(self, timeout, **values):
        """Make a :class:`JobCall` to the leader, which may be this instance."""
        if self.context.leader is not None:
            return self.context.leader.serve(JobCall(call=0, **values))
        if self.leader_link is None:
            return fail(NotReadyError("no home is known"))
        return self._call(self.leader_link, JobCall, timeout, values)

    def request_advice(self, instance, timeout, **values):
        """Make an :class:`AdviceCall` to an instance that is connected here."""
        link = self.peers.get(instance)
        if link is None:
            return fail(NotReadyError(f"{instance} is not connected"))
        return self._call(link, AdviceCall, timeout, values)

    def call_relay(self, instance, timeout, **values):
        """Make a :class:`WorkerOrder` to an instance that is connected here."""
        link = self.peers.get(instance)
        if link is None:
            return fail(NotReadyError(f"{instance} is not connected"))
        return self._call(link, WorkerOrder, timeout, values)

    def _call(self, link, kind, timeout, values):
        self._n_calls += 1
        number = self._n_calls
        done = Deferred()
        self._calls[number] = (link, done)
        if not link.send(kind(call=number, **values)):
            del self._calls[number]
            return fail(NotReadyError("the connection takes no more messages"))
        done.addTimeout(timeout, self.context.clock)
        done.addErrback(self._call_failed, number)
        return done

    def _call_failed(self, failure, number):
        self._calls.pop(number, None)
        if failure.check(TimeoutError):
            raise PeerTimeoutError("the other instance did not answer in time") from failure.value
        return failure

    def _serve_job(self, link, body):
        leader = self.context.leader
        if leader is None:
            link.send(JobReply(call=body.call, outcome="not home", count=0))
            return
        done = maybeDeferred(leader.serve, body)
        done.addCallback(self._reply_job, link, body.call)
        done.addErrback(self._refuse_job, link, body.call)

    def _reply_job(self, reply, link, call):
        reply.call = call
        link.send(reply)

    def _refuse_job(self, failure, link, call):
        self.log.info("job call from another instance failed", error=str(failure.value))
        link.send(JobReply(call=call, outcome="failed", count=0))

    def _serve_advice(self, link, body):
        done = self.context.advice.ask(body.step, body.workers)
        done.addCallbacks(
            lambda advice: AdviceReply(
                call=body.call,
                workers=list(advice.tickets),
                tickets=list(advice.tickets.values()),
                valid_s=advice.valid_s,
                error="",
            ),
            lambda failure: AdviceReply(
                call=body.call, workers=[], tickets=[], valid_s=0.0, error=str(failure.value)
            ),
        )
        done.addCallback(link.send)


class LeaderReply:
    """Reply of an instance that is the leader.

    Parameters
    ----------
    link : Link
    heartbeat : HomeBeat
    """

    __slots__ = ("heartbeat", "link")

    def __init__(self, *, link, heartbeat):
        self.link = link
        self.heartbeat = heartbeat


class LeaderLinkLost:
    """Event: the connection to the leader is lost."""

    __slots__ = ()
