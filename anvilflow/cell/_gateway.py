"""Takes the calls of clients."""

from collections import OrderedDict

from twisted.internet.defer import inlineCallbacks
from twisted.web.server import Site

from ..exceptions import (
    AnvilflowError,
    JobGoneError,
    NotReadyError,
    OverloadedError,
    PlatformError,
    PlatformRefusedError,
    RequestError,
    SlowWriteError,
    TooLargeError,
    UnknownOutcomeError,
)
from ..jobs import ENDED_STATES, JobState, longest_chain_s
from ..platform import JobsResource, ReadyResource
from ..runtime import Part
from ..utils import encode
from ._context import Claimed, LeaderChanged
from ._job_store import cancel_stored_job, read_stored_job, store_job_surely
from ._recorder import answer_timeout
from ._tables import MAX_ROW_BYTES, JobRow, without_payload

#: Wait for the leader's answer before the store is asked instead. The leader answers in a few
#: milliseconds or is changing. Unit: seconds.
LEADER_TIMEOUT_S = 0.4

#: Wait for the leader to store a job that this instance could not store. Unit: seconds.
SUBMIT_TIMEOUT_S = 0.9

#: Wait for the leader to make a cancelling durable. Unit: seconds.
CANCEL_TIMEOUT_S = 1.2

#: When a client that was refused in an outage should come back: after a third of the time that the
#: outage has lasted, since short outages are over soon, and at least and at most this. The store's
#: return is seen within 0.2 s, and clients come back as spread as they came. Unit: seconds.
RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 10

#: What the leader's answers to a submit mean; every other one leaves the job in doubt.
_SUBMIT_OUTCOMES = {"ok": "ok", "refused": "refused", "not home": "refused"}

#: Verbs that are counted under their own name: a client may send any text.
_VERBS = frozenset({"POST", "GET", "DELETE"})

_STATE_NAMES = frozenset(map(str, JobState))

#: Time without the store and without the leader after which the balancer is told to send no new
#: connections: this instance alone is cut off, others serve. Unit: seconds.
CUT_OFF_S = 0.5

#: Refusals that a caller may take for an old configuration.
_LOGGED_REFUSALS = frozenset({404, 503})

#: Paths come from callers: a line holds so much of one. Unit: characters.
MAX_LOGGED_PATH = 200

#: Final states kept in memory: they never change, and clients ask again and again.
STATES_KEPT = 2000


