"""Stand-in for the platform's object store."""

from klein import Klein
from twisted.internet.defer import inlineCallbacks

from ..exceptions import AnvilflowError, NotFoundError, PlatformUnavailableError
from ._faults import deliver_on_clock

_TIMEOUT_S = 2.0


class ObjectState:
    """Objects by key."""

    def __init__(self):
        self.objects = {}

    def put(self, key, body):
        """Store an object."""
        self.objects[key] = body
        return b""

    def get(self, key):
        """Return an object."""
        if key not in self.objects:
            raise NotFoundError(f"object {key} does not exist")
        return self.objects[key]


class ObjectServer:
    """Serves an :class:`ObjectState` over HTTP."""

    def __init__(self, *, state, faults):
        self.state = state
        self.faults = faults
        self.app = Klein()
        self.app.route("/put/<path:key>", methods=["POST"], endpoint="put")(self._put)
        self.app.route("/get/<path:key>", methods=["POST"], endpoint="get")(self._get)

    def _put(self, request, key):
        return self._act(request, self.state.put, key, request.content.read())

    def _get(self, request, key):
        return self._act(request, self.state.get, key, changes=False)

    @inlineCallbacks
    def _act(self, request, act, *args, changes=True):
        try:
            body = yield self.faults.around(act, *args, changes=changes)
        except AnvilflowError as exc:
            request.setResponseCode(exc.http_status)
            return b""
        return body


class MemoryObjects:
    """The interface of :class:`ObjectClient` on an :class:`ObjectState` in the same process."""

    def __init__(self, *, state, faults, clock):
        self.state = state
        self.faults = faults
        self.clock = clock

    def put(self, key, body):
        """Store an object."""
        return self._call(self.state.put, key, body)

    def get(self, key):
        """Return an object."""
        return self._call(self.state.get, key, changes=False)

    def _call(self, act, *args, changes=True):
        return deliver_on_clock(
            self.clock,
            self.faults.around(act, *args, changes=changes),
            timeout=_TIMEOUT_S,
            error=PlatformUnavailableError,
        )
