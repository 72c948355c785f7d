"""HTTP resources for clients and for the platform's load balancer."""

from logbook import Logger
from twisted.internet.defer import maybeDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from ..exceptions import (
    AnvilflowError,
    CallError,
    NotFoundError,
    TooLargeError,
    UnauthorizedError,
    UnprovenConfigError,
)
from ..utils import encode
from ._jobs import JOB_ID, decode_job

#: Largest API key that is looked up. Unit: characters.
MAX_KEY_CHARS = 512

_log = Logger("front")


class ReadyResource(Resource):
    """Readiness check for the load balancer.

    Parameters
    ----------
    is_ready : callable
        Returns whether the instance accepts new connections.
    """

    isLeaf = True

    def __init__(self, *, is_ready):
        super().__init__()
        self.is_ready = is_ready

    def render_GET(self, request):
        """Respond with 200 while the instance accepts new connections, else with 503."""
        request.setResponseCode(200 if self.is_ready() else 503)
        return b""


class JobsResource(Resource):
    """Submits, reads and cancels jobs over HTTP.

    Parameters
    ----------
    gateway : object
        Provides ``config``, ``closing`` and ``uses_keys``; ``authorize(queue, key)``, which returns
        a Deferred of the calling :class:`ClientAccount` or None; ``submit(spec, queue, account)``,
        ``state(queue, job_id, account)``, ``cancel(queue, job_id, account)`` and
        ``pending(queue)``, which return Deferreds; ``not_ready()``, ``answered(verb, status)`` and
        ``refused(verb, path, status, error)``.

    Notes
    -----
    `n_in_progress` is the number of calls that have been read and have no response yet.
    """

    isLeaf = True

    def __init__(self, *, gateway):
        super().__init__()
        self.gateway = gateway
        self.n_in_progress = 0
        self._verbs = {b"POST": self._submit, b"GET": self._get, b"DELETE": self._cancel}

    def render(self, request):
        """Process a call; the response is sent when its result is available."""
        self.n_in_progress += 1
        done = maybeDeferred(self._dispatch, request)
        disconnected = []
        request.notifyFinish().addErrback(disconnected.append)
        done.addCallback(self._respond, request, disconnected)
        done.addErrback(self._fail, request, disconnected)
        done.addBoth(self._call_ended)
        return NOT_DONE_YET

    def _call_ended(self, result):
        self.n_in_progress -= 1
        return result

    def _dispatch(self, request):
        config = self.gateway.config
        if config is None:
            return self.gateway.not_ready()
        path = request.path.decode("utf-8", "replace")
        queue = config.queue_for(request.getRequestHostname().decode("utf-8", "replace"), path)
        if queue is None:
            raise NotFoundError(f"no queue for the host and path of the request: {path}")
        key = _bearer_key(request) if self.gateway.uses_keys else None
        done = maybeDeferred(self.gateway.authorize, queue, key)
        return done.addCallback(
            lambda account: self._serve(
                request, queue, path[len(queue.prefix) :].strip("/"), account
            )
        )

    def _serve(self, request, queue, job_id, account):
        verb = self._verbs.get(request.method)
        if verb is None:
            raise CallError(
                f"method {request.method.decode('latin-1')!r:.80} is not allowed; "
                "allowed: POST, GET, DELETE"
            )
        return verb(request, queue, job_id, account)

    def _submit(self, request, queue, job_id, account):
        _check_job_id(job_id)
        limit = self.gateway.config.limits.max_body_bytes
        body = request.content.read(limit + 1)
        if len(body) > limit:
            raise TooLargeError(f"the body is longer than {limit} bytes")
        done = self.gateway.submit(decode_job(job_id, queue.name, body), queue, account)
        return done.addCallback(lambda _: {})

    def _get(self, request, queue, job_id, account):
        if not job_id:
            return self.gateway.pending(queue).addCallback(lambda n_jobs: {"pending": n_jobs})
        _check_job_id(job_id)
        done = self.gateway.state(queue, job_id, account)
        return done.addCallback(lambda state: {"state": str(state)})

    def _cancel(self, request, queue, job_id, account):
        _check_job_id(job_id)
        return self.gateway.cancel(queue, job_id, account).addCallback(lambda _: {})

    def _respond(self, value, request, disconnected):
        self._write(request, disconnected, 200, value)

    def _fail(self, failure, request, disconnected):
        error = failure.value
        if not isinstance(error, AnvilflowError):
            _log.error("call failed", trace=failure.getTraceback()[-1500:])
            error = AnvilflowError("internal error; see the log")
        verb, path = request.method.decode("latin-1"), request.path.decode("utf-8", "replace")
        self.gateway.refused(verb, path, error.http_status, error)
        self._write(request, disconnected, error.http_status, {"error": error.to_dict()}, error)

    def _write(self, request, disconnected, status, value, error=None):
        if disconnected:
            return
        self.gateway.answered(request.method.decode("latin-1"), status)
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        retry_after = (error.details or {}).get("retry_after_s") if error is not None else None
        if retry_after is not None:
            request.setHeader(b"retry-after", str(max(1, round(retry_after))).encode())
        if isinstance(error, UnauthorizedError):
            request.setHeader(b"www-authenticate", b"Bearer")
        if self.gateway.closing or isinstance(error, UnprovenConfigError):
            # The client then sends its next call to another instance.
            request.setHeader(b"connection", b"close")
        body = encode(value)
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


def _bearer_key(request):
    """Return the API key that a call carries, or None without an ``Authorization`` header.

    A header that cannot be read is not taken for a missing one: the call is refused also where no
    key is needed.
    """
    headers = request.requestHeaders.getRawHeaders(b"authorization") or []
    if not headers:
        return None
    if len(headers) > 1:
        raise UnauthorizedError("more than one Authorization header")
    scheme, _, key = headers[0].decode("utf-8", "replace").strip().partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key or len(key) > MAX_KEY_CHARS:
        raise UnauthorizedError("Authorization: not of the form Bearer KEY")
    return key


def _check_job_id(job_id):
    if not JOB_ID.match(job_id):
        raise CallError(f"invalid job id {job_id[:80]!r}; allowed: 16 characters of 0-9 and a-f")
