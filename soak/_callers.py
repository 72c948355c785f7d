"""Callers that submit jobs, retry unanswered requests, poll the jobs and cancel some of them."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from anvilflow.clients import HttpClient
from anvilflow.standins import make_job_body
from anvilflow.utils import decode_lenient

#: Timeout of one request. Unit: seconds.
REQUEST_TIMEOUT_S = 3.0

#: Time for which a caller retries a submit that was refused or got no answer. Unit: seconds.
SUBMIT_TIMEOUT_S = 12.0

#: Interval between polls of a job's state. Unit: seconds.
POLL_INTERVAL_S = 0.4

#: Fraction of the jobs that crash their workers.
CRASH_SHARE = 0.03

#: Delays from the start of a task to the crash of its worker. Unit: seconds.
CRASH_DELAYS_S = (0.01, 0.01, 0.5, 1.5)

#: Final states of a job.
END_STATES = frozenset({"completed", "failed", "cancelled"})

_HOST = {b"host": [b"desk.example"], b"content-type": [b"application/json"]}


class Call(Struct, kw_only=True):
    """A caller's record of its job.

    `how` is the outcome of the job's tasks, `shown` the last state that a call returned. `in_doubt`
    is set when a submit may have been accepted without an acknowledgement. `cancelled` is set
    before the cancellation is sent, `cancelled_at` is when it was acknowledged. `ended_at` is when
    a final state was first shown.
    """

    job_id: str
    path: str
    steps: list[dict]
    how: str
    n_tasks: int
    accepted_at: float | None = None
    in_doubt: bool = False
    cancelled: bool = False
    cancelled_at: float | None = None
    shown: str = ""
    ended_at: float | None = None


class Callers:
    """Submits jobs and polls them until they end.

    Parameters
    ----------
    reactor : IReactorTime
    fronts : dict of str to str
        Address at which each instance accepts callers' connections.
    random_state : random.Random
    checker : InvariantChecker
    crash_random_state : random.Random
        Draws which jobs crash their workers, and after which delay.

    Notes
    -----
    `acknowledged` is called with "accepted", "cancelled" or "completed" as soon as a caller
    receives that acknowledgement.
    """

    def __init__(self, *, reactor, fronts, random_state, checker, crash_random_state):
        self.reactor = reactor
        self.fronts = fronts
        self.random_state = random_state
        self.checker = checker
        self.crash_random_state = crash_random_state
        self.calls = []
        self.acknowledged = lambda what: None
        self._http = HttpClient(clock=reactor, connections=4)

    def _now(self):
        return self.reactor.seconds()

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    def make_call(self):
        """Return a random job of one to three steps; about one in eight is made to fail."""
        rng = self.random_state
        job_id = f"{rng.getrandbits(64):016x}"
        queue = rng.choice(["urgent", "urgent", "bulk"])
        how = "failed" if rng.random() < 0.12 else "done"
        steps = []
        for number in range(rng.choice([1, 1, 2, 3])):
            step = {"count": rng.randint(1, 5), "cpu": 1000, "estimate-ms": 600}
            if number:
                step["after"] = [number - 1]
            steps.append(step)
        if self.crash_random_state.random() < CRASH_SHARE:
            how = "crash"
            steps = [{"count": 1, "cpu": 1000, "estimate-ms": 600}]
        return Call(
            job_id=job_id,
            path=f"/{queue}/{job_id}",
            steps=steps,
            how=how,
            n_tasks=sum(step["count"] for step in steps),
        )

    @inlineCallbacks
    def run_job(self):
        """Submit one job and poll it to its end or that of the soak; cancel about one in six."""
        call = self.make_call()
        self.calls.append(call)
        cancels = self.random_state.random() < 0.16
        seconds = round(self.random_state.uniform(0.2, 1.6), 2)
        if call.how == "crash":
            seconds = self.crash_random_state.choice(CRASH_DELAYS_S)
        body = make_job_body(*call.steps, spec=f"{seconds} {call.how} 1000")
        yield self.submit(call, body)
        if call.accepted_at is None:
            return
        if cancels:
            yield self._sleep(self.random_state.uniform(0.0, 2.0))
            yield self.cancel(call)
        while not self.checker.is_over and call.shown not in END_STATES:
            yield self.poll(call)
            yield self._sleep(POLL_INTERVAL_S)

    @inlineCallbacks
    def submit(self, call, body):
        """Submit a job until it is accepted or the time for it is over."""
        until = self._now() + SUBMIT_TIMEOUT_S
        while self._now() < until:
            status, _ = yield self._send_to_random_instance(b"POST", call.path, body)
            if status == 200:
                call.accepted_at = self._now()
                self.acknowledged("accepted")
                return
            call.in_doubt = call.in_doubt or status not in (429, 503)
            yield self._sleep(self.random_state.uniform(0.2, 1.0))

    @inlineCallbacks
    def cancel(self, call):
        """Cancel a job until this is acknowledged or the soak is over."""
        # Set before the request is sent: a cancellation without an answer may take effect.
        call.cancelled = True
        while not self.checker.is_over:
            status, _ = yield self._send_to_random_instance(b"DELETE", call.path)
            if status in (200, 410):
                call.cancelled_at = self._now()
                self.acknowledged("cancelled")
                return
            yield self._sleep(POLL_INTERVAL_S)

    @inlineCallbacks
    def poll(self, call):
        """Ask for a job's state once, and check it."""
        status, value = yield self._send_to_random_instance(b"GET", call.path)
        if status == 200:
            before, call.shown = call.shown, value["state"]
            if call.shown in END_STATES and call.ended_at is None:
                call.ended_at = self._now()
            self.checker.state_shown(call, before)
            if call.shown == "completed":
                self.acknowledged("completed")
        elif status == 410:
            self.checker.job_not_found(call)

    @inlineCallbacks
    def recheck_end_states(self, *, kept_s=float("inf")):
        """Poll every job shown in a final state once more: the state must not have changed.

        `kept_s` is the time for which the states of ended jobs are kept. Unit: seconds.
        """
        for call in self.calls:
            if call.shown in END_STATES and self._now() < call.ended_at + kept_s:
                yield self.poll(call)

    def _send_to_random_instance(self, method, path, body=b""):
        name = self.random_state.choice(sorted(self.fronts))
        return self.send_request(name, method, path, body)

    @inlineCallbacks
    def send_request(self, name, method, path, body=b""):
        """Call an instance; return status and decoded body, or (None, None) without an answer."""
        front = self.fronts[name]
        url = f"http://{front}{path}"
        try:
            status, answer = yield self._http.call(
                method, url, body, timeout=REQUEST_TIMEOUT_S, headers=_HOST
            )
        except Exception:  # every kind of failure counts as no answer
            return None, None
        return status, decode_lenient(answer) if answer else None
