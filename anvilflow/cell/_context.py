"""What the parts of an instance share."""

from random import Random

from msgspec import Struct

from ..metrics import Meters
from ._lag import LagMeter
from ._link_utilization import LinkUtilization
from ._payload_cache import PayloadCache
from ._pending_jobs import PendingJobs
from ._start_delays import StartDelays

#: Period in which each instance measures how late it is: that of a leader's beats. Unit: seconds.
LAG_PERIOD_S = 0.2


class ConfigChanged(Struct, kw_only=True):
    """A newer configuration is in force in this process."""

    version: int


class LeaderChanged(Struct, kw_only=True):
    """The cell has another leader, as this instance sees it."""


class Claimed(Struct, kw_only=True):
    """This instance has become the leader.

    Parameters
    ----------
    token : int
        Version of the leader's row that the claim got: unique, and higher than every one before.
    term : int
        How many leaders there were, this one included.
    row_version : int
        Version of the row at present.
    former : LeaderRow or None
        What the former leader said of itself and of its workers.
    """

    token: int
    term: int
    row_version: int
    former: object = None


class Deposed(Struct, kw_only=True):
    """Another instance has become the leader."""


class StoreRecovered(Struct, kw_only=True):
    """The store answers this instance again, after `away_s` in which calls had no answer."""

    away_s: float


class Leaving(Struct, kw_only=True):
    """This instance is about to stop."""


class CellContext:
    """Shared by the parts of one process; each field has one part that changes it.

    Parameters
    ----------
    settings : CellSettings
    clock : IReactorTime
    wall_clock : callable
        Time of day. Unit: seconds.
    bus : Bus
    network : object
        Listens and dials between instances.
    store : StoreClient
    advice : AdviceClient or None
    make_worker : callable
        Returns the :class:`WorkerCalls` of a worker's info and a token.
    random_state : random.Random, default=None
    count_bytes : callable, default=None
        Returns the bytes that calls have sent and received so far, by service.

    Notes
    -----
    `successors` are the instances that come next as the leader, in their order. `uses_relays` tells
    whether the leader has its orders to workers carried out by other instances, as far as this one
    knows.
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
        self.advice = advice
        self.make_worker = make_worker
        self.random_state = random_state or Random()
        self.started_at = clock.seconds()
        self.incarnation = f"{self.random_state.getrandbits(64):016x}"
        self.config = None
        self.config_at = clock.seconds()
        self.leaving = False
        self.store_health = StoreHealth(
            clock=clock, on_answers=lambda away_s: bus.post(StoreRecovered(away_s=away_s))
        )
        self.lag = LagMeter(period=LAG_PERIOD_S)
        self.waiting = PendingJobs(context=self)
        self.start_waits = StartDelays(clock=clock)
        self.payloads = PayloadCache(context=self)
        self.link_utilization = LinkUtilization(
            settings=lambda: self.settings, count=self._count_bytes
        )
        self.uses_relays = False
        self.meters = Meters()
        self.dump = dict
        self._count_call_bytes = count_bytes
        self.links = None
        self.relay = None
        self.standby_tables = None
        self.successors = ()
        self.leader = None
        self.config_part = None

    @property
    def name(self):
        """Name of the instance."""
        return self.settings.instance

    @property
    def up_s(self):
        """Time since the process began. Unit: seconds."""
        return self.clock.seconds() - self.started_at

    def bytes_by_service(self):
        """Return the bytes sent and received so far, by calls and over links to instances."""
        counts = dict(self._count_call_bytes())
        if self.links is not None:
            counts["instances"] = (self.links.n_bytes_out, self.links.n_bytes_in)
        return counts

    def _count_bytes(self):
        counts = self.bytes_by_service().values()
        return sum(n_out for n_out, _ in counts), sum(n_in for _, n_in in counts)


class StoreHealth:
    """Whether the store answers this instance, and how long its last answer took.

    Parameters
    ----------
    clock : IReactorTime
    on_answers : callable, default=None
        Called with the length of an outage when it is over. Unit: seconds.
    """

    def __init__(self, *, clock, on_answers=None):
        self.clock = clock
        self._on_answers = on_answers
        self.bad_since = None
        self.bad_at = None
        self.answer_s = 0.0

    def good(self):
        """Note an answer."""
        away_s, self.bad_since = self.bad_for_s, None
        if away_s > 0 and self._on_answers is not None:
            self._on_answers(away_s)

    def bad(self):
        """Note a call without one."""
        self.bad_at = self.clock.seconds()
        if self.bad_since is None:
            self.bad_since = self.bad_at

    @property
    def is_bad(self):
        """Whether the last call had no answer."""
        return self.bad_since is not None

    @property
    def bad_for_s(self):
        """Time since the first of the calls without an answer, 0 when the last had one."""
        return 0.0 if self.bad_since is None else self.clock.seconds() - self.bad_since
