"""What the leader tells the other instances of itself."""

from ..peers.gen.ttypes import HomeBeat
from ._leader_eligibility import should_yield
from ._pending_jobs import PENDING_HEARTBEAT_S

#: Least time for which a leader keeps its place before it gives way to a stronger instance: what
#: its beginning costs is over by then. Unit: seconds.
MIN_LEADERSHIP_S = 3.0


class LeaderHeartbeat:
    """Tells that the leader lives, who should follow it, and whether one should now.

    Parameters
    ----------
    context : CellContext
    log : Logger
    leader : object
        Offers ``measure_load()``, ``term``, ``is_loading``, ``has_failed_loading``,
        ``is_store_unavailable``, ``loaded_at``, ``waiting()`` and ``start_waits()``.
    """

    def __init__(self, *, context, log, leader):
        self.context = context
        self.log = log
        self.leader = leader
        self._counted_at = float("-inf")

    def heartbeat(self):
        """Return what the leader says of itself."""
        config = self.context.config
        links = self.context.links
        return HomeBeat(
            term=self.leader.term,
            config_version=config.version if config is not None else 0,
            yielding=self._yields,
            successors=links.successors if links is not None else [],
            addresses=links.successor_addresses if links is not None else [],
            lag_ms=round(1000 * self.context.lag.lag_s),
            carried=self.context.uses_relays,
            sent_ms=round(1000 * self.context.clock.seconds()),
        )

    def full_heartbeat(self):
        """Return the same with what waits; kept here as well, for when another is the leader."""
        waiting = self.leader.waiting()
        self.context.waiting.record_report(waiting)
        waits = self.leader.start_waits()
        self.context.start_waits.record_report(waits)
        heartbeat = self.heartbeat()
        heartbeat.start_waits = {key: round(1000 * wait_s) for key, wait_s in waits.items()} or None
        heartbeat.waiting = waiting.counts
        heartbeat.jobs_version = waiting.version
        self._counted_at = self.context.clock.seconds()
        return heartbeat

    def heartbeat_due(self):
        """Measure how late this instance is, and tell."""
        lag = self.context.lag
        was_short = lag.is_short
        lag.called(self.context.clock.seconds())
        if lag.is_short and not was_short:
            self.context.meters.count("short_of_processor")
            self.log.warning("short of processor", lag_s=round(lag.lag_s, 3))
        self.leader.measure_load()
        self.tell()

    def tell(self):
        """Tell all instances that are connected."""
        is_leader = self.context.leader is self.leader or self.leader.is_loading
        if not is_leader or self.context.links is None:
            return
        is_due = self.context.clock.seconds() >= self._counted_at + PENDING_HEARTBEAT_S
        heartbeat = (
            self.full_heartbeat() if is_due and not self.leader.is_loading else self.heartbeat()
        )
        for link in self.context.links.peers.values():
            link.send(heartbeat)

    @property
    def _yields(self):
        """Whether another instance should take over."""
        is_away = self.leader.is_store_unavailable or self.leader.has_failed_loading
        return self.context.leaving or is_away or self._gives_way

    @property
    def _gives_way(self):
        """Whether it is short of processor while a much stronger instance is connected."""
        links = self.context.links
        loaded_at = self.leader.loaded_at
        if loaded_at is None or links is None or not self.context.lag.is_short:
            return False
        if self.context.clock.seconds() - loaded_at < MIN_LEADERSHIP_S:
            return False
        return should_yield(self.context.settings.cpu_milli, links.most_cpu_milli)
