"""One instance of the cell: its parts under a supervisor, reloading of settings and shutdown."""

import signal
import time

from logbook import Logger
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import HttpClient
from ..exceptions import SettingsError
from ..platform import AdviceClient, StoreClient, WorkerCalls
from ..runtime import Bus, ReactorNetwork, Supervisor, use_steady_clock
from ._config import ConfigPart
from ._context import CellContext, Leaving
from ._diagnostics import DiagnosticsPart
from ._gateway import GatewayPart
from ._leader import LeaderPart
from ._leadership import LeadershipPart
from ._links import LinksPart
from ._relay import RelayPart
from ._standby_tables import StandbyTablesPart
from ._store_probe import StoreProbePart

#: Timeout of a call to the store. The store answers within 4 ms, and within 0.25 s when it is sixty
#: times slower. Unit: seconds.
STORE_TIMEOUT_S = 0.8

#: Timeout of a command to a worker. Unit: seconds.
WORKER_TIMEOUT_S = 0.4

#: Maximum number of connections of an instance to one worker, and time after which an idle one is
#: closed. A worker accepts 64 in total and resets further ones, and those of instances that have
#: lost power count too. Unit of the time: seconds.
MAX_WORKER_CONNECTIONS = 4
MAX_IDLE_S = 1.0

#: Timeout of an advice request. The longest requests take 0.9 s, and one may queue behind another.
#: Unit: seconds.
ADVICE_TIMEOUT_S = 2.8

#: Time that is left until SIGKILL when the process ends by itself. Unit: seconds.
SIGKILL_MARGIN_S = 1.0

#: Time from SIGTERM until the balancer sends no new connections: it stops after two failed checks,
#: a second apart. The process runs at least this long. Unit: seconds.
BALANCER_REMOVAL_S = 2.5

#: Time in which calls sent before the port was closed arrive and the last answers are transmitted;
#: also the period of the check for calls in progress. Unit: seconds.
LAST_CALLS_INTERVAL_S = 0.2

_log = Logger("daemon")


class CellDaemon:
    """The parts of one instance.

    Parameters
    ----------
    context : CellContext
    give_up : callable
        Called with the error if a part keeps failing.
    """

    def __init__(self, *, context, give_up):
        self.context = context
        self.supervisor = Supervisor(clock=context.clock, name=context.name, give_up=give_up)
        context.bus.on_failure = self.supervisor.on_failure
        context.dump = self.dump
        for name, kind in (
            ("observer", DiagnosticsPart),
            ("links", LinksPart),
            ("store", StoreProbePart),
            ("config", ConfigPart),
            ("warm", StandbyTablesPart),
            ("home", LeaderPart),
            ("leadership", LeadershipPart),
            ("entry", GatewayPart),
            ("carrier", RelayPart),
        ):
            self.supervisor.add(name, lambda kind=kind: kind(context=context))

    def start(self):
        """Start all parts."""
        self.supervisor.start()

    def dump(self):
        """Return the state of the parts as plain values, by name of the part."""
        names = ("links", "config", "home", "leadership", "entry")
        return {name: self.supervisor.part(name).dump() for name in names}

    def reload(self, load):
        """Replace all settings by newer ones, or keep the old ones and log why.

        Parameters
        ----------
        load : callable
            Returns the new :class:`CellSettings`.
        """
        old = self.context.settings
        try:
            new = load()
        except SettingsError as exc:
            _log.warning("settings not reloaded", error=str(exc))
            return
        if (new.instance, new.failure_domain, new.listen) != (
            old.instance,
            old.failure_domain,
            old.listen,
        ):
            _log.warning("settings not reloaded", error="name or addresses need a new start")
            return
        self.context.settings = new
        self.context.store.address = new.store
        if self.context.advice is not None and new.advice:
            self.context.advice.address = new.advice
        _log.info("settings reloaded", store=new.store, advice=new.advice)

    @inlineCallbacks
    def drain(self):
        """Hand over this instance's duties, finish the calls in progress, and stop all parts."""
        context = self.context
        if context.leaving:
            return
        context.leaving = True
        _log.info("leaving")
        context.bus.post(Leaving())
        end_at = context.clock.seconds() + context.settings.bounds.grace_s - SIGKILL_MARGIN_S
        yield self._sleep_until(min(end_at, context.clock.seconds() + BALANCER_REMOVAL_S + 1.0))
        yield self._answer_last_calls(end_at)
        yield self.supervisor.stop()
        _log.info("stopped")

    @inlineCallbacks
    def _answer_last_calls(self, end_at):
        """Accept no more connections, and wait for the calls in progress until `end_at`.

        If the process ended earlier, their clients would get no answer, and would not know whether
        their jobs were accepted.
        """
        gateway = self.supervisor.part("entry")
        if gateway is None:
            return
        gateway.stop_listening()
        is_idle = False
        while not is_idle and self.context.clock.seconds() < end_at:
            yield self._sleep_until(
                min(end_at, self.context.clock.seconds() + LAST_CALLS_INTERVAL_S)
            )
            is_idle = gateway.n_in_progress == 0

    def _sleep_until(self, at):
        clock = self.context.clock
        return deferLater(clock, max(0.0, at - clock.seconds()), lambda: None)


