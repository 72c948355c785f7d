"""HTTP API for callers: sends requests to the instances that own workers, and stores jobs."""

import uuid

from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks
from werkzeug.exceptions import HTTPException

from ..decisions import Outcome, can_retry, choose_owner
from ..exceptions import (
    CallError,
    DeclarationError,
    NotFoundError,
    NotReadyError,
    RequestError,
)
from ..peers.gen.ttypes import (
    CancelRequest,
    ForwardRequest,
    RequestEnded,
    StatusAnswer,
    StatusAsk,
)
from ..resources import JobPhase, check_references, check_resource
from ..runtime import Part
from ..utils import decode, decode_lenient, to_builtins
from ._calls import JobCall, RequestAnswer, RequestCall, not_run_answer, unknown_answer
from ._coordinator import coordinator_key
from ._events import PeerDown
from ._http_api import (
    LimitedSite,
    answer_json,
    answer_no_route,
    json_errors,
    query_argument,
    read_body,
    shielded,
)
from ._keys import KeyClaims

#: HTTP status of each outcome.
_HTTP_STATUS = {
    Outcome.COMPLETED: 200,
    Outcome.FAILED: 502,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}

#: Time after the deadline during which the owner can still report that the request did not run.
#: Unit: seconds.
_ANSWER_GRACE_S = 0.25

#: Largest number of attempts of one request.
_MAX_ATTEMPTS = 4

#: Least time left before the deadline for another attempt, and the retry-after of an attempt whose
#: owner cannot be reached. Unit: seconds.
_RETRY_WAIT_S = 0.02

_ENDED_PHASES = {JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED}


class _PendingAttempt:
    """One attempt of a request that has no answer from its owner yet."""

    __slots__ = ("answer", "owner")

    def __init__(self, *, owner):
        self.owner = owner
        self.answer = Deferred()


