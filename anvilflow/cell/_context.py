"""State and events shared by the parts of an instance."""

from random import Random

from msgspec import Struct

from ..admission import AdmissionGate
from ..jobs import UnansweredStarts
from ..metrics import Meters
from ._config_proof import ConfigProof
from ._lag import LagMeter
from ._leader_row_store import LeaderRowStore
from ._link_utilization import LinkUtilization
from ._payload_cache import PayloadCache
from ._pending_jobs import PendingJobs

#: Period in which each instance measures its lag, and the leader sends heartbeats. Unit: seconds.
LAG_PERIOD_S = 0.2


class ConfigChanged(Struct, kw_only=True):
    """Event: a newer configuration is in force in this process."""

    version: int


class LeaderChanged(Struct, kw_only=True):
    """Event: this instance has connected to a leader, usually a new one."""


class Claimed(Struct, kw_only=True):
    """Event: this instance has become the leader.

    Parameters
    ----------
    token : int
        Version of the leader's row after the claim: unique, and higher than every earlier token.
    term : int
        Number of leaders so far, including this one.
    row_version : int
        Current version of the row.
    confirmed_at : float
        Time at which the call was sent whose answer shows the claim. Unit: seconds.
    former : LeaderRow or None
        Row of the former leader, with its report on its workers.
    """

    token: int
    term: int
    row_version: int
    confirmed_at: float
    former: object = None


class JobsRead(Struct, kw_only=True):
    """Event: the leader, this instance or another, has read the jobs table through `version`."""

    version: int


class Deposed(Struct, kw_only=True):
    """Event: this instance leads no longer: the row has another write, or a part has stopped."""


class StoreRecovered(Struct, kw_only=True):
    """Event: the store answers this instance again, after `away_s` without an answer."""

    away_s: float


class Leaving(Struct, kw_only=True):
    """Event: this instance is about to stop."""


class CellContext:
    """State shared by the parts of one process; each field is changed by one part only.

    Parameters
    ----------
    settings : CellSettings
    clock : IReactorTime
    wall_clock : callable
        Time of day. Unit: seconds.
    bus : Bus
    network : object
        Accepts and opens connections between instances.
    store : StoreClient
    advice : AdviceClient or None
    make_worker : callable
        Returns the :class:`WorkerCalls` for a worker's info and a token.
    random_state : random.Random, default=None
    count_bytes : callable, default=dict
        Returns the bytes sent and received by calls so far, by service.

    Notes
    -----
    `claimed` is the claim by which this instance leads, or None. `successors` are the names of the
    instances next in line to lead, in order. `uses_relays` is whether the leader sends its commands
    to workers through relays, as far as this instance knows.
    """

    def __init__(
        self,
        *,
        settings,
        clock,
        wall_clock,
        bus,
        network,
        store,
        advice,
        make_worker,
        random_state=None,
        count_bytes=dict,
    ):
        self.settings = settings
        self.clock = clock
        self.wall_clock = wall_clock
        self.bus = bus
        self.network = network
        self.store = store
        self.leader_row = LeaderRowStore(store=store)
        self.advice = advice
        self.make_worker = make_worker
        self.random_state = random_state or Random()
        self.started_at = clock.seconds()
        self.incarnation = f"{self.random_state.getrandbits(64):016x}"
        self.config = None
        self.config_at = clock.seconds()
        self.config_proof = ConfigProof()
        self.leaving = False
        self.store_health = StoreHealth(
            clock=clock, on_recovery=lambda away_s: bus.post(StoreRecovered(away_s=away_s))
        )
        self.lag = LagMeter(period=LAG_PERIOD_S)
        self.pending_job_counts = PendingJobs(context=self)
        self.admission = AdmissionGate(clock=clock, random_state=self.random_state)
        self.payloads = PayloadCache(context=self)
        self.link_utilization = LinkUtilization(
            settings=lambda: self.settings, count=self._count_bytes
        )
        self.uses_relays = False
        self.unanswered_starts = UnansweredStarts()
        self.meters = Meters()
        self.dump = dict
        self._count_call_bytes = count_bytes
        self.links = None
        self.relay = None
        self.standby_tables = None
        self.successors = ()
        self.claimed = None
        self.leader = None
        self.config_part = None

    @property
    def name(self):
        """Name of the instance."""
        return self.settings.instance

    @property
    def up_s(self):
        """Time since the process started. Unit: seconds."""
        return self.clock.seconds() - self.started_at

    @property
    def uses_keys(self):
        """Whether calls need API keys."""
        has_accounts = self.config is not None and self.config.accounts is not None
        return has_accounts or self.settings.has_accounts

    @property
    def keys_checkable_s(self):
        """Time for which this instance may still check API keys without another read of the store.

        Negative once it may not. Unit: seconds.
        """
        bounds = self.settings.bounds
        if not bounds.strict_revocation:
            return float("inf")
        return self.config_proof.expires_in_s(self.clock.seconds(), bounds.revoke_s)

    def bytes_by_service(self):
        """Return the bytes sent and received so far by service, with links to instances as one."""
        counts = dict(self._count_call_bytes())
        if self.links is not None:
            counts["instances"] = (self.links.n_bytes_out, self.links.n_bytes_in)
        return counts

    def _count_bytes(self):
        counts = self.bytes_by_service().values()
        return sum(n_out for n_out, _ in counts), sum(n_in for _, n_in in counts)


class StoreHealth:
    """Tracks whether the store answers this instance, and how long its last answer took.

    Parameters
    ----------
    clock : IReactorTime
    on_recovery : callable, default=None
        Called with the duration of an outage when it is over. Unit: seconds.
    """

    def __init__(self, *, clock, on_recovery=None):
        self.clock = clock
        self._on_recovery = on_recovery
        self.failing_since = None
        self.failed_at = None
        self.answer_s = 0.0

    def record_answer(self):
        """Record a call that was answered."""
        away_s, self.failing_since = self.failing_for_s, None
        if away_s > 0 and self._on_recovery is not None:
            self._on_recovery(away_s)

    def record_failure(self):
        """Record a call without an answer."""
        self.failed_at = self.clock.seconds()
        if self.failing_since is None:
            self.failing_since = self.failed_at

    @property
    def is_failing(self):
        """Whether the last call had no answer."""
        return self.failing_since is not None

    @property
    def failing_for_s(self):
        """Time since the first unanswered call, 0 if the last call was answered. Unit: seconds."""
        return 0.0 if self.failing_since is None else self.clock.seconds() - self.failing_since
