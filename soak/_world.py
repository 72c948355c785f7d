"""What surrounds the instances: store, advice and workers on real sockets, behind proxies."""

from urllib.parse import parse_qsl

from twisted.internet.defer import maybeDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from anvilflow.standins import (
    AdviceServer,
    MetadataStore,
    PlatformWorker,
    WireFaults,
    make_platform_config,
)

from ._proxy import Proxy

#: How long the advice on a step takes. Unit: seconds.
ADVICE_S = 0.03

#: Delay from the crash of a worker by a task to its restart. Unit: seconds.
RESTART_DELAY_S = 2.0

_CALLER = b"x-caller"


class StandinResource(Resource):
    """Serves a stand-in's ``handle`` over HTTP, with the fault switches of the virtual wire."""

    isLeaf = True

    def __init__(self, *, reactor, standin, faults):
        super().__init__()
        self.reactor = reactor
        self.standin = standin
        self.faults = faults

    def render(self, request):
        """Answer a call, or do with it what the faults say."""
        faults = self.faults
        if faults.silent:
            return NOT_DONE_YET
        if faults.status is not None:
            request.setResponseCode(faults.status)
            return b""
        path, _, query = request.uri.decode().partition("?")
        headers = {b"x-caller": [request.getClientAddress().host.encode()]}
        for name in (b"x-expect-instance",):
            headers[name] = request.requestHeaders.getRawHeaders(name, [b""])
        call = (request.method, path, dict(parse_qsl(query)), request.content.read(), headers)
        gone = []
        request.notifyFinish().addErrback(gone.append)
        if faults.late_s:
            self.reactor.callLater(faults.late_s, self.standin.handle, *call)
        elif faults.slow_s:
            self.reactor.callLater(faults.slow_s, self._act, request, gone, call)
        else:
            self._act(request, gone, call)
        return NOT_DONE_YET

    def _act(self, request, gone, call):
        loses = self.faults.loses_answers
        done = maybeDeferred(self.standin.handle, *call)
        if not loses:
            done.addCallback(_answer, request, gone)


def _answer(result, request, gone):
    status, body = result
    if gone:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


class SoakWorker(PlatformWorker):
    """A worker that marks the ends that nobody took note of before its lease lapsed or it died.

    Such an end is not known to anybody who may start the task again: the promise that a task is
    not started after it was done does not hold for it.
    """

    def mark_untold(self):
        """Mark the ends that have not been acknowledged."""
        untold = {(task, run_id) for _, task, run_id, _, _ in self.finished}
        for span in self.spans:
            if span.worker == self.worker_id and (span.task, span.run_id) in untold:
                span.how = "untold" if span.how == "done" else span.how

    def _lapse(self):
        self.mark_untold()
        super()._lapse()


class World:
    """Stand-ins of the platform.

    Parameters
    ----------
    reactor : IReactorTCP
    host : str
        Loopback address to listen at.
    n_workers : int
    cpu : int, default=8000
        Of each worker. Unit: thousandths of a core.
    """

    def __init__(self, *, reactor, host, n_workers, cpu=8000):
        self.reactor = reactor
        self.host = host
        self.cpu = cpu
        self.spans = []
        self.workers = {}
        self.ports = []
        self.proxies = {}
        self.store = MetadataStore(clock=reactor)
        self.store_faults = WireFaults()
        self.store_target = self._serve(self.store, self.store_faults)
        self.config_version = 1
        self.config_at = 0.0
        self.n_routes = 0
        self.advice = AdviceServer(clock=reactor, allowed=set(), base_s=ADVICE_S)
        self.advice_target = self._serve(self.advice, WireFaults())
        self.change_config()
        self._n_lives = 0
        self.places = [self._make_place(number) for number in range(n_workers)]

    def _serve(self, standin, faults):
        site = Site(StandinResource(reactor=self.reactor, standin=standin, faults=faults))
        port = self.reactor.listenTCP(0, site, interface=self.host, backlog=256)
        self.ports.append(port)
        return self.host, port.getHost().port

    def make_proxy(self, name, target):
        """Return a new proxy in front of a target; it is found under `name`."""
        self.proxies[name] = Proxy(reactor=self.reactor, host=self.host, target=target)
        return self.proxies[name]

    def change_config(self, *, n_more=0):
        """Write a newer configuration: with a queue of its own, and `n_more` routes."""
        self.config_version += 1
        self.n_routes += n_more
        rules = {"decide-ms": ADVICE_S * 1000, "each-ms": 0.1, "valid-ms": 2500}
        config = make_platform_config(self.config_version, advice=rules)
        extra = [f"v{self.config_version}", *(f"more-{i:025}" for i in range(self.n_routes))]
        first = config["routes"][0]
        config["routes"] += [{**first, "name": name, "prefix": f"/{name}/"} for name in extra]
        self.store.put("op", "config", config)
        self.config_at = self.reactor.seconds()

    def _make_place(self, number):
        place = _Place(name=f"w{number}", faults=WireFaults())
        target = self._serve(place, place.faults)
        place.address = self.make_proxy(place.name, target).address
        self.new_life(place)
        return place

    def new_life(self, place):
        """Start a worker at a place, where another may have died; return it."""
        self._n_lives += 1
        worker = SoakWorker(
            clock=self.reactor,
            worker_id=f"i-{self._n_lives:04x}",
            address=place.address,
            cpu=self.cpu,
            spans=self.spans,
            sizes=_sizes,
        )
        place.worker = worker
        worker.on_crash = lambda: self._worker_crashed(place)
        self.workers[worker.worker_id] = worker
        self.advice.allowed.add(worker.worker_id)
        self.store.put("servers", worker.worker_id, worker.entry())
        return worker

    def crash(self, place):
        """End a worker's life; ends that nobody took note of are lost with it."""
        worker = place.worker
        worker.mark_untold()
        worker.crash()
        self.store.remove("servers", worker.worker_id)

    def _worker_crashed(self, place):
        """Remove the entry of a worker that a task has crashed; restart it later under a new id."""
        place.worker.mark_untold()
        self.store.remove("servers", place.worker.worker_id)
        self.reactor.callLater(RESTART_DELAY_S, self.new_life, place)

    def set_capacity(self, place, cpu):
        """Change a worker's capacity at run time and update its entry."""
        place.worker.set_capacity(cpu)
        self.store.put("servers", place.worker.worker_id, place.worker.entry())

    def drain(self, place):
        """Let a worker say that it leaves."""
        worker = place.worker
        self.store.put("servers", worker.worker_id, worker.entry(state="draining"))

    def heal(self):
        """End all faults."""
        self.store_faults.clear()
        for place in self.places:
            place.faults.clear()
            if place.worker.alive and place.worker.cpu != self.cpu:
                self.set_capacity(place, self.cpu)
        for proxy in self.proxies.values():
            proxy.heal()

    def close(self):
        """Close all sockets."""
        for proxy in self.proxies.values():
            proxy.close()
        for port in self.ports:
            port.stopListening()


class _Place:
    """An address at which one worker after another lives."""

    def __init__(self, *, name, faults):
        self.name = name
        self.faults = faults
        self.address = None
        self.worker = None

    def handle(self, *call):
        return self.worker.handle(*call)


def _sizes(task, payload):
    seconds, how, cpu = payload.split()
    return float(seconds), how, int(cpu)
