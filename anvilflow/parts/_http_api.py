"""Serving klein apps with limits and coded errors."""

from functools import wraps

from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.web.server import Site

from ..exceptions import AnvilflowError, NotFoundError, TooLargeError
from ..utils import encode

#: Idle time after which a kept connection is closed. Unit: seconds.
IDLE_TIMEOUT_S = 120

_log = Logger("http")


class LimitedSite(Site):
    """A site with a bounded number of connections.

    Parameters
    ----------
    resource : IResource
    max_connections : int
    """

    def __init__(self, resource, *, max_connections):
        super().__init__(resource, timeout=IDLE_TIMEOUT_S)
        self.max_connections = max_connections
        self.displayTracebacks = False
        self.n_connections = 0

    def buildProtocol(self, addr):
        if self.n_connections >= self.max_connections:
            return None
        channel = super().buildProtocol(addr)
        self.n_connections += 1
        base_connection_lost = channel.connectionLost

        def connection_lost(reason):
            self.n_connections -= 1
            base_connection_lost(reason)

        channel.connectionLost = connection_lost
        return channel

    def log(self, request):
        """Write no access log: waiting times and outcomes are in the metrics."""


def answer_json(request, value, *, status=200):
    """Return `value` as the JSON body of the answer."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return encode(value)


def answer_error(request, exc):
    """Return a coded error as the body of the answer."""
    retry_after = (exc.details or {}).get("retry_after_s")
    if retry_after is not None:
        request.setHeader(b"retry-after", str(max(1, round(retry_after))).encode())
    return answer_json(request, {"error": exc.to_dict()}, status=exc.http_status)


def json_errors(endpoint):
    """Turn failures of an endpoint into coded answers; one that is not ours is logged whole."""

    @wraps(endpoint)
    def wrapped(self, request, **kwargs):
        done = maybeDeferred(endpoint, self, request, **kwargs)
        done.addErrback(_failed, request)
        return done

    return wrapped


def shielded(done):
    """Return a Deferred with the result of `done` that can be cancelled without touching it.

    When a caller goes, klein cancels what its endpoint returned. Work in progress must not be
    torn apart by that: it runs on, and its result is dropped.
    """
    outer = Deferred()
    done.addBoth(outer.callback)
    return outer


def _failed(failure, request):
    if failure.check(AnvilflowError):
        return answer_error(request, failure.value)
    if failure.check(CancelledError):
        return b""
    _log.error("A call failed: {}", failure.getTraceback())
    return answer_error(request, AnvilflowError("internal error; see the log"))


def answer_no_route(request, failure):
    """Answer a call that no endpoint serves, with its own HTTP status."""
    error = NotFoundError("no such path or method; see the page of the API")
    return answer_json(request, {"error": error.to_dict()}, status=failure.value.code)


def read_body(request, limit):
    """Return the body of a call; AF303 when it is over `limit` bytes."""
    body = request.content.read(limit + 1)
    if len(body) > limit:
        raise TooLargeError(f"the body is over {limit} bytes")
    return body


def query_argument(request, name, default=""):
    """Return an argument of the query string."""
    values = request.args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else default


__all__ = [
    "LimitedSite",
    "answer_error",
    "answer_json",
    "answer_no_route",
    "json_errors",
    "query_argument",
    "read_body",
    "shielded",
]
