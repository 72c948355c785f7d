"""Helpers of the HTTP APIs: limits on connections and bodies, JSON answers and coded errors."""

from functools import wraps

from logbook import Logger
from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.web.server import Site

from ..exceptions import AnvilflowError, NotFoundError, TooLargeError
from ..utils import encode

#: Time after which an idle keep-alive connection is closed. Unit: seconds.
IDLE_TIMEOUT_S = 120

_log = Logger("http")


class LimitedSite(Site):
    """A site that refuses connections beyond a limit.

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
        """Write no access log; waiting times and outcomes are available as metrics."""


def answer_json(request, value, *, status=200):
    """Set status and content type of the answer; return `value` encoded as its JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return encode(value)


def answer_error(request, exc):
    """Set status and headers for a coded error; return the error encoded as the body."""
    retry_after = (exc.details or {}).get("retry_after_s")
    if retry_after is not None:
        request.setHeader(b"retry-after", str(max(1, round(retry_after))).encode())
    return answer_json(request, {"error": exc.to_dict()}, status=exc.http_status)


def json_errors(endpoint):
    """Decorate an endpoint so that its failures are answered with coded errors as JSON.

    Exceptions that are not an :class:`AnvilflowError` are logged with their traceback.
    """

    @wraps(endpoint)
    def wrapped(self, request, **kwargs):
        done = maybeDeferred(endpoint, self, request, **kwargs)
        done.addErrback(_failed, request)
        return done

    return wrapped


def shielded(done):
    """Return a Deferred with the result of `done`; cancelling it does not cancel `done`.

    When a caller disconnects, klein cancels the Deferred that the endpoint returned. The work in
    progress must not be interrupted by that: it continues, and its result is dropped.
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
    """Answer a call that no endpoint serves, with the HTTP status of the routing error."""
    error = NotFoundError("no such path or method; see the page of the API")
    return answer_json(request, {"error": error.to_dict()}, status=failure.value.code)


def read_body(request, limit):
    """Return the body of a call; raise AF303 when it is larger than `limit` bytes."""
    body = request.content.read(limit + 1)
    if len(body) > limit:
        raise TooLargeError(f"the body is larger than {limit} bytes")
    return body


def query_argument(request, name, default=""):
    """Return the first value of an argument of the query string, or `default`."""
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
