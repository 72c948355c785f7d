"""Connections to the other instances."""

from ..peers import Link, LinkFactory
from ..peers.gen.ttypes import Heartbeat, Hello
from ..runtime import Part
from ._events import (
    DigestReady,
    MembersListed,
    PeerDown,
    PeerLeaving,
    PeerUp,
    RevisionHint,
    WorkersLeaving,
)

#: Of heartbeats that say nothing new, one in so many is sent.
_QUIET_BEATS = 2

#: Leaving workers that a heartbeat names at the most.
_MAX_LEAVING = 64


class PeersPart(Part):
    """Keeps one connection to each instance on the membership list.

    Of two instances the one whose name comes first dials. A connection on which nothing was heard
    for the suspect time is dropped and dialled anew: something between the two ends may have lost
    track of it, so that it stays silent for good while a new one works at once.
    """

    prefix = "peers"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._links = {}
        self._dialling = set()
        self._members = []
        self._open = set()
        self._sequence = 0
        self._digest = None
        self._said = None
        self._port = None

    def start(self):
        """Listen and start heartbeats."""
        context = self.context
        factory = LinkFactory(make_link=self._make_link)
        self._port, context.peer_address = context.network.listen(
            context.settings.listen.peers, factory
        )
        self._stack.callback(self._port.stopListening)
        self._stack.callback(self._drop_all)
        self.on(MembersListed, self._members_listed)
        self.on(DigestReady, self._digest_ready)
        self.every(context.settings.timing.heartbeat_s, self._send_heartbeats)
        self.every(context.settings.timing.membership_poll_s, self._dial_missing)
        context.peers = self

    def dump(self):
        """Return the state of each connection."""
        now = self.now
        return {
            name: {
                "silent_s": round(now - link.heard_at, 3),
                "queued": link.n_queued,
                "sent": link.n_sent,
                "received": link.n_received,
                "bytes_out": link.n_bytes_out,
                "bytes_in": link.n_bytes_in,
            }
            for name, link in self._links.items()
        }

    def send_to(self, instance, body):
        """Queue a message to another instance; return False when it cannot go."""
        link = self._links.get(instance)
        return link is not None and link.send(body)

    # Events of links

    def link_up(self, link):
        """The peer has said who it is."""
        name = link.peer.instance
        former = self._links.get(name)
        if former is not None and former is not link:
            former.abort()
        self._links[name] = link
        self.post(PeerUp(instance=name, incarnation=link.peer.incarnation))

    def link_down(self, link):
        """The connection has ended."""
        self._open.discard(link)
        name = link.peer.instance if link.peer else None
        if name is not None and self._links.get(name) is link:
            del self._links[name]
            self.context.digests.pop(name, None)
            self.post(PeerDown(instance=name, heard_at=link.heard_at))

    def link_message(self, link, body):
        """A message came in."""
        name = link.peer.instance
        if isinstance(body, Heartbeat):
            self._heartbeat(name, body)
        else:
            self.context.bus.post(body, source=name)

    def link_broken(self, link, error):
        """The peer sent what cannot be read."""
        name = link.peer.instance if link.peer else "unknown"
        self.log.warning("Connection to {} dropped: {}.", name, error)

    # Internals

    def _make_link(self):
        context = self.context
        link = Link(
            hello=Hello(
                instance=context.name,
                incarnation=context.incarnation,
                failure_domain=context.settings.instance.failure_domain,
            ),
            clock=context.clock,
            queue_limit=context.settings.limits.peer_queue,
            events=self,
        )
        self._open.add(link)
        return link

    def _heartbeat(self, name, heartbeat):
        if heartbeat.digest is not None:
            self.context.digests[name] = heartbeat.digest
        if heartbeat.leaving:
            self.post(PeerLeaving(instance=name))
        if heartbeat.leaving_workers:
            self.post(WorkersLeaving(workers=heartbeat.leaving_workers))
        if heartbeat.revision > self.context.catalog.revision:
            self.post(RevisionHint(revision=heartbeat.revision))

    def _members_listed(self, _, event):
        self._members = [member for member in event.members if member.role == "instance"]
        self._dial_missing()

    def _dial_missing(self):
        """Dial those that are not connected, also while the list cannot be read.

        An instance that loses its connections during an outage of the list would otherwise stay
        alone until the list is back, and hear neither of leaving workers nor of load.
        """
        for member in self._members:
            if member.name > self.context.name:
                self._dial(member)

    def _dial(self, member):
        if member.name in self._links or member.name in self._dialling:
            return
        self._dialling.add(member.name)
        timeout = self.context.settings.timing.suspect_s
        done = self.context.network.dial(member.address, self._make_link(), timeout)
        done.addErrback(self._dial_failed, member.name)
        done.addBoth(lambda _: self._dialling.discard(member.name))

    def _dial_failed(self, failure, name):
        self.log.debug("No connection to {}: {}.", name, failure.value)

    def _digest_ready(self, _, event):
        self._digest = event.digest
        self.context.digests[self.context.name] = event.digest

    def _send_heartbeats(self):
        self._sequence += 1
        heartbeat = Heartbeat(
            sequence=self._sequence,
            revision=self.context.catalog.revision,
            leaving=self.context.leaving,
            digest=self._digest,
            leaving_workers=self._leaving_workers(),
        )
        is_news = self._is_news(heartbeat)
        limit = self.now - self.context.settings.timing.suspect_s
        for link in list(self._open):
            if link.heard_at < limit:
                link.abort()
            elif link.peer is not None and is_news:
                link.send(heartbeat)

    def _is_news(self, heartbeat):
        """Whether to send the heartbeat: it says something new, or every second one.

        A peer that hears half as many heartbeats of an idle instance still hears two or more
        within the suspect time.
        """
        said = (heartbeat.revision, heartbeat.leaving, heartbeat.digest, heartbeat.leaving_workers)
        if said == self._said and self._sequence % _QUIET_BEATS:
            return False
        self._said = said
        return True

    def _leaving_workers(self):
        workers = self.context.workers.values()
        return [member.name for member in workers if member.state == "leaving"][:_MAX_LEAVING]

    def _drop_all(self):
        self.context.peers = None
        for link in list(self._open):
            link.abort()
