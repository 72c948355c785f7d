"""Connections to the other instances, and the heartbeats sent over them."""

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

#: While its content does not change, one heartbeat in this many is sent.
_UNCHANGED_HEARTBEAT_INTERVAL = 2

#: Largest number of leaving workers in one heartbeat.
_MAX_LEAVING = 64


class PeersPart(Part):
    """Keeps one connection to each instance on the membership list.

    Of two instances, the one whose name sorts first dials. A connection over which nothing was
    received for ``suspect_s`` seconds is closed and dialled again. A device between the two ends
    may have lost the state of the connection: then the old connection never carries data again,
    but a new one works at once.
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
        self._last_content = None
        self._port = None

    def start(self):
        """Listen for peers, and start dialling and sending heartbeats."""
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
        """Queue a message to another instance; return False when it cannot be sent."""
        link = self._links.get(instance)
        return link is not None and link.send(body)

    # Events of links

    def link_up(self, link):
        """Register a link whose peer has sent its Hello; an older link to that peer is closed."""
        name = link.peer.instance
        former = self._links.get(name)
        if former is not None and former is not link:
            former.abort()
        self._links[name] = link
        self.post(PeerUp(instance=name, incarnation=link.peer.incarnation))

    def link_down(self, link):
        """Remove a link whose connection has ended."""
        self._open.discard(link)
        name = link.peer.instance if link.peer else None
        if name is not None and self._links.get(name) is link:
            del self._links[name]
            self.context.digests.pop(name, None)
            self.post(PeerDown(instance=name, heard_at=link.heard_at))

    def link_message(self, link, body):
        """Handle a heartbeat, or post any other message of a peer to the parts of this process."""
        name = link.peer.instance
        if isinstance(body, Heartbeat):
            self._heartbeat(name, body)
        else:
            self.context.bus.post(body, source=name)

    def link_broken(self, link, error):
        """Log that a peer sent an invalid frame; the link closes itself."""
        name = link.peer.instance if link.peer else "unknown"
        self.log.warning("Connection to {} closed because of an invalid frame: {}.", name, error)

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
        """Dial the listed instances that are not connected, also while the list is unavailable.

        The addresses are those of the last list that was read. Without this, an instance that loses
        its connections during an outage of the list would stay isolated until the list is available
        again, and would receive neither the leaving workers nor the load of other instances.
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
        self.log.debug("Dialling {} failed: {}.", name, failure.value)

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
        should_send = self._should_send(heartbeat)
        limit = self.now - self.context.settings.timing.suspect_s
        for link in list(self._open):
            if link.heard_at < limit:
                link.abort()
            elif link.peer is not None and should_send:
                link.send(heartbeat)

    def _should_send(self, heartbeat):
        """Whether to send the heartbeat: its content has changed, or it is every second one.

        A peer that receives half of the heartbeats of an idle instance still receives two or more
        within ``suspect_s`` seconds.
        """
        content = (
            heartbeat.revision,
            heartbeat.leaving,
            heartbeat.digest,
            heartbeat.leaving_workers,
        )
        if content == self._last_content and self._sequence % _UNCHANGED_HEARTBEAT_INTERVAL:
            return False
        self._last_content = content
        return True

    def _leaving_workers(self):
        workers = self.context.workers.values()
        return [member.name for member in workers if member.state == "leaving"][:_MAX_LEAVING]

    def _drop_all(self):
        self.context.peers = None
        for link in list(self._open):
            link.abort()
