"""Start, drain and stop of one instance: its parts and their supervisor."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import (
    HttpClient,
    MembershipClient,
    ObjectClient,
    ResourceStore,
    TableClient,
    WorkerClient,
)
from ..runtime import Bus, ReactorNetwork, Supervisor
from ._config import ConfigPart
from ._context import Context
from ._coordinator import CoordinatorPart
from ._events import LeavingChanged
from ._gateway import GatewayPart
from ._members import MembersPart
from ._operators import OperatorsPart
from ._owner import OwnerPart
from ._peers import PeersPart
from ._store import StorePart

#: Period of the check whether the work in progress is done. Unit: seconds.
_DRAIN_POLL_S = 0.05

#: Time during which a leaving instance still accepts calls while its health check fails, so that
#: the load balancer stops using the instance before a connection is refused. Unit: seconds.
_BALANCER_GRACE_S = 1.0


class Daemon:
    """Runs the parts of one instance.

    Parameters
    ----------
    context : Context
    give_up : callable
        Called with the coded error when a part fails repeatedly.
    clients : dict of str to HttpClient, default=None
        HTTP clients by name, whose traffic the dump shows.
    """

    def __init__(self, *, context, give_up, clients=None):
        self.context = context
        self.clients = clients or {}
        self.supervisor = Supervisor(clock=context.clock, name=context.name, give_up=give_up)
        context.bus.on_failure = self.supervisor.on_failure

    def start(self):
        """Start all parts."""
        context = self.context
        self.supervisor.add("store", lambda: StorePart(context=context))
        self.supervisor.add("peers", lambda: PeersPart(context=context))
        self.supervisor.add("config", lambda: ConfigPart(context=context))
        self.supervisor.add("owner", lambda: OwnerPart(context=context))
        self.supervisor.add("home", lambda: CoordinatorPart(context=context))
        self.supervisor.add("members", lambda: MembersPart(context=context))
        self.supervisor.add("entry", lambda: GatewayPart(context=context))
        self.supervisor.add("operators", lambda: OperatorsPart(context=context, dump_all=self.dump))
        self.supervisor.start()

    def dump(self):
        """Return the state of the instance and of every part."""
        return {
            "instance": self.context.name,
            "incarnation": self.context.incarnation,
            "revision": self.context.catalog.revision,
            "restarts": self.supervisor.restarts(),
            "http": {
                name: {"calls": client.n_calls, "bytes": client.n_bytes_out + client.n_bytes_in}
                for name, client in self.clients.items()
            },
            "parts": {name: part.dump() for name, part in self.supervisor.parts().items()},
        }

    def crash(self):
        """Stop at once without draining, to simulate a killed process."""
        return self.supervisor.stop()

    @inlineCallbacks
    def drain(self):
        """Hand over workers and customers, finish the work in progress, and stop.

        First the health check fails and the peers are notified, so that no new work is sent to
        this instance. Other instances take over its workers and the coordination of its customers'
        jobs. The instance then waits until its work in progress has ended, for at most the setting
        ``timing.drain_s``.
        """
        context = self.context
        if context.leaving:
            return
        context.leaving = True
        context.bus.post(LeavingChanged())
        deadline = context.clock.seconds() + context.settings.timing.drain_s
        yield deferLater(context.clock, _BALANCER_GRACE_S, lambda: None)
        while self._n_in_progress() and context.clock.seconds() < deadline:
            yield deferLater(context.clock, _DRAIN_POLL_S, lambda: None)
        yield self.supervisor.stop()

    def _n_in_progress(self):
        parts = self.supervisor.parts()
        counts = [parts[name].n_in_progress for name in ("entry", "owner") if name in parts]
        if "store" in parts:
            counts.append(parts["store"].n_queued)
        return sum(counts)


def make_daemon(settings, *, reactor, give_up, history=None, random_state=None):
    """Return the :class:`Daemon` of `settings` with real sockets and HTTP clients."""
    http = HttpClient(clock=reactor, connections=16)
    worker_http = HttpClient(clock=reactor, connections=64)
    timing = settings.timing
    table = TableClient(
        http=http, address=settings.platform.table, timeout=timing.platform_timeout_s
    )
    context = Context(
        settings=settings,
        clock=reactor,
        bus=Bus(on_failure=None),
        network=ReactorNetwork(reactor=reactor),
        table=table,
        objects=ObjectClient(
            http=http, address=settings.platform.objects, timeout=timing.platform_timeout_s
        ),
        membership=MembershipClient(
            http=http, address=settings.platform.membership, timeout=timing.platform_timeout_s
        ),
        resources=ResourceStore(table=table),
        make_worker=lambda member: WorkerClient(
            http=worker_http, address=member.address, timeout=timing.worker_timeout_s
        ),
        random_state=random_state,
        history=history,
    )
    clients = {"platform": http, "workers": worker_http}
    return Daemon(context=context, give_up=give_up, clients=clients)
