"""Shared state of the parts of one instance: settings, clock, message bus and clients."""

import uuid
from random import Random

from ..decisions import RetryBudget
from ..metrics import Metrics
from ..resources import Catalog


class Context:
    """Settings, services and state that the parts of one instance share.

    Each field of the state is set by only one part.

    Parameters
    ----------
    settings : Settings
    clock : IReactorTime
    bus : Bus
    network : object
        Listens on sockets and connects to peers.
    table, objects, membership : clients of the platform
    resources : ResourceStore
    make_worker : callable
        Returns a client for the worker of a :class:`MemberInfo`.
    random_state : random.Random
    history : History, default=None
    """

    def __init__(
        self,
        *,
        settings,
        clock,
        bus,
        network,
        table,
        objects,
        membership,
        resources,
        make_worker,
        random_state=None,
        history=None,
    ):
        self.settings = settings
        self.clock = clock
        self.bus = bus
        self.network = network
        self.table = table
        self.objects = objects
        self.membership = membership
        self.resources = resources
        self.make_worker = make_worker
        self.random_state = random_state or Random()
        self.history = history
        self.incarnation = uuid.UUID(int=self.random_state.getrandbits(128)).hex
        self.metrics = Metrics()
        self.retries = RetryBudget()
        self.catalog = Catalog()
        self.ready = False
        self.leaving = False
        self.live = ()
        self.workers = {}
        self.digests = {}
        self.peers = None

    @property
    def name(self):
        """Name of the instance."""
        return self.settings.instance.name

    def send(self, instance, body):
        """Send a message to an instance, also to this one; return False when it cannot be sent."""
        if instance == self.name:
            self.bus.post(body, source=instance)
            return True
        return self.peers is not None and self.peers.send_to(instance, body)