class GatewayPart(Part):
    """Serves the HTTP API for callers.

    A request is sent to one owner at a time. Answers are matched by the identifier of the attempt,
    which is unique in the cell. An answer that arrives late or twice matches no pending attempt and
    is dropped. The answer for a caller that has disconnected is dropped, too.
    """

    prefix = "entry"
    app = Klein()

    def __init__(self, *, context):
        super().__init__(context=context)
        self._claims = KeyClaims(part=self)
        self._pending = {}
        self._status_calls = {}
        self._n_status_calls = 0
        self._n_requests = 0
        self._n_open = 0

    @property
    def n_in_progress(self):
        """Number of requests that have no answer yet."""
        return self._n_open

    def start(self):
        """Listen for callers and subscribe to messages of owners."""
        settings = self.context.settings
        site = LimitedSite(self.app.resource(), max_connections=settings.limits.caller_connections)
        port, self.context.callers_address = self.context.network.listen(
            settings.listen.callers, site
        )
        self._stack.callback(port.stopListening)
        self.on(RequestEnded, self._request_ended)
        self.on(PeerDown, self._peer_down)
        self.on(StatusAnswer, self._status_received)

    def dump(self):
        """Return the numbers of open requests, pending attempts and requests accepted so far."""
        return {"requests": self._n_open, "attempts": len(self._pending), "taken": self._n_requests}

    @app.handle_errors(HTTPException)
    def no_route(self, request, failure):
        """Answer a call to an unknown path or with an unsupported method."""
        return answer_no_route(request, failure)

    # Requests

    @app.route("/v1/requests", methods=["POST"])
    @json_errors
    def post_request(self, request):
        """Run a service request and answer with its outcome."""
        call = decode(read_body(request, self.context.settings.limits.body_bytes), RequestCall)
        done = self.serve(call)
        done.addCallback(lambda answer: self._reply(request, answer))
        return shielded(done)

    def serve(self, call):
        """Check and run a call; the Deferred fires with its :class:`RequestAnswer`."""
        self._check_ready()
        if self._n_open >= self.context.settings.limits.requests_in_flight:
            raise RequestError("too many requests at this instance", details={"retry_after_s": 1})
        workload = self._check_call(call)
        idempotent = workload.idempotent if call.idempotent is None else call.idempotent
        self._n_open += 1
        self._n_requests += 1
        return self._serve(call, idempotent).addBoth(self._request_done)

    def _request_done(self, result):
        self._n_open -= 1
        return result

    def _reply(self, request, answer):
        outcome = Outcome(answer.outcome)
        self.context.metrics.outcomes.labels(outcome.value).inc()
        if outcome is Outcome.NOT_RUN:
            request.setHeader(b"retry-after", str(max(1, round(answer.retry_after_s))).encode())
        return answer_json(request, answer, status=_HTTP_STATUS[outcome])

    def _check_ready(self):
        if not self.context.ready:
            raise NotReadyError("no configuration seen yet", details={"retry_after_s": 1})

    def _check_call(self, call):
        catalog = self.context.catalog
        try:
            catalog.customer(call.customer)
            workload = catalog.workload(call.workload)
        except NotFoundError as exc:
            raise CallError(exc.message) from exc
        if workload.work != "service":
            raise CallError(f"$.workload: {call.workload} is {workload.work} work; submit a job")
        return workload

    @inlineCallbacks
    def _serve(self, call, idempotent):
        request_id = uuid.UUID(int=self.context.random_state.getrandbits(128)).hex
        limit = call.deadline_s or self.context.settings.timing.default_deadline_s
        deadline = self.now + limit
        if idempotent or not call.idempotency_key:
            answer = yield self._run_attempts(call, request_id, deadline, idempotent)
            return answer
        claim = yield self._claims.claim(call, request_id, deadline)
        if isinstance(claim, RequestAnswer):
            return claim
        answer = yield self._run_attempts(call, request_id, deadline, idempotent)
        self._claims.record_end(call, claim, answer)
        return answer

    @inlineCallbacks
    def _run_attempts(self, call, request_id, deadline, idempotent):
        self.context.retries.earn()
        tried_owners = []
        answer = None
        may_have_run = False
        for attempt in range(_MAX_ATTEMPTS):
            owner = self._choose_owner(tried_owners)
            if owner is None:
                return answer or not_run_answer(request_id, "no owner has a worker", 0.5)
            tried_owners.append(owner)
            answer = yield self._send_attempt(call, f"{request_id}#{attempt}", owner, deadline)
            answer.request_id = request_id
            may_have_run = may_have_run or answer.outcome == Outcome.UNKNOWN
            if may_have_run and answer.outcome == Outcome.NOT_RUN:
                # "Not run" covers only this attempt. An earlier attempt may have run.
                answer.outcome = Outcome.UNKNOWN.value
            if not self._may_retry(answer, idempotent, deadline):
                return answer
            self.context.metrics.retries.inc()
        return answer

    def _may_retry(self, answer, idempotent, deadline):
        return (
            can_retry(Outcome(answer.outcome), idempotent=idempotent)
            and answer.reason != "queue_full"
            and self.now + _RETRY_WAIT_S < deadline
            and self.context.retries.spend()
        )

    @inlineCallbacks
    def _send_attempt(self, call, attempt_id, owner, deadline):
        remaining = deadline - self.now
        pending = _PendingAttempt(owner=owner)
        self._pending[attempt_id] = pending
        forward = ForwardRequest(
            request_id=attempt_id,
            customer=call.customer,
            workload=call.workload,
            payload=call.payload.encode(),
            remaining_ms=max(1, int(remaining * 1000)),
        )
        if not self.context.send(owner, forward):
            self._pending.pop(attempt_id, None)
            return not_run_answer(attempt_id, f"instance {owner} cannot be reached", _RETRY_WAIT_S)
        timer = self.later(remaining + _ANSWER_GRACE_S, self._deadline_passed, attempt_id)
        answer = yield pending.answer
        if timer.active():
            timer.cancel()
        return answer

    def _deadline_passed(self, attempt_id):
        pending = self._pending.get(attempt_id)
        if pending is not None:
            self.context.send(pending.owner, CancelRequest(request_id=attempt_id))
            self._complete_attempt(
                attempt_id, unknown_answer(attempt_id, "no answer before the deadline")
            )

    def _request_ended(self, source, body):
        pending = self._pending.get(body.request_id)
        if pending is None or pending.owner != source:
            return
        self._complete_attempt(
            body.request_id,
            RequestAnswer(
                request_id=body.request_id,
                outcome=body.outcome,
                result=body.result.decode("utf-8", "replace"),
                code=body.code,
                reason=body.reason,
                retry_after_s=body.retry_after,
                waited_s=body.waited,
            ),
        )

    def _peer_down(self, _, event):
        lost = [key for key, item in self._pending.items() if item.owner == event.instance]
        for attempt_id in lost:
            unknown = unknown_answer(attempt_id, "the connection to the owner was lost")
            self._complete_attempt(attempt_id, unknown)

    def _complete_attempt(self, attempt_id, answer):
        # When this instance is the owner, its answer to CancelRequest completes the attempt before
        # `send` returns in `_deadline_passed`. The attempt is then no longer pending here.
        pending = self._pending.pop(attempt_id, None)
        if pending is not None:
            pending.answer.callback(answer)

    def _choose_owner(self, tried_owners):
        """Return the owner with more free capacity of two random ones; None when there is none.

        Capacity is taken from the owners' last digests. Owners in `tried_owners` are left out.
        """
        digests = self.context.digests
        eligible = [
            name
            for name in self.context.live
            if name not in tried_owners and name in digests and digests[name].n_workers
        ]
        if not eligible:
            return None
        if len(eligible) > 2:
            eligible = self.context.random_state.sample(eligible, 2)
        best = max(eligible, key=lambda name: _free_service_capacity(digests[name]))
        digests[best].free_service_slots -= 1
        return best

    # Jobs

    @app.route("/v1/jobs", methods=["POST"])
    @json_errors
    @inlineCallbacks
    def post_job(self, request):
        """Submit a job; answered when the job is durable."""
        body = read_body(request, self.context.settings.limits.body_bytes * 4)
        job = decode(body, JobCall).to_job()
        written = yield self.submit(job)
        return answer_json(
            request,
            {"customer": job.customer, "name": job.name, "revision": written.revision},
            status=201 if written.changed else 200,
        )

    @inlineCallbacks
    def submit(self, job):
        """Check and store a job; the Deferred fires with the result of the write."""
        check_resource(job)
        self._check_ready()
        limit = self.context.settings.limits.tasks_per_job
        if len(job.tasks) > limit:
            raise DeclarationError(f"$.tasks: {len(job.tasks)} tasks; allowed: 1 to {limit}")
        check_references(job, self.context.catalog)
        self._check_fits(job)

        def keep_equal_job(stored):
            """Return the stored job when it equals the submitted one, so that nothing changes."""
            if stored is not None and stored.tasks == job.tasks and stored.workload == job.workload:
                return stored
            return job

        written = yield self.context.resources.write(
            f"Job/{job.customer}/{job.name}", job, expected=0, check=keep_equal_job
        )
        self.context.changes.trigger()
        return written

    def _check_fits(self, job):
        """Raise AF102, with the amounts that are too large, when a task fits no worker."""
        needs = self.context.catalog.workload(job.workload).needs
        shapes = [shape for digest in self.context.digests.values() for shape in digest.shapes]
        if not shapes or any(needs.fits(shape) for shape in shapes):
            return
        lacking = sorted({name for shape in shapes for name in needs.lacking(shape)})
        raise DeclarationError(
            f"a task of workload {job.workload} fits no worker of the cell; too large: "
            + ", ".join(f"{name} {getattr(needs, name)}" for name in lacking)
        )

    @app.route("/v1/jobs/<customer>/<name>", methods=["GET"])
    @json_errors
    @inlineCallbacks
    def get_job(self, request, customer, name):
        """Return a job, its progress and why it waits; on request also the results of its tasks."""
        job = self.context.catalog.get(f"Job/{customer}/{name}")
        if job is None:
            raise NotFoundError(f"job {customer}/{name} does not exist")
        value = to_builtins(job)
        value["n_tasks"] = len(value.pop("tasks"))
        if job.phase not in _ENDED_PHASES:
            value["now"] = yield self._request_status(customer, name)
        if query_argument(request, "results"):
            rows = yield self.context.table.scan_all(f"task/{customer}/{name}/")
            value["results"] = {}
            for row in rows:
                index = row.key.rsplit("/", 1)[1]
                value["results"][index] = yield self._with_result(row.value)
        return answer_json(request, value)

    @inlineCallbacks
    def _with_result(self, record):
        """Return a task's record with its result, read from the object store when kept there."""
        if "object" not in record:
            return record
        body = yield self.context.objects.get(record["object"])
        return {**record, "result": body.decode()}

    @app.route("/v1/jobs/<customer>/<name>/cancel", methods=["POST"])
    @json_errors
    @inlineCallbacks
    def cancel_job(self, request, customer, name):
        """Request the cancellation of a job; its phase shows when the job is cancelled."""
        written = yield self.cancel(customer, name)
        return answer_json(request, {"revision": written.revision}, status=202)

    @inlineCallbacks
    def cancel(self, customer, name):
        """Mark a job as being cancelled; the Deferred fires when the mark is durable."""

        def mark_cancelling(job):
            if job is None:
                raise NotFoundError(f"job {customer}/{name} does not exist")
            if job.phase not in _ENDED_PHASES:
                job.phase = JobPhase.CANCELLING
            return job

        written = yield self.context.resources.write(
            f"Job/{customer}/{name}", None, check=mark_cancelling
        )
        self.context.changes.trigger()
        return written

    @inlineCallbacks
    def _request_status(self, customer, name):
        coordinator = choose_owner(self.context.live, coordinator_key(customer))
        self._n_status_calls += 1
        call = self._n_status_calls
        answer = Deferred()
        self._status_calls[call] = answer
        if coordinator is None or not self.context.send(
            coordinator, StatusAsk(call=call, topic="job", key=f"{customer}/{name}")
        ):
            self._status_calls.pop(call)
            return None
        timer = self.later(1.0, self._status_timed_out, call)
        value = yield answer
        if timer.active():
            timer.cancel()
        return value

    def _status_timed_out(self, call):
        answer = self._status_calls.pop(call, None)
        if answer is not None:
            answer.callback(None)

    def _status_received(self, _, body):
        answer = self._status_calls.pop(body.call, None)
        if answer is not None:
            answer.callback(decode_lenient(body.body))


def _free_service_capacity(digest):
    return digest.free_service_slots - digest.n_queued
