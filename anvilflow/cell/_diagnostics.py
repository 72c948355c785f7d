"""Metrics and a dump of the state of an instance, served to operators only, never to clients."""

from twisted.internet.error import CannotListenError
from twisted.web.resource import Resource
from twisted.web.server import Site

from ..runtime import Part
from ..utils import encode


class DiagnosticsPart(Part):
    """Serves ``/metrics`` and ``/dump`` at an address of its own."""

    prefix = "observer"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.dumps = {}

    def start(self):
        """Listen if the settings name an address; no other part depends on it."""
        address = self.context.settings.listen.metrics
        if not address:
            return
        site = Site(_DiagnosticsResource(context=self.context), timeout=60)
        site.log = lambda request: None
        try:
            port, _ = self.context.network.listen(address, site)
        except CannotListenError as exc:
            self.log.warning("metrics are not served", address=address, error=str(exc))
            return
        self._stack.callback(port.stopListening)


class _DiagnosticsResource(Resource):
    isLeaf = True

    def __init__(self, *, context):
        super().__init__()
        self.context = context

    def render_GET(self, request):
        """Return the page that an operator asks for."""
        match request.path:
            case b"/metrics":
                request.setHeader(b"content-type", b"text/plain; version=0.0.4")
                return self._metrics()
            case b"/dump":
                request.setHeader(b"content-type", b"application/json")
                return encode(self.context.dump())
            case _:
                request.setResponseCode(404)
                return b""

    def _metrics(self):
        context = self.context
        store = context.store
        proof_age_s = context.config_proof.age_s(context.clock.seconds())
        context.meters.set_gauge(
            "config_proof_age_seconds", proof_age_s if proof_age_s < float("inf") else -1
        )
        leader = context.leader
        context.meters.set_gauge("account_use", leader.max_account_use() if leader else 0.0)
        context.meters.set_gauge("capacity_wait_seconds", context.admission.longest_wait_s)
        for labels, n in store.calls.items():
            context.meters.counts["store_calls", labels] = n
        for service, n_bytes in context.bytes_by_service().items():
            for direction, n in zip(("out", "in"), n_bytes, strict=True):
                context.meters.counts["bytes", (service, direction)] = n
        return context.meters.page()
