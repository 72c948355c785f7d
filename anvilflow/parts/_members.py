"""Membership: live instances, from the platform's delayed list and the peer connections."""

from msgspec import structs

from ..exceptions import PlatformError
from ..runtime import Part
from ._events import (
    LeavingChanged,
    LiveChanged,
    MembersListed,
    PeerDown,
    PeerLeaving,
    PeerUp,
    WorkersLeaving,
)

#: Age of the list below which peers' reports of leaving workers are ignored, because the list read
#: by this instance takes precedence. Unit: seconds.
_LIST_FRESH_S = 1.0

#: Number of periodic updates of the view within the suspect time.
_UPDATES_PER_SUSPECT_TIME = 3


class MembersPart(Part):
    """Determines the live instances from the membership list and the peer connections.

    An instance that is not leaving is live when it is connected. A listed instance without a
    connection is live until the suspect time (setting ``timing.suspect_s``) has passed since its
    last message or, if it was never connected, since it was first listed. The list alone would show
    a crashed instance as live for a minute. Connections alone would move all work away at each
    short interruption.

    Two instances may have different views for a while. This is safe because actions based on the
    view are fenced at the workers and in the table.
    """

    prefix = "members"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._listed = {}
        self._seen_at = {}
        self._connected = set()
        self._leaving = set()
        self._last_view = None
        self._read_at = 0.0

    def start(self):
        """Start polling the list and subscribe to events of the connections."""
        timing = self.context.settings.timing
        self.on(PeerUp, self._peer_up)
        self.on(PeerDown, self._peer_down)
        self.on(PeerLeaving, self._peer_leaving)
        self.on(WorkersLeaving, self._workers_leaving)
        self.on(LeavingChanged, lambda *_: self._update_view())
        self.every(timing.membership_poll_s, self._poll)
        period = timing.suspect_s / _UPDATES_PER_SUSPECT_TIME
        self.every(period, self._update_view, delay=period)

    def dump(self):
        """Return the live, leaving, connected and listed instances."""
        return {
            "live": list(self.context.live),
            "leaving": sorted(self._leaving),
            "connected": sorted(self._connected),
            "listed": sorted(self._listed),
        }

    def _poll(self):
        done = self.context.membership.read()
        done.addCallbacks(self._list_read, self._poll_failed)
        return done

    def _poll_failed(self, failure):
        failure.trap(PlatformError)
        self.log.debug("Membership list not read: {}.", failure.value)

    def _list_read(self, listing):
        now = self.now
        self._read_at = now
        self._listed = {member.name: member for member in listing.members}
        for name in self._listed:
            self._seen_at.setdefault(name, now)
        self.post(MembersListed(members=listing.members))
        self._update_view()

    def _peer_up(self, _, event):
        self._connected.add(event.instance)
        self._leaving.discard(event.instance)
        self._update_view()

    def _peer_down(self, _, event):
        self._connected.discard(event.instance)
        # The suspect time counts from the last frame of the peer. When the connection was dropped
        # because the peer was unresponsive, the suspect time has already passed. To let it pass
        # once more would double the time until the take-over.
        self._seen_at[event.instance] = event.heard_at

    def _peer_leaving(self, _, event):
        if event.instance not in self._leaving:
            self._leaving.add(event.instance)
            self._update_view()

    def _workers_leaving(self, _, event):
        """Apply a peer's report of leaving workers when the last read of the list is too old.

        When only some instances can read the list, the others would otherwise continue to place
        work on workers that are leaving.
        """
        if self.now - self._read_at < _LIST_FRESH_S:
            return
        for name in event.workers:
            member = self._listed.get(name)
            if member is not None and member.state != "leaving":
                self._listed[name] = structs.replace(member, state="leaving")
                self._update_view()

    def _update_view(self):
        live = tuple(sorted(name for name in self._known_instances() if self._is_live(name)))
        workers = {name: member for name, member in self._listed.items() if member.role == "worker"}
        view = (live, workers)
        if view == self._last_view:
            return
        self._last_view = view
        self.context.live = live
        self.context.workers = workers
        self.post(LiveChanged(live=live, workers=workers))

    def _known_instances(self):
        instances = {name for name, member in self._listed.items() if member.role == "instance"}
        return instances | self._connected | {self.context.name}

    def _is_live(self, name):
        if name == self.context.name:
            return not self.context.leaving
        if name in self._leaving:
            return False
        member = self._listed.get(name)
        if member is not None and member.state == "leaving":
            return False
        if name in self._connected:
            return True
        return self.now - self._seen_at.get(name, 0.0) < self.context.settings.timing.suspect_s