class GatewayPart(Part):
    """Accepts jobs durably and answers about them."""

    prefix = "entry"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._ended = OrderedDict()
        self._untold = {}
        self.front = None
        self._front_port = None

    @property
    def n_in_progress(self):
        """Number of calls of clients that have not been answered yet."""
        return self.front.n_in_progress

    def stop_listening(self):
        """Take no new connections of clients; those that are open are served on."""
        self._front_port.stopListening()

    @property
    def config(self):
        """The configuration in force."""
        return self.context.config

    @property
    def closing(self):
        """Whether connections are closed after their next answer."""
        return self.context.leaving

    def start(self):
        """Listen to clients and to the balancer."""
        listen = self.context.settings.listen
        self.front = JobsResource(gateway=self)
        front = Site(self.front, timeout=60)
        front.log = lambda request: None
        ready = Site(ReadyResource(is_ready=self._is_ready), timeout=60)
        ready.log = lambda request: None
        self._listen(listen.ready, ready)
        self._front_port = self._listen(listen.front, front)
        self.on(LeaderChanged, lambda *_: self._tell_again())
        # A leader reads the rows of all jobs when it begins.
        self.on(Claimed, lambda *_: self._untold.clear())
        self.log.info("listening to clients", address=listen.front)

    def _listen(self, address, site):
        port, _ = self.context.network.listen(address, site)
        self._stack.callback(port.stopListening)
        return port

    def _is_ready(self):
        context = self.context
        if context.config is None or context.leaving:
            return False
        alone = context.links is not None and not context.links.reaches_home
        return not (alone and context.store_health.failing_for_s > CUT_OFF_S)

    def answered(self, verb, status):
        """Count an answer to a client."""
        verb = verb if verb in _VERBS else "other"
        self.context.meters.count("calls", verb, str(status))

    def refused(self, verb, path, status, error):
        """Log a refusal with the configuration that it went by.

        Callers cannot tell a queue that is not known yet from one whose jobs nobody can be asked
        about; and one instance's refusal says nothing of how old its configuration is.
        """
        if status not in _LOGGED_REFUSALS:
            return
        context = self.context
        self.log.info(
            "call refused",
            verb=verb,
            path=path[:MAX_LOGGED_PATH],
            status=status,
            error=str(error),
            version=context.config.version if context.config is not None else None,
            version_age_s=round(self.now - context.config_at, 3),
            reaches_home=context.links is not None and context.links.reaches_home,
        )

    def not_ready(self):
        """Refuse a call that comes before any configuration."""
        raise NotReadyError("no configuration yet", details={"retry_after_s": 1})

    # Submitting

    @inlineCallbacks
    def submit(self, spec, queue):
        """Accept a job durably; AF302 says it certainly was not, AF305 that it may have been."""
        # The leader then sends none of the starts itself, and need not hold the payload.
        gateway = self.context.name if self.context.uses_relays else ""
        value = JobRow(spec=spec, queue=queue, config_version=self.config.version, entry=gateway)
        if len(encode(value)) > MAX_ROW_BYTES:
            # The store refuses it however often it comes. Taken for a write in doubt, the client
            # was told to send it again, and the instance took the store for away each time.
            raise TooLargeError(f"the job's row is over {MAX_ROW_BYTES} bytes")
        job_id = spec.job_id
        yield self._refuse_if_late(spec, queue)
        unsure = False
        # A write without an answer leaves its client in doubt, and in an outage every one would be
        # such. That the store answers again is seen within 0.15 s, without a client's request:
        # tried again by one of them each second, every other one waited for 0.9 s.
        if not self.context.store_health.is_failing:
            try:
                version = yield self._store(value)
            except PlatformRefusedError:
                self.context.store_health.record_failure()
            except SlowWriteError as exc:
                self.log.info("job's row not written in time", job=job_id)
                raise UnknownOutcomeError("the job may or may not be accepted") from exc
            except PlatformError as exc:
                self.context.store_health.record_failure()
                self.log.info("job's row unanswered", job=job_id, error=str(exc))
                unsure = True
            else:
                self.log.info("job accepted", job=job_id, queue=queue.name, version=version)
                if version:
                    if gateway:
                        self.context.payloads.keep(job_id, spec.payload)
                        value = without_payload(value)
                    self._notify_leader(value, version)
                return
        outcome = yield self._submit_at_leader(value)
        self.log.info("job handed to the home", job=job_id, outcome=outcome, unsure=unsure)
        if outcome == "ok":
            return
        if unsure or outcome == "unsure":
            raise UnknownOutcomeError("the job may or may not be accepted; send it again")
        raise RequestError(
            "the job was not accepted: the store is unreachable",
            details={"retry_after_s": self._retry_after()},
        )

    @inlineCallbacks
    def _refuse_if_late(self, spec, queue):
        """Refuse a job that would begin so late that it cannot be done when it should be.

        Accepted, it would be done too late itself and make others late. One that may have been
        accepted already is not refused: that it has not run would not be true.
        """
        wait_s = self.context.start_waits.wait_s(queue.priority)
        if wait_s <= _objective_s(spec, queue) or self.context.store_health.is_failing:
            return
        try:
            state, _ = yield read_stored_job(self.context.store, spec.job_id)
        except PlatformError:
            return
        if state is None:
            raise OverloadedError(
                "the job was not accepted: it would begin too late",
                details={"retry_after_s": min(MAX_RETRY_AFTER_S, wait_s)},
            )

    @inlineCallbacks
    def _store(self, value):
        health = self.context.store_health
        began = self.now
        version = yield store_job_surely(
            self.context.store,
            value,
            clock=self.context.clock,
            doubt_s=answer_timeout(health.answer_s),
        )
        health.answer_s = self.now - began
        health.record_answer()
        self.context.meters.timed("accept", self.now - began)
        return version

    def _retry_after(self):
        wait = self.context.store_health.failing_for_s * RETRY_AFTER_SHARE
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def _notify_leader(self, value, version):
        job_id = value.spec.job_id
        self._untold[job_id] = (value, version)
        done = self.context.links.call_leader(
            LEADER_TIMEOUT_S,
            verb="accepted",
            job_id=job_id,
            queue=value.queue.name,
            version=version,
            body=encode(value),
        )
        done.addCallback(self._told, job_id)
        done.addErrback(self._not_told, job_id)

    def _told(self, reply, job_id):
        if reply.outcome == "ok":
            self._untold.pop(job_id, None)

    def _tell_again(self):
        """Tell a new leader of the jobs that the former one may not have heard of.

        It finds them in its feed, too, but up to a second later.
        """
        untold, self._untold = self._untold, {}
        for value, version in untold.values():
            self._notify_leader(value, version)

    def _not_told(self, failure, job_id):
        failure.trap(AnvilflowError)
        self.log.info("home not told", job=job_id, error=str(failure.value))

    @inlineCallbacks
    def _submit_at_leader(self, value):
        """Let the leader store a job; return ok, refused (certainly not stored) or unsure."""
        if self.context.leader is not None:
            return "refused"
        try:
            reply = yield self._ask(
                "submit", value.spec.job_id, value.queue.name, encode(value), SUBMIT_TIMEOUT_S
            )
        except NotReadyError:
            return "refused"
        except AnvilflowError:
            return "unsure"
        return _SUBMIT_OUTCOMES.get(reply.outcome, "unsure")

    def _ask(self, verb, job_id, queue, body=b"", timeout=LEADER_TIMEOUT_S):
        return self.context.links.call_leader(
            timeout, verb=verb, job_id=job_id, queue=queue, version=0, body=body
        )

    # Asking

    @inlineCallbacks
    def state(self, queue, job_id):
        """Return a job's state; AF304 when there is no such job."""
        known = self._ended.get(job_id)
        if known is not None:
            return known
        try:
            reply = yield self._ask("state", job_id, queue.name)
            outcome = reply.outcome
        except AnvilflowError:
            outcome = "not home"
        if outcome in _STATE_NAMES:
            return self._remember(job_id, JobState(outcome))
        state = yield self._stored_state(job_id)
        return self._remember(job_id, state)

    def _remember(self, job_id, state):
        if state in ENDED_STATES:
            self._ended[job_id] = state
            while len(self._ended) > STATES_KEPT:
                self._ended.popitem(last=False)
        return state

    @inlineCallbacks
    def _stored_state(self, job_id):
        try:
            state, _ = yield read_stored_job(self.context.store, job_id)
        except PlatformError as exc:
            raise NotReadyError(
                f"the job's state cannot be read: {exc}", details={"retry_after_s": 1}
            ) from exc
        if state is None:
            raise JobGoneError(f"there is no job {job_id}")
        return state

    @inlineCallbacks
    def pending(self, queue):
        """Return how many of a queue's jobs have not begun.

        A queue of the configuration is served whether there is a leader or not: its loss must not
        look like a queue that is not known.
        """
        waiting = self.context.waiting
        if self.context.leader is not None or not waiting.is_known:
            n_jobs = yield self._pending_at_leader(queue)
            if n_jobs is not None:
                return n_jobs
        yield waiting.await_first()
        yield waiting.refresh()
        return waiting.count(queue.name)

    @inlineCallbacks
    def _pending_at_leader(self, queue):
        """Ask the leader; return None where that does not tell.

        A leader of an earlier release does not tell by itself what waits.
        """
        try:
            reply = yield self._ask("pending", "", queue.name)
        except AnvilflowError:
            return None
        return reply.count if reply.outcome == "ok" else None

    @inlineCallbacks
    def cancel(self, queue, job_id):
        """Cancel a job durably; AF304 when there is no such job."""
        try:
            reply = yield self._ask("cancel", job_id, queue.name, timeout=CANCEL_TIMEOUT_S)
            outcome = reply.outcome
        except AnvilflowError:
            outcome = "not home"
        if outcome == "ok":
            return
        try:
            found = yield cancel_stored_job(self.context.store, job_id)
        except PlatformError as exc:
            raise NotReadyError(
                f"the cancelling is not durable: {exc}", details={"retry_after_s": 1}
            ) from exc
        self.log.info("job cancelled without its home", job=job_id, found=found)
        if not found:
            raise JobGoneError(f"there is no job {job_id}")


def _objective_s(spec, queue):
    """Return when a job should be done; one that lasts or is due later has no such time.

    Unit: seconds from its acceptance.
    """
    if spec.n_occurrences or any(step.long_running for step in spec.steps):
        return float("inf")
    return queue.stretch * longest_chain_s(spec.steps) + queue.target_latency_s
