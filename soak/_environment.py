"""Environment of the instances: store, advice service and workers on sockets, behind proxies."""

import time
from urllib.parse import parse_qsl

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from anvilflow.standins import (
    AdviceServer,
    EndAudit,
    MetadataStore,
    PlatformWorker,
    WireFaults,
    make_platform_config,
)

from ._part_failures import LossyStore
from ._proxy import Proxy

#: Time that the advice service takes for one step. Unit: seconds.
ADVICE_S = 0.03

#: Delay from the crash of a worker by a task to its restart. Unit: seconds.
RESTART_DELAY_S = 2.0

#: Interval at which a port is checked that is being closed. Unit: seconds.
PORT_POLL_S = 0.01

_CALLER = b"x-caller"


class StandinResource(Resource):
    """Serves a stand-in's ``handle`` over HTTP, with fault switches of the simulated network."""

    isLeaf = True

    def __init__(self, *, reactor, standin, faults):
        super().__init__()
        self.reactor = reactor
        self.standin = standin
        self.faults = faults

    def render(self, request):
        """Answer a request, subject to the faults that are switched on."""
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
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        if faults.late_s:
            self.reactor.callLater(faults.late_s, self.standin.handle, *call)
        elif faults.slow_s:
            self.reactor.callLater(faults.slow_s, self._handle, request, disconnects, call)
        else:
            self._handle(request, disconnects, call)
        return NOT_DONE_YET

    def _handle(self, request, disconnects, call):
        loses = self.faults.loses_answers
        done = maybeDeferred(self.standin.handle, *call)
        if self.faults.answer_delay_s:
            delay = (self.reactor, self.faults.answer_delay_s)
            done.addCallback(lambda result: deferLater(*delay, lambda: result))
        if not loses:
            done.addCallback(_answer, request, disconnects)


def _answer(result, request, disconnects):
    status, body = result
    if disconnects:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


class SoakWorker(PlatformWorker):
    """A worker that marks the ends not acknowledged before its lease lapsed or it crashed.

    No instance knows of such an end, so the task may be started again: the invariant that a task is
    not started after it was done does not apply.

    `is_leaving` is set if the worker shuts down gracefully, `has_unregistered` once it has removed
    its registry entry. `proxy` has its open connections once its listening socket is closed.
    """

    is_leaving = False
    has_unregistered = False
    proxy = None

    def mark_unacknowledged_ends(self):
        """Mark the runs whose ends have not been acknowledged."""
        unacknowledged = {(task, run_id) for _, task, run_id, _, _ in self.finished}
        for span in self.spans:
            is_own = span.worker == self.worker_id and span.born_ms == self.born_ms
            if is_own and (span.task, span.run_id) in unacknowledged:
                span.how = "untold" if span.how == "done" else span.how

    def _lapse(self):
        self.mark_unacknowledged_ends()
        super()._lapse()


