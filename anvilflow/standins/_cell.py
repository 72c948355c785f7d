"""A whole cell in one process: stand-ins and instances on loopback."""

from random import Random

from msgspec import structs
from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import HttpClient, MemberInfo
from ..history import TargetLeaving
from ..parts import make_daemon
from ..settings import InstanceSettings, ListenSettings, PlatformSettings, Settings
from ._balancer import Balancer
from ._faults import Faults
from ._membership import MembershipServer, MembershipState
from ._objects import ObjectServer, ObjectState
from ._server import listen
from ._table import TableServer, TableState
from ._worker import WorkerServer, WorkerState

LOOPBACK = "127.0.0.1"
_READY_POLL_S = 0.05


class Cell:
    """Stand-ins and instances that share one reactor.

    Parameters
    ----------
    reactor : IReactorTCP
    domains : list of str
        Failure domains.
    n_instances, n_workers, workers_per_rack : int
    capacity : Amounts
        Capacity of each worker.
    declarations : list of resources
        Stored in the table at the start.
    history : History, default=None
    random_state : int, default=0
    sections : dict, default=None
        Settings sections that differ from the defaults.
    """

    def __init__(
        self,
        *,
        reactor,
        domains,
        n_instances,
        n_workers,
        workers_per_rack,
        capacity,
        declarations,
        history=None,
        random_state=0,
        sections=None,
    ):
        self.reactor = reactor
        self.domains = domains
        self.n_instances = n_instances
        self.n_workers = n_workers
        self.workers_per_rack = workers_per_rack
        self.capacity = capacity
        self.declarations = declarations
        self.history = history
        self.random_state = Random(random_state)
        self.sections = sections or {}
        self.daemons = {}
        self.workers = {}
        self.errors = []
        self._ports = []
        self._members = {}

    @inlineCallbacks
    def start(self):
        """Start stand-ins and instances; the Deferred fires when every instance can serve."""
        self.start_standins()
        for number in range(self.n_instances):
            self.start_instance(f"a{number + 1}")
        self.membership.settle()
        yield self.ready()
        self.balancer = Balancer(
            addresses={name: d.context.callers_address for name, d in self.daemons.items()}
        )

    def start_standins(self):
        """Start the table, the object store, the membership list and the workers."""
        self.table_faults = Faults(clock=self.reactor)
        self.table = TableState()
        table = TableServer(clock=self.reactor, state=self.table, faults=self.table_faults)
        self.table_address = self._listen(table.app)
        self.table.declare(self.declarations)
        self.objects = ObjectState()
        self.objects_faults = Faults(clock=self.reactor)
        objects = ObjectServer(state=self.objects, faults=self.objects_faults)
        self.objects_address = self._listen(objects.app)
        self.membership_faults = Faults(clock=self.reactor)
        self.membership = MembershipState(clock=self.reactor)
        members = MembershipServer(state=self.membership, faults=self.membership_faults)
        self.membership_address = self._listen(members.app)
        for number in range(self.n_workers):
            self._start_worker(number)

    def start_instance(self, name):
        """Start an instance and add it to the membership list."""
        number = int(name[1:])
        domain = self.domains[number % len(self.domains)]
        settings = Settings(
            instance=InstanceSettings(name=name, failure_domain=domain),
            listen=ListenSettings(
                callers=f"{LOOPBACK}:0", operators=f"{LOOPBACK}:0", peers=f"{LOOPBACK}:0"
            ),
            platform=PlatformSettings(
                table=self.table_address,
                objects=self.objects_address,
                membership=self.membership_address,
            ),
            **self.sections,
        )
        daemon = make_daemon(
            settings,
            reactor=self.reactor,
            give_up=self.errors.append,
            history=self.history,
            random_state=Random(self.random_state.getrandbits(64)),
        )
        daemon.start()
        self.daemons[name] = daemon
        self.membership.put(
            MemberInfo(
                name=name,
                role="instance",
                address=daemon.context.peer_address,
                failure_domain=domain,
                operators=daemon.context.operators_address,
                callers=daemon.context.callers_address,
            )
        )
        return daemon

    @inlineCallbacks
    def ready(self):
        """Wait until every worker has an owner and every instance has all owners' digests."""
        while not self._is_ready():
            yield deferLater(self.reactor, _READY_POLL_S, lambda: None)

    def crash_instance(self, name):
        """Crash an instance without draining, and remove it from the membership list."""
        daemon = self.daemons.pop(name)
        self.membership.remove(name)
        return daemon.crash()

    def worker_leaves(self, name):
        """Mark a worker as leaving in the membership list."""
        self.membership.put(structs.replace(self._members[name], state="leaving"))
        if self.history is not None:
            self.history.add(TargetLeaving, worker=name)

    @inlineCallbacks
    def stop(self):
        """Stop all instances, ports and workers."""
        yield DeferredList([daemon.supervisor.stop() for daemon in self.daemons.values()])
        yield DeferredList([port.stopListening() for port in self._ports])
        for worker in self.workers.values():
            worker.crash()

    def _is_ready(self):
        for daemon in self.daemons.values():
            context = daemon.context
            known = sum(digest.n_workers for digest in context.digests.values())
            if not context.ready or known != self.n_workers:
                return False
            if len(context.digests) != len(self.daemons):
                return False
        return True

    def _start_worker(self, number):
        name = f"w{number + 1:02d}"
        rack = number // self.workers_per_rack
        state = WorkerState(
            clock=self.reactor,
            name=name,
            capacity=self.capacity,
            faults=Faults(clock=self.reactor),
            history=self.history,
        )
        self.workers[name] = state
        self._members[name] = MemberInfo(
            name=name,
            role="worker",
            address=self._listen(WorkerServer(state=state).app),
            failure_domain=self.domains[rack % len(self.domains)],
            rack=f"r{rack + 1}",
            capacity=self.capacity,
        )
        self.membership.put(self._members[name])

    def _listen(self, app):
        port = listen(self.reactor, app, LOOPBACK)
        self._ports.append(port)
        return f"{LOOPBACK}:{port.getHost().port}"


def make_client(reactor):
    """Return an HTTP client for callers in the same process."""
    return HttpClient(clock=reactor, connections=256)
