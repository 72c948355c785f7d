"""What clients and the platform's balancer call."""

from logbook import Logger
from twisted.internet.defer import maybeDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from ..exceptions import AnvilflowError, CallError, NotFoundError, TooLargeError
from ..utils import encode
from ._jobs import JOB_ID, decode_job

_log = Logger("front")


class ReadyResource(Resource):
    """Answers the balancer's check.

    Parameters
    ----------
    is_ready : callable
    """

    isLeaf = True

    def __init__(self, *, is_ready):
        super().__init__()
        self.is_ready = is_ready

    def render_GET(self, request):
        """Answer 200 while new connections are welcome."""
        request.setResponseCode(200 if self.is_ready() else 503)
        return b""


class FrontResource(Resource):
    """Jobs over HTTP.

    Parameters
    ----------
    gateway : object
        Offers ``config``, ``closing``, ``submit(spec, queue)``, ``state(queue, job_id)``,
        ``cancel(queue, job_id)`` and ``pending(queue)``, which return Deferreds,
        ``answered(verb, status)``, and ``refused(verb, path, status, error)``.

    Notes
    -----
    `n_in_progress` counts the calls that have been read and not been answered yet.
    """

    isLeaf = True

    def __init__(self, *, gateway):
        super().__init__()
        self.gateway = gateway
        self.n_in_progress = 0
        self._verbs = {b"POST": self._submit, b"GET": self._get, b"DELETE": self._cancel}

    def render(self, request):
        """Answer one call."""
        self.n_in_progress += 1
        done = maybeDeferred(self._serve, request)
        gone = []
        request.notifyFinish().addErrback(gone.append)
        done.addCallback(self._answer, request, gone)
        done.addErrback(self._fail, request, gone)
        done.addBoth(self._over)
        return NOT_DONE_YET

    def _over(self, result):
        self.n_in_progress -= 1
        return result

    def _serve(self, request):
        config = self.gateway.config
        if config is None:
            return self.gateway.not_ready()
        path = request.path.decode("utf-8", "replace")
        queue = config.queue_for(request.getRequestHostname().decode("utf-8", "replace"), path)
        if queue is None:
            raise NotFoundError(f"no queue serves {path}")
        verb = self._verbs.get(request.method)
        if verb is None:
            raise CallError(f"method {request.method.decode()} is not served")
        return verb(request, queue, path[len(queue.prefix) :].strip("/"))

    def _submit(self, request, queue, job_id):
        _check_job_id(job_id)
        limit = self.gateway.config.limits.max_body_bytes
        body = request.content.read(limit + 1)
        if len(body) > limit:
            raise TooLargeError(f"the body is over {limit} bytes")
        done = self.gateway.submit(decode_job(job_id, queue.name, body), queue)
        return done.addCallback(lambda _: {})

    def _get(self, request, queue, job_id):
        if not job_id:
            return self.gateway.pending(queue).addCallback(lambda n_jobs: {"pending": n_jobs})
        _check_job_id(job_id)
        return self.gateway.state(queue, job_id).addCallback(lambda state: {"state": str(state)})

    def _cancel(self, request, queue, job_id):
        _check_job_id(job_id)
        return self.gateway.cancel(queue, job_id).addCallback(lambda _: {})

    def _answer(self, value, request, gone):
        self._write(request, gone, 200, value, None)

    def _fail(self, failure, request, gone):
        error = failure.value
        if not isinstance(error, AnvilflowError):
            _log.error("call failed", trace=failure.getTraceback()[-1500:])
            error = AnvilflowError("internal error; see the log")
        retry_after = (error.details or {}).get("retry_after_s")
        verb, path = request.method.decode("latin-1"), request.path.decode("utf-8", "replace")
        self.gateway.refused(verb, path, error.http_status, error)
        self._write(request, gone, error.http_status, {"error": error.to_dict()}, retry_after)

    def _write(self, request, gone, status, value, retry_after):
        if gone:
            return
        self.gateway.answered(request.method.decode("latin-1"), status)
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        if retry_after is not None:
            request.setHeader(b"retry-after", str(max(1, round(retry_after))).encode())
        if self.gateway.closing:
            # The client's next call goes to another instance.
            request.setHeader(b"connection", b"close")
        body = encode(value)
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


def _check_job_id(job_id):
    if not JOB_ID.match(job_id):
        raise CallError(f"{job_id!r} is no job id; allowed: 16 of 0-9 and a-f")