class Environment:
    """Runs the stand-ins of the platform.

    Parameters
    ----------
    reactor : IReactorTCP
    host : str
        Loopback address to listen on.
    n_workers : int
    cpu : int, default=8000
        Capacity of each worker. Unit: thousandths of a core.
    """

    def __init__(self, *, reactor, host, n_workers, cpu=8000):
        self.reactor = reactor
        self.host = host
        self.cpu = cpu
        self.services_fail = False
        self.spans = []
        self.workers = {}
        self.former_workers = []
        self.ports = []
        self.proxies = {}
        self.closing_proxies = []
        self.store = MetadataStore(clock=reactor)
        self.store_faults = WireFaults()
        self.end_audit = EndAudit(store=self.store)
        self.lossy_store = LossyStore(reactor=reactor, store=self.store)
        self.store_target = self._serve(self.lossy_store, self.store_faults)
        self.config_version = 1
        self.config_at = 0.0
        self.n_routes = 0
        self.advice = AdviceServer(clock=reactor, allowed=set(), base_s=ADVICE_S)
        self.advice_target = self._serve(self.advice, WireFaults())
        self.change_config()
        self.advice.workers = self.workers
        self._n_workers_started = 0
        self.worker_slots = [self._make_worker_slot(number) for number in range(n_workers)]

    def _serve(self, standin, faults):
        return self._serve_resource(
            StandinResource(reactor=self.reactor, standin=standin, faults=faults)
        )

    def _serve_resource(self, resource):
        port = self.reactor.listenTCP(0, Site(resource), interface=self.host, backlog=256)
        self.ports.append(port)
        return self.host, port.getHost().port

    def make_proxy(self, name, target):
        """Return a new proxy in front of a target, and add it to `proxies` as `name`."""
        self.proxies[name] = Proxy(reactor=self.reactor, host=self.host, target=target)
        return self.proxies[name]

    def change_config(self, *, n_more=0):
        """Write a newer configuration with a queue of its own and `n_more` additional routes."""
        self.config_version += 1
        self.n_routes += n_more
        rules = {"decide-ms": ADVICE_S * 1000, "each-ms": 0.1, "valid-ms": 2500}
        config = make_platform_config(self.config_version, advice=rules)
        extra = [f"v{self.config_version}", *(f"more-{i:025}" for i in range(self.n_routes))]
        first = config["routes"][0]
        config["routes"] += [{**first, "name": name, "prefix": f"/{name}/"} for name in extra]
        self.store.put("op", "config", config)
        self.config_at = self.reactor.seconds()

    def _make_worker_slot(self, number):
        worker_slot = _WorkerSlot(name=f"w{number}", faults=WireFaults())
        self._listen(worker_slot)
        self.start_worker(worker_slot)
        return worker_slot

    def _listen(self, worker_slot):
        """Accept connections to the worker of a slot, always at the same address."""
        worker_slot.resource = StandinResource(
            reactor=self.reactor, standin=worker_slot, faults=worker_slot.faults
        )
        worker_slot.proxy = self.proxies[worker_slot.name] = Proxy(
            reactor=self.reactor,
            host=self.host,
            target=self._serve_resource(worker_slot.resource),
            port=worker_slot.port,
        )
        worker_slot.address = worker_slot.proxy.address
        worker_slot.port = worker_slot.proxy.port.getHost().port

    def _listen_again(self, worker_slot):
        """Accept connections if the former worker no longer does, once its port is closed."""
        if worker_slot.proxy.is_closing:
            self.reactor.callLater(PORT_POLL_S, self._listen_again, worker_slot)
        elif worker_slot.proxy in self.closing_proxies:
            self._listen(worker_slot)

    def start_worker(self, worker_slot, *, worker_id=None):
        """Start a worker in a slot, in place of any earlier one; return it.

        It has a new id, unless `worker_id` is that of the earlier one.
        """
        if worker_id is None:
            self._n_workers_started += 1
            worker_id = f"i-{self._n_workers_started:04x}"
        else:
            self.former_workers.append(self.workers[worker_id])
        worker = SoakWorker(
            clock=self.reactor,
            worker_id=worker_id,
            address=worker_slot.address,
            cpu=self.cpu,
            spans=self.spans,
            sizes=self._size,
            offset_s=-self.reactor.seconds(),
            born_ms=round(1000 * time.time()),
        )
        worker_slot.worker = worker
        self._listen_again(worker_slot)
        worker.on_ends_dropped = self.end_audit.ends_dropped
        worker.on_crash = lambda: self._worker_crashed(worker_slot, worker)
        self.workers[worker.worker_id] = worker
        self.advice.allowed.add(worker.worker_id)
        self.store.put("servers", worker.worker_id, worker.entry())
        return worker

    def _size(self, task, payload):
        """Return duration, end and capacity of a run; a service fails while `services_fail`."""
        seconds, how, cpu = payload.split()
        if how == "lasts":
            return (
                (float(seconds), "failed", int(cpu))
                if self.services_fail
                else (1e6, "done", int(cpu))
            )
        return float(seconds), how, int(cpu)

    def replace_worker(self, worker_slot, worker):
        """Start a worker in place of one that has ended or leaves, unless there is one already."""
        if worker_slot.worker is worker:
            self.start_worker(worker_slot)

    def register(self, worker):
        """Write a worker's registry entry, unless the worker has removed it."""
        if worker.alive and not worker.has_unregistered:
            self.store.put("servers", worker.worker_id, worker.entry())

    def leave(self, worker_slot, departure):
        """Let a worker shut down gracefully; one with another id takes its address.

        See :class:`anvilflow.standins.Departure`.
        """
        worker = worker_slot.worker
        worker.is_leaving = True
        worker.remaining_s = departure.remaining_s
        self.register(worker)
        replaced_after_s = departure.replaced_after_s or departure.ends_after_s
        for after_s, act in (
            (departure.closes_after_s, self._stop_listening),
            (departure.unlisted_after_s, self._remove_entry),
            (departure.ends_after_s, self._end_process),
            (replaced_after_s, self.replace_worker),
        ):
            self.reactor.callLater(after_s, act, worker_slot, worker)

    def _stop_listening(self, worker_slot, worker):
        """Close a worker's listening socket; its open connections keep leading to this worker."""
        if worker.alive and worker_slot.worker is worker:
            worker_slot.resource.standin = worker
            worker_slot.proxy.stop_listening()
            worker.proxy = worker_slot.proxy
            self.closing_proxies.append(worker_slot.proxy)

    def _remove_entry(self, _, worker):
        worker.has_unregistered = True
        if self.workers[worker.worker_id] is worker:
            self.store.remove("servers", worker.worker_id)

    def _end_process(self, _, worker):
        """End the process of a worker that leaves; its connections are reset."""
        if worker.alive:
            worker.mark_unacknowledged_ends()
            worker.crash(how="left")
        if worker.proxy is not None:
            worker.proxy.close()

    def crash(self, worker_slot):
        """Crash a worker; its unacknowledged ends are lost."""
        worker = worker_slot.worker
        worker.mark_unacknowledged_ends()
        worker.crash()
        self.store.remove("servers", worker.worker_id)

    def restart(self, worker_slot):
        """End a worker and start its next incarnation under the same id at once.

        Its connections end with it. The registry has its new entry at once.
        """
        former = worker_slot.worker
        former.mark_unacknowledged_ends()
        former.crash()
        for pair in list(self.proxies[worker_slot.name].pairs):
            pair.abort()
        worker = self.start_worker(worker_slot, worker_id=former.worker_id)
        former.successor = worker

    def all_workers(self):
        """Return the workers of all incarnations."""
        return [*self.workers.values(), *self.former_workers]

    def _worker_crashed(self, worker_slot, worker):
        """Remove the registry entry of a crashed worker; restart the worker later with a new id."""
        worker.mark_unacknowledged_ends()
        self.store.remove("servers", worker.worker_id)
        self.reactor.callLater(RESTART_DELAY_S, self.replace_worker, worker_slot, worker)

    def set_capacity(self, worker_slot, cpu):
        """Change a worker's capacity at run time and update its registry entry."""
        worker_slot.worker.set_capacity(cpu)
        self.register(worker_slot.worker)

    def drain(self, worker_slot):
        """Mark a worker as draining in the registry."""
        worker = worker_slot.worker
        if not worker.has_unregistered:
            self.store.put("servers", worker.worker_id, worker.entry(state="draining"))

    def heal(self):
        """End all faults."""
        self.store_faults.clear()
        self.lossy_store.heal()
        for worker_slot in self.worker_slots:
            worker_slot.faults.clear()
            if worker_slot.worker.alive and worker_slot.worker.cpu != self.cpu:
                self.set_capacity(worker_slot, self.cpu)
        for proxy in [*self.proxies.values(), *self.closing_proxies]:
            proxy.heal()

    def close(self):
        """Close all sockets."""
        for proxy in [*self.proxies.values(), *self.closing_proxies]:
            proxy.close()
        for port in self.ports:
            port.stopListening()


class _WorkerSlot:
    """An address that is used by one worker at a time, and by its successors.

    A worker that leaves keeps the connections that are open when its listening socket closes.
    """

    def __init__(self, *, name, faults):
        self.name = name
        self.faults = faults
        self.address = None
        self.port = 0
        self.proxy = None
        self.resource = None
        self.worker = None

    def handle(self, *call):
        return self.worker.handle(*call)
