"""HTTP API for operators: resources, watch, health, status, metrics and dump."""

from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks
from werkzeug.exceptions import HTTPException

from ..exceptions import CallError, DeclarationError, NotFoundError, NotReadyError
from ..history import ConfigAccepted
from ..resources import DECLARED_KINDS, check_references, parse_resource, resource_key
from ..runtime import Part
from ..utils import decode, to_builtins
from ._events import CatalogChanged
from ._http_api import (
    LimitedSite,
    answer_json,
    answer_no_route,
    json_errors,
    query_argument,
    read_body,
)

_MAX_CONNECTIONS = 200
_MAX_DECLARATION_BYTES = 256 * 1024
_DEFAULT_PAGE = 100
_MAX_PAGE = 500
_DEFAULT_WATCH_S = 10.0
_MAX_WATCH_S = 60.0
_MAX_WATCHES = 100

#: Kinds of resources in the catalog. Worker and Instance can also be listed.
_KINDS = {*DECLARED_KINDS, "Job"}


class OperatorsPart(Part):
    """Serves the HTTP API for operators.

    Parameters
    ----------
    context : Context
    dump_all : callable
        Returns the state of all parts of the instance.
    """

    prefix = "operators"
    app = Klein()

    def __init__(self, *, context, dump_all):
        super().__init__(context=context)
        self.dump_all = dump_all
        self._watches = set()

    def start(self):
        """Listen for operators and subscribe to changes of the catalog."""
        site = LimitedSite(self.app.resource(), max_connections=_MAX_CONNECTIONS)
        port, self.context.operators_address = self.context.network.listen(
            self.context.settings.listen.operators, site
        )
        self._stack.callback(port.stopListening)
        self.on(CatalogChanged, self._end_watches)

    def stop(self):
        """Answer all open watches and stop."""
        self._end_watches(None, None)
        super().stop()

    def dump(self):
        """Return the number of open watches."""
        return {"watches": len(self._watches)}

    @app.handle_errors(HTTPException)
    def no_route(self, request, failure):
        """Answer a call to an unknown path or with an unsupported method."""
        return answer_no_route(request, failure)

    # Resources

    @app.route("/v1/resources/<kind>", methods=["GET"])
    @json_errors
    def list_resources(self, request, kind):
        """Return a page of the resources of one kind, sorted by key.

        Workers and instances are listed without paging.
        """
        self._check_ready()
        match kind:
            case "Worker":
                return answer_json(request, {"items": self._worker_items()})
            case "Instance":
                return answer_json(request, {"items": self._instance_items()})
        _check_kind(kind)
        catalog = self.context.catalog
        limit = _number_argument(request, "limit", _DEFAULT_PAGE, _MAX_PAGE)
        after = query_argument(request, "after")
        customer = query_argument(request, "customer")
        prefix = f"{kind}/{customer}/" if customer and kind == "Job" else f"{kind}/"
        keys = [key for key in catalog.keys(prefix) if key > after]
        page = keys[: int(limit)]
        return answer_json(
            request,
            {
                "revision": catalog.revision,
                "items": [self._resource_item(key) for key in page],
                "next": page[-1] if len(keys) > len(page) else None,
            },
        )

    @app.route("/v1/resources/<kind>/<path:name>", methods=["GET"])
    @json_errors
    def get_resource(self, request, kind, name):
        """Return one resource with its revision."""
        self._check_ready()
        _check_kind(kind)
        return answer_json(request, self._resource_item(f"{kind}/{name}"))

    @app.route("/v1/resources/<kind>/<path:name>", methods=["PUT"])
    @json_errors
    @inlineCallbacks
    def put_resource(self, request, kind, name):
        """Create or replace a resource.

        With ``?revision=N`` the write fails when the resource has changed since revision N.
        """
        self._check_ready()
        value = decode(read_body(request, _MAX_DECLARATION_BYTES), dict, error=DeclarationError)
        resource = parse_resource(value)
        if type(resource).__name__ not in DECLARED_KINDS:
            raise DeclarationError(f"$.kind: {kind} is not declared; allowed: {_allowed_kinds()}")
        if resource_key(resource) != f"{kind}/{name}":
            raise DeclarationError(f"the body declares {resource_key(resource)}, not {kind}/{name}")
        check_references(resource, self.context.catalog)
        expected = _revision_argument(request)
        written = yield self.context.resources.write(
            resource_key(resource), resource, expected=expected
        )
        self._write_accepted(written)
        return answer_json(request, {"revision": written.revision, "changed": written.changed})

    @app.route("/v1/resources/<kind>/<path:name>", methods=["DELETE"])
    @json_errors
    @inlineCallbacks
    def delete_resource(self, request, kind, name):
        """Delete a resource that no other resource refers to."""
        self._check_ready()
        if kind not in DECLARED_KINDS:
            raise NotFoundError(f"{kind} cannot be deleted; allowed: {_allowed_kinds()}")
        self._check_unused(kind, name)
        written = yield self.context.resources.write(
            f"{kind}/{name}", None, expected=_revision_argument(request)
        )
        self._write_accepted(written)
        return answer_json(request, {"revision": written.revision, "changed": written.changed})

    @app.route("/v1/watch", methods=["GET"])
    @json_errors
    @inlineCallbacks
    def watch(self, request):
        """Return the changes after a revision.

        The answer is sent at the next change, or without changes after the timeout of the call.
        """
        self._check_ready()
        after = _number_argument(request, "after", self.context.catalog.revision, None)
        wait = _number_argument(request, "timeout_s", _DEFAULT_WATCH_S, _MAX_WATCH_S)
        changes = self.context.changes.changes_after(int(after), _MAX_PAGE)
        if not changes and len(self._watches) < _MAX_WATCHES:
            yield self._wait_for_change(request, wait)
            changes = self.context.changes.changes_after(int(after), _MAX_PAGE)
        revision = changes[-1].revision if changes else int(after)
        return answer_json(request, {"revision": revision, "changes": changes})

    # The instance

    @app.route("/health", methods=["GET"])
    @json_errors
    def health(self, request):
        """Return whether the load balancer may send callers to this instance."""
        if self.context.leaving:
            raise NotReadyError("the instance is leaving")
        self._check_ready()
        return answer_json(request, {"ready": True})

    @app.route("/v1/status", methods=["GET"])
    @json_errors
    def status(self, request):
        """Return a short summary of the instance's view of the cell."""
        context = self.context
        return answer_json(
            request,
            {
                "instance": context.name,
                "revision": context.catalog.revision,
                "ready": context.ready,
                "leaving": context.leaving,
                "live": list(context.live),
                "workers": len(context.workers),
            },
        )

    @app.route("/metrics", methods=["GET"])
    @json_errors
    def metrics(self, request):
        """Return all metrics in the Prometheus text format."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self.context.metrics.page()

    @app.route("/dump", methods=["GET"])
    @json_errors
    def dump_state(self, request):
        """Return the state of every part."""
        return answer_json(request, self.dump_all())

    # Internals

    def _check_ready(self):
        if not self.context.ready:
            raise NotReadyError("no configuration seen yet", details={"retry_after_s": 1})

    def _write_accepted(self, written):
        if written.changed and self.context.history is not None:
            self.context.history.add(ConfigAccepted, revision=written.revision)
        self.context.changes.trigger()

    def _check_unused(self, kind, name):
        catalog = self.context.catalog
        field = {"Policy": "policy", "Workload": "workload", "Customer": "customer"}[kind]
        users = ("Workload/",) if kind == "Policy" else ("Job/",)
        for prefix in users:
            for key in catalog.keys(prefix):
                item = catalog.get(key)
                has_ended = getattr(item, "phase", "") in ("completed", "failed", "cancelled")
                if getattr(item, field) == name and not has_ended:
                    raise DeclarationError(f"{kind}/{name} is used by {key}")

    def _resource_item(self, key):
        resource = self.context.catalog.get(key)
        if resource is None:
            raise NotFoundError(f"{key} does not exist")
        value = to_builtins(resource)
        if "tasks" in value:
            value["n_tasks"] = len(value.pop("tasks"))
        return {"key": key, "revision": self.context.catalog.revision_of(key), "value": value}

    def _worker_items(self):
        return [to_builtins(member) for _, member in sorted(self.context.workers.items())]

    def _instance_items(self):
        return [{"name": name, "live": True} for name in self.context.live]

    def _wait_for_change(self, request, seconds):
        """Wait for the next change, at most `seconds`, or until the client disconnects."""
        waiting = Deferred()
        timer = self.later(seconds, self._end_watch, waiting)
        self._watches.add(waiting)
        request.notifyFinish().addErrback(lambda _: self._end_watch(waiting))

        def done(_):
            if timer.active():
                timer.cancel()

        return waiting.addCallback(done)

    def _end_watch(self, waiting):
        if waiting in self._watches:
            self._watches.discard(waiting)
            waiting.callback(None)

    def _end_watches(self, _, __):
        for waiting in list(self._watches):
            self._end_watch(waiting)


def _allowed_kinds():
    return ", ".join(sorted(DECLARED_KINDS))


def _check_kind(kind):
    if kind not in _KINDS:
        raise NotFoundError(
            f"unknown kind {kind}; allowed: {', '.join(sorted(_KINDS))}, Worker, Instance"
        )


def _number_argument(request, name, default, limit):
    text = query_argument(request, name)
    if not text:
        return default
    try:
        value = float(text)
    except ValueError as exc:
        raise CallError(f"?{name}={text} is not a number") from exc
    if value < 0 or (limit is not None and value > limit) or value != value:
        raise CallError(f"?{name}={text} is out of range; allowed: 0 to {limit or 'any'}")
    return value


def _revision_argument(request):
    text = query_argument(request, "revision")
    return int(_number_argument(request, "revision", 0, None)) if text else None
