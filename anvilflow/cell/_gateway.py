"""Front end of an instance: serves the calls of clients."""

from collections import OrderedDict

from twisted.internet.defer import inlineCallbacks
from twisted.web.server import Site

from ..exceptions import (
    AnvilflowError,
    JobGoneError,
    JobIdTakenError,
    NotReadyError,
    PlatformError,
    PlatformRefusedError,
    RequestError,
    SlowWriteError,
    TooLargeError,
    UnknownOutcomeError,
)
from ..jobs import ENDED_STATES, JobState
from ..platform import JobsResource, ReadyResource
from ..runtime import Part
from ..utils import encode
from ._access import authorize, refuse_if_above_maximum
from ._admission_request import make_request, refuse_if_late
from ._answer_timeout import answer_timeout
from ._context import JobsRead, LeaderChanged
from ._job_store import cancel_stored_job, read_stored_job, store_job_with_read_back
from ._tables import MAX_ROW_BYTES, JobRow, without_payload
from ._unconfirmed_jobs import UnconfirmedJobs

#: Timeout of a call to the leader, after which the store is read instead. The leader answers within
#: a few milliseconds unless it is just being replaced. Unit: seconds.
LEADER_TIMEOUT_S = 0.4

#: Timeout of the call that has the leader store a job which this instance could not store. Unit:
#: seconds.
SUBMIT_TIMEOUT_S = 0.9

#: Timeout of the call that has the leader make a cancellation durable. Unit: seconds.
CANCEL_TIMEOUT_S = 1.2

#: Retry-After of a call that is refused in an outage: a third of the time that the outage has
#: lasted so far, as short outages are over soon, within these bounds. The store's recovery is
#: detected within 0.2 s, and the retries are as spread out as the refused calls were. Unit:
#: seconds.
RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 10

#: Results of a submit by the leader's outcome; after any other outcome the job may or may not be
#: stored.
_SUBMIT_RESULTS = {"ok": "ok", "refused": "refused", "not home": "refused", "taken": "taken"}

#: Verbs that are counted under their own name. A client may send any text as the verb, so all
#: others share one label value.
_VERBS = frozenset({"POST", "GET", "DELETE"})

_STATE_NAMES = frozenset(map(str, JobState))

#: Time without the store and without the leader after which the balancer's check fails, so that it
#: sends no new connections: only this instance is cut off, and others serve. Unit: seconds.
MAX_CUT_OFF_S = 0.5

#: Remaining time for which keys can be checked below which the balancer's check fails: it takes two
#: failed checks, a second apart. Unit: seconds.
MIN_CHECKABLE_S = 1.0

#: Statuses of refusals that an outdated configuration can cause; these refusals are logged.
_LOGGED_REFUSALS = frozenset({401, 404, 503})

#: Longest part of a path in a log line; clients may send paths of any length. Unit: characters.
MAX_LOGGED_PATH_CHARS = 200

#: Number of jobs whose final states are cached: these never change, and clients read them
#: repeatedly.
MAX_CACHED_STATES = 2000


