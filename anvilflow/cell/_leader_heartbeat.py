"""Heartbeats that the leader sends to the other instances."""

from ..peers.gen.ttypes import HomeBeat
from ._backlog_message import write_report
from ._leader_eligibility import should_yield
from ._pending_jobs import PENDING_REPORT_PERIOD_S

#: Least time for which an instance leads before it yields to one with more CPU capacity: the extra
#: load of taking over has passed by then. Unit: seconds.
MIN_LEADERSHIP_S = 3.0


class LeaderHeartbeat:
    """Sends heartbeats with the leader's successors and whether one of them should take over.

    Parameters
    ----------
    context : CellContext
    log : Logger
    leader : object
        Offers ``measure_load()``, ``term``, ``is_loading``, ``has_failed_loading``,
        ``is_store_unavailable``, ``loaded_at``, ``jobs_read_version``, ``pending_counts()`` and
        ``backlog()``.
    """

    def __init__(self, *, context, log, leader):
        self.context = context
        self.log = log
        self.leader = leader
        self._full_heartbeat_at = float("-inf")

    def heartbeat(self):
        """Return a heartbeat without the counts of pending jobs."""
        config = self.context.config
        links = self.context.links
        return HomeBeat(
            term=self.leader.term,
            config_version=config.version if config is not None else 0,
            yielding=self._should_hand_over,
            successors=links.successors if links is not None else [],
            addresses=links.successor_addresses if links is not None else [],
            lag_ms=round(1000 * self.context.lag.lag_s),
            carried=self.context.uses_relays,
            sent_ms=round(1000 * self.context.clock.seconds()),
            unanswered_starts=self._unanswered_starts(),
        )

    def _unanswered_starts(self):
        now = self.context.clock.seconds()
        return self.context.unanswered_starts.handover(now) or None

    def full_heartbeat(self):
        """Return a heartbeat with the counts of pending jobs and the expected waits of new jobs.

        Both are stored in the context as well, for the time after another instance becomes leader.
        """
        pending_counts = self.leader.pending_counts()
        self.context.pending_job_counts.record_report(pending_counts)
        report = self.leader.backlog()
        self.context.admission.record_report(report)
        heartbeat = self.heartbeat()
        write_report(heartbeat, report)
        heartbeat.waiting = pending_counts.counts
        heartbeat.jobs_version = pending_counts.version
        heartbeat.jobs_read_version = self.leader.jobs_read_version
        self._full_heartbeat_at = self.context.clock.seconds()
        return heartbeat

    def heartbeat_due(self):
        """Measure the lag and the load of this process, and send a heartbeat."""
        lag = self.context.lag
        was_short = lag.is_short_of_cpu
        lag.record_call(self.context.clock.seconds())
        if lag.is_short_of_cpu and not was_short:
            self.context.meters.count("short_of_processor")
            self.log.warning("short of processor", lag_s=round(lag.lag_s, 3))
        self.leader.measure_load()
        self.send_heartbeat()

    def send_heartbeat(self):
        """Send a heartbeat to all connected instances, with the pending jobs if they are due."""
        is_leader = self.context.leader is self.leader or self.leader.is_loading
        if not is_leader or self.context.links is None:
            return
        is_due = self.context.clock.seconds() >= self._full_heartbeat_at + PENDING_REPORT_PERIOD_S
        heartbeat = (
            self.full_heartbeat() if is_due and not self.leader.is_loading else self.heartbeat()
        )
        for link in self.context.links.peers.values():
            link.send(heartbeat)

    @property
    def _should_hand_over(self):
        """Whether another instance should take over."""
        is_impaired = self.leader.is_store_unavailable or self.leader.has_failed_loading
        return self.context.leaving or is_impaired or self._should_yield_for_cpu

    @property
    def _should_yield_for_cpu(self):
        """Whether this instance is short of processor and a connected one has far more CPU."""
        links = self.context.links
        loaded_at = self.leader.loaded_at
        if loaded_at is None or links is None or not self.context.lag.is_short_of_cpu:
            return False
        if self.context.clock.seconds() - loaded_at < MIN_LEADERSHIP_S:
            return False
        return should_yield(self.context.settings.cpu_milli, links.best_successor_cpu_milli)