def make_worker_http(clock):
    """Return the HTTP client for calls to workers."""
    return HttpClient(
        clock=clock,
        connections=MAX_WORKER_CONNECTIONS,
        max_open=MAX_WORKER_CONNECTIONS,
        max_idle_s=MAX_IDLE_S,
    )


def make_cell_daemon(settings, *, reactor, give_up):
    """Return the :class:`CellDaemon` of `settings` with real sockets."""
    store_http = HttpClient(clock=reactor, connections=8)
    worker_http = make_worker_http(reactor)
    advice_http = HttpClient(clock=reactor, connections=2)
    advice = None
    if settings.advice:
        advice = AdviceClient(http=advice_http, address=settings.advice, timeout=ADVICE_TIMEOUT_S)
    context = CellContext(
        settings=settings,
        clock=reactor,
        wall_clock=time.time,
        bus=Bus(on_failure=None),
        network=ReactorNetwork(reactor=reactor),
        store=StoreClient(http=store_http, address=settings.store, timeout=STORE_TIMEOUT_S),
        advice=advice,
        make_worker=lambda info, token: WorkerCalls(
            http=worker_http,
            info=info,
            token=token,
            timeout=WORKER_TIMEOUT_S,
        ),
        count_bytes=lambda: {
            name: (client.n_bytes_out, client.n_bytes_in)
            for name, client in (
                ("store", store_http),
                ("workers", worker_http),
                ("advice", advice_http),
            )
        },
    )
    return CellDaemon(context=context, give_up=give_up)


def run_cell(settings, load):
    """Run an instance until SIGTERM; return the exit status.

    Parameters
    ----------
    settings : CellSettings
    load : callable
        Returns the settings, read again at SIGHUP.
    """
    from twisted.internet import reactor

    use_steady_clock(reactor)
    failures = []

    def give_up(error):
        _log.critical("giving up", error=str(error))
        failures.append(error)
        reactor.stop()

    daemon = make_cell_daemon(settings, reactor=reactor, give_up=give_up)

    def on_sigterm(_, __):
        reactor.callFromThread(lambda: daemon.drain().addBoth(lambda _: reactor.stop()))

    reactor.callWhenRunning(signal.signal, signal.SIGTERM, on_sigterm)

    def on_sighup(_, __):
        reactor.callFromThread(daemon.reload, load)

    reactor.callWhenRunning(signal.signal, signal.SIGHUP, on_sighup)
    reactor.callWhenRunning(daemon.start)
    _log.info("started", incarnation=daemon.context.incarnation)
    reactor.run(installSignalHandlers=True)
    return failures[0].exit_status if failures else 0