class GatewayPart(Part):
    """Stores jobs durably, and serves their states, counts of pending jobs and cancellations."""

    prefix = "entry"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._final_states = OrderedDict()
        self._unconfirmed_jobs = UnconfirmedJobs(context=context, log=self.log)
        self.front = None
        self._front_port = None

    @property
    def n_in_progress(self):
        """Number of client calls that have been received and not answered yet."""
        return self.front.n_in_progress

    def stop_listening(self):
        """Accept no new connections of clients; open connections are still served."""
        self._front_port.stopListening()

    @property
    def config(self):
        """The configuration in force."""
        return self.context.config

    @property
    def closing(self):
        """Whether each connection is closed after its next answer."""
        return self.context.leaving

    def start(self):
        """Listen for clients and for the balancer's check."""
        listen = self.context.settings.listen
        self.front = JobsResource(gateway=self)
        front = Site(self.front, timeout=60)
        front.log = lambda request: None
        ready = Site(ReadyResource(is_ready=self._is_ready), timeout=60)
        ready.log = lambda request: None
        self._listen(listen.ready, ready)
        self._front_port = self._listen(listen.front, front)
        self.on(LeaderChanged, lambda *_: self._unconfirmed_jobs.report_all())
        self.on(JobsRead, lambda _, read: self._unconfirmed_jobs.table_read(read.version))
        self.log.info("listening to clients", address=listen.front)

    def _listen(self, address, site):
        port, _ = self.context.network.listen(address, site)
        self._stack.callback(port.stopListening)
        return port

    def _is_ready(self):
        context = self.context
        if context.config is None or context.leaving:
            return False
        if context.uses_keys and context.keys_checkable_s < MIN_CHECKABLE_S:
            return False
        is_isolated = context.links is not None and not context.links.reaches_home
        return not (is_isolated and context.store_health.failing_for_s > MAX_CUT_OFF_S)

    def answered(self, verb, status):
        """Count an answer to a client by verb and status."""
        verb = verb if verb in _VERBS else "other"
        self.context.meters.count("calls", verb, str(status))

    def refused(self, verb, path, status, error):
        """Log a refused call with the version and age of the configuration it was checked against.

        The answer itself does not show this: a client cannot distinguish a queue that is not yet in
        this instance's configuration from one whose jobs cannot be read at present, nor see how old
        that configuration is.
        """
        if status not in _LOGGED_REFUSALS:
            return
        context = self.context
        self.log.info(
            "call refused",
            verb=verb,
            path=path[:MAX_LOGGED_PATH_CHARS],
            status=status,
            error=str(error),
            version=context.config.version if context.config is not None else None,
            version_age_s=round(self.now - context.config_at, 3),
            reaches_home=context.links is not None and context.links.reaches_home,
        )

    def not_ready(self):
        """Refuse a call that arrives before the first configuration has been read."""
        raise NotReadyError("no configuration has been read yet", details={"retry_after_s": 1})

    # Access

    @property
    def uses_keys(self):
        """Whether calls need API keys."""
        return self.context.uses_keys

    def authorize(self, queue, key):
        """Return a Deferred of the account that makes a call; see :func:`authorize`."""
        return authorize(self.context, queue, key)

    # Submission

    @inlineCallbacks
    def submit(self, spec, queue, account=None):
        """Accept a job durably.

        Raises
        ------
        JobIdTakenError
            AF310: another account has a job with this id.
        AccountLimitError
            AF309: the account's maximum does not allow one of the job's tasks or gangs.
        OverloadedError
            AF306: the job would be done too late to be of use; it was not accepted.
        RequestError
            AF302: the job was certainly not accepted.
        UnknownOutcomeError
            AF305: the job may or may not have been accepted.
        """
        # With relays the leader sends no starts itself and need not keep the payload: the gateway
        # caches it.
        gateway = self.context.name if self.context.uses_relays else ""
        value = JobRow(
            spec=spec,
            queue=queue,
            config_version=self.config.version,
            entry=gateway,
            account=account,
        )
        if len(encode(value)) > MAX_ROW_BYTES:
            # The store refuses such a row every time. If that refusal counted as a write of unknown
            # outcome, the client would be asked to send the job again, and this instance would
            # count the store as unavailable each time.
            raise TooLargeError(f"the job's row exceeds {MAX_ROW_BYTES} bytes")
        job_id = spec.job_id
        yield refuse_if_above_maximum(self.context.store, spec, account)
        request = make_request(spec, queue, account)
        yield refuse_if_late(self.context, self.log, spec, queue, request)
        in_doubt = False
        # No write is tried in an outage: it would get no answer, and its client could not determine
        # whether the job is stored. A probe detects within 0.15 s that the store answers again.
        # When one client's request a second served as the probe, every second request waited 0.9 s.
        if not self.context.store_health.is_failing:
            try:
                version = yield self._store(value)
            except PlatformRefusedError:
                self.context.store_health.record_failure()
            except SlowWriteError as exc:
                self.log.info("job's row not written in time", job=job_id)
                raise UnknownOutcomeError("the job may or may not have been accepted") from exc
            except PlatformError as exc:
                self.context.store_health.record_failure()
                self.log.info("job's row unanswered", job=job_id, error=str(exc))
                in_doubt = True
            else:
                self.log.info(
                    "job accepted",
                    job=job_id,
                    queue=queue.name,
                    account=value.owner,
                    version=version,
                )
                if version:
                    self.context.admission.note_accepted(request)
                    if gateway:
                        self.context.payloads.keep(job_id, spec.payload)
                        value = without_payload(value)
                    self._unconfirmed_jobs.add(value, version)
                return
        outcome = yield self._submit_at_leader(value)
        self.log.info("job handed to the home", job=job_id, outcome=outcome, unsure=in_doubt)
        if outcome == "ok":
            return
        if outcome == "taken":
            raise JobIdTakenError(f"the id {job_id} is in use")
        if in_doubt or outcome == "unsure":
            raise UnknownOutcomeError("the job may or may not have been accepted; send it again")
        raise RequestError(
            "the job was not accepted: the store is unreachable",
            details={"retry_after_s": self._retry_after()},
        )

    @inlineCallbacks
    def _store(self, value):
        health = self.context.store_health
        began = self.now
        version = yield store_job_with_read_back(
            self.context.store,
            value,
            clock=self.context.clock,
            read_back_after_s=answer_timeout(health.answer_s),
        )
        health.answer_s = self.now - began
        health.record_answer()
        self.context.meters.record_duration("accept", self.now - began)
        return version

    def _retry_after(self):
        wait = self.context.store_health.failing_for_s * RETRY_AFTER_SHARE
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    @inlineCallbacks
    def _submit_at_leader(self, value):
        """Have the leader store a job; return ok, refused (certainly not stored) or unsure."""
        if self.context.leader is not None:
            return "refused"
        try:
            reply = yield self._call_leader(
                "submit", value.spec.job_id, value.queue.name, encode(value), SUBMIT_TIMEOUT_S
            )
        except NotReadyError:
            return "refused"
        except AnvilflowError:
            return "unsure"
        return _SUBMIT_RESULTS.get(reply.outcome, "unsure")

    def _call_leader(self, verb, job_id, queue, body=b"", timeout=LEADER_TIMEOUT_S, *, caller=None):
        return self.context.links.call_leader(
            timeout, verb=verb, job_id=job_id, queue=queue, version=0, body=body, account=caller
        )

    # States, counts and cancellation

    @inlineCallbacks
    def state(self, queue, job_id, account=None):
        """Return a job's state; raise AF304 if the calling account has no such job.

        A job of another account is treated as a missing one, so that its existence is not revealed.
        """
        caller = _name_of(account)
        known = self._final_states.get((job_id, caller))
        if known is not None:
            return known
        try:
            reply = yield self._call_leader("state", job_id, queue.name, caller=caller)
            outcome = reply.outcome
        except AnvilflowError:
            outcome = "not home"
        if outcome in _STATE_NAMES:
            return self._cache_if_final(job_id, caller, JobState(outcome))
        state = yield self._stored_state(job_id, caller)
        return self._cache_if_final(job_id, caller, state)

    def _cache_if_final(self, job_id, caller, state):
        if state in ENDED_STATES:
            self._final_states[job_id, caller] = state
            while len(self._final_states) > MAX_CACHED_STATES:
                self._final_states.popitem(last=False)
        return state

    @inlineCallbacks
    def _stored_state(self, job_id, caller):
        try:
            state, _ = yield read_stored_job(self.context.store, job_id, caller)
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

        A queue that the configuration lists is served with or without a leader: to clients, the
        loss of the leader must not look like an unknown queue.
        """
        pending_jobs = self.context.pending_job_counts
        if self.context.leader is not None or not pending_jobs.is_known:
            n_jobs = yield self._pending_at_leader(queue)
            if n_jobs is not None:
                return n_jobs
        yield pending_jobs.await_first_report()
        yield pending_jobs.refresh()
        return pending_jobs.count(queue.name)

    @inlineCallbacks
    def _pending_at_leader(self, queue):
        """Return the leader's count of a queue's pending jobs, or None without an answer.

        Also covers a leader of an earlier release, whose heartbeats carry no counts.
        """
        try:
            reply = yield self._call_leader("pending", "", queue.name)
        except AnvilflowError:
            return None
        return reply.count if reply.outcome == "ok" else None

    @inlineCallbacks
    def cancel(self, queue, job_id, account=None):
        """Cancel a job durably; raise AF304 if the calling account has no such job."""
        caller = _name_of(account)
        try:
            reply = yield self._call_leader(
                "cancel", job_id, queue.name, timeout=CANCEL_TIMEOUT_S, caller=caller
            )
            outcome = reply.outcome
        except AnvilflowError:
            outcome = "not home"
        if outcome == "ok":
            return
        try:
            found = yield cancel_stored_job(self.context.store, job_id, caller)
        except PlatformError as exc:
            raise NotReadyError(
                f"the cancellation could not be stored: {exc}", details={"retry_after_s": 1}
            ) from exc
        self.log.info("job cancelled without its home", job=job_id, found=found)
        if not found:
            raise JobGoneError(f"there is no job {job_id}")


def _name_of(account):
    """Return the name under which a call is made to the leader; empty for one without a key."""
    return account.name if account is not None else ""
