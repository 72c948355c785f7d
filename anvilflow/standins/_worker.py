"""Stand-in for a worker that runs timed tasks under leases and service requests.

A payload is JSON: ``{"token": ..., "seconds": ...}``. The run takes `seconds`. The answer holds the
token, so that a caller can distinguish its own answer from others.
"""

from random import Random

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import ClaimReport, FinishedTask, SyncReport
from ..exceptions import AnvilflowError, WorkerRefusedError, WorkerUnreachableError
from ..history import RunBegan, RunEnded, WorkerKnown
from ..resources import Amounts
from ..utils import decode_lenient, encode
from ._faults import deliver_on_clock
from ._server import make_app

#: Time-out of control calls of :class:`MemoryWorker`. Unit: seconds.
_TIMEOUT_S = 2.0


class _Run:
    """An active task and its scheduled calls."""

    __slots__ = ("end", "hold_id", "lapse", "needs", "until")

    def __init__(self, *, hold_id, needs, until):
        self.hold_id = hold_id
        self.needs = needs
        self.until = until
        self.end = None
        self.lapse = None


class WorkerState:
    """State and behaviour of a worker according to its contract.

    Parameters
    ----------
    clock : IReactorTime
    name : str
    capacity : Amounts
    faults : Faults
    history : History, default=None
        Record of the runs.
    random_state : random.Random, default=None
        Source of first epochs; None: a generator seeded with the name.

    Notes
    -----
    The worker does not refuse work beyond its capacity: the scheduler guarantees the invariant that
    no such work is sent, and tests check it in the history.
    """

    def __init__(self, *, clock, name, capacity, faults, history=None, random_state=None):
        self.clock = clock
        self.name = name
        self.capacity = capacity
        self.faults = faults
        self.history = history
        self.random_state = random_state or Random(name)
        self.epoch = self._first_epoch()
        self.owner = ""
        self.tasks = {}
        self.finished = {}
        self.requests = {}
        self._barred_until = {}
        self._record(WorkerKnown, worker=name, capacity=capacity)

    # Calls of the contract

    def claim(self, value):
        """Accept a new owner and start a new epoch; calls under earlier epochs are refused."""
        self.epoch += 1
        self.owner = value["owner"]
        return ClaimReport(
            epoch=self.epoch,
            clock=self.clock.seconds(),
            capacity=self.capacity,
            tasks=[(run.hold_id, run.needs) for run in self.tasks.values()],
            finished=list(self.finished.values()),
            requests=list(self.requests.items()),
        )

    def sync(self, value):
        """Renew leases, stop tasks and drop acknowledged ends; return a report."""
        self._check_epoch(value["epoch"])
        for hold_id, until in value["renew"]:
            if hold_id in self.tasks:
                self._lease(self.tasks[hold_id], until)
        for hold_id in value["stop"]:
            self._barred_until[hold_id] = self.clock.seconds() + 3600
            if hold_id in self.tasks:
                self._end(hold_id, "stopped")
        for hold_id in value["forget"]:
            self.finished.pop(hold_id, None)
        return SyncReport(
            clock=self.clock.seconds(),
            tasks=list(self.tasks),
            finished=list(self.finished.values()),
            requests=list(self.requests),
        )

    def start(self, value):
        """Start a task; ignore a repeated start, and refuse an expired or stopped one."""
        self._check_epoch(value["epoch"])
        hold_id = value["hold_id"]
        now = self.clock.seconds()
        if hold_id in self.tasks or hold_id in self.finished:
            return {}
        if value["until"] <= now or self._barred_until.get(hold_id, 0) > now:
            raise WorkerRefusedError(f"{hold_id} may not start: lease expired, stopped or ended")
        needs = _amounts(value["needs"])
        run = _Run(hold_id=hold_id, needs=needs, until=value["until"])
        self.tasks[hold_id] = run
        token, seconds = _read_payload(value["payload"])
        self._record_began(hold_id, needs, token, task=True)
        self._lease(run, value["until"])
        run.end = self.clock.callLater(self._seconds(seconds), self._finish, hold_id, token)
        return {}

    @inlineCallbacks
    def request(self, epoch, request_id, needs, payload, until):
        """Run a service request and return the answer; refuse the request after its deadline."""
        self._check_epoch(epoch)
        self._check_in_time(request_id, until)
        token, seconds = _read_payload(payload)
        self.requests[request_id] = needs
        self._record_began(request_id, needs, token, task=False)
        try:
            if seconds and not self.faults.fail_runs:
                yield deferLater(self.clock, self._seconds(seconds), lambda: None)
        finally:
            del self.requests[request_id]
            how = "failed" if self.faults.fail_runs else "ok"
            self._record(RunEnded, worker=self.name, item=request_id, how=how)
        if self.faults.fail_runs:
            raise AnvilflowError("the worker fails all runs: fault switch fail_runs is set")
        return {"token": token}

    def crash(self):
        """Lose all state, as a worker does that crashes and restarts."""
        for hold_id in list(self.tasks):
            self._end(hold_id, "lost")
        self.finished.clear()
        self._barred_until.clear()
        self.epoch = self._first_epoch()

    # Internals

    def _first_epoch(self):
        # A restarted worker has lost its epochs. If it counted from 1 again, it would accept calls
        # of an owner of its previous incarnation as calls of the current owner.
        return self.random_state.getrandbits(40) << 16

    def _check_epoch(self, epoch):
        if epoch != self.epoch:
            raise WorkerRefusedError(f"epoch {epoch} is not the current epoch {self.epoch}")

    def _check_in_time(self, request_id, until):
        if self.clock.seconds() > until:
            raise WorkerRefusedError(f"{request_id} arrived after its deadline")

    def _seconds(self, seconds):
        return seconds * self.faults.size_factor

    def _lease(self, run, until):
        run.until = max(run.until, until)
        if run.lapse is not None and run.lapse.active():
            run.lapse.cancel()
        delay = max(0.0, run.until - self.clock.seconds())
        run.lapse = self.clock.callLater(delay, self._end, run.hold_id, "lapsed")

    def _finish(self, hold_id, token):
        ok = not self.faults.fail_runs
        self._end(hold_id, "ok" if ok else "failed")
        self.finished[hold_id] = FinishedTask(hold_id=hold_id, ok=ok, result=token)

    def _end(self, hold_id, how):
        run = self.tasks.pop(hold_id)
        # A delayed start must not run the task a second time. The lease that it names ends at this
        # time at the latest, after which the start is refused anyway.
        self._barred_until[hold_id] = run.until
        for call in (run.end, run.lapse):
            if call is not None and call.active():
                call.cancel()
        self._record(RunEnded, worker=self.name, item=hold_id, how=how)

    def _record_began(self, item, needs, token, *, task):
        self._record(RunBegan, worker=self.name, item=item, task=task, needs=needs, token=token)

    def _record(self, kind, **values):
        if self.history is not None:
            self.history.add(kind, **values)


class WorkerServer:
    """HTTP server for a :class:`WorkerState`."""

    def __init__(self, *, state):
        self.state = state
        faults = state.faults
        self.app = make_app(
            {"claim": state.claim, "sync": state.sync, "start": state.start}, faults
        )
        self.app.route("/request", methods=["POST"])(self._request)

    @inlineCallbacks
    def _request(self, request):
        epoch, request_id, _, needs, until = decode_lenient(request.getHeader("x-anvilflow-call"))
        payload = request.content.read()
        try:
            result = yield self.state.faults.around(
                self.state.request, epoch, request_id, _amounts(needs), payload, until
            )
        except AnvilflowError as exc:
            request.setResponseCode(exc.http_status)
            return encode(exc.to_dict())
        return encode(result)


class MemoryWorker:
    """Client with the interface of :class:`WorkerClient`.

    Calls a :class:`WorkerState` in the same process.
    """

    def __init__(self, *, state, clock):
        self.state = state
        self.clock = clock
        self.epoch = 0

    @inlineCallbacks
    def claim(self, owner):
        """Become the worker's owner."""
        report = yield self._call(self.state.claim, {"owner": owner})
        self.epoch = report.epoch
        return report

    def sync(self, *, renew, stop, forget):
        """Renew leases, stop tasks and drop acknowledged ends."""
        value = {"epoch": self.epoch, "renew": renew, "stop": stop, "forget": forget}
        return self._call(self.state.sync, value)

    def start(self, *, hold_id, needs, until, workload, payload):
        """Start a task."""
        value = {
            "epoch": self.epoch,
            "hold_id": hold_id,
            "needs": needs,
            "until": until,
            "payload": payload,
        }
        return self._call(self.state.start, value)

    @inlineCallbacks
    def request(self, *, request_id, workload, needs, payload, until, timeout):
        """Run a request; after `timeout` the call fails, and the request continues unanswered."""
        args = (self.state.request, self.epoch, request_id, needs, payload, until)
        try:
            result = yield self._call(*args, timeout=timeout)
        except (WorkerRefusedError, WorkerUnreachableError):
            raise
        except AnvilflowError as exc:
            return False, encode(exc.to_dict())
        return True, encode(result)

    @inlineCallbacks
    def _call(self, act, *args, timeout=_TIMEOUT_S):
        try:
            result = yield deliver_on_clock(
                self.clock,
                self.state.faults.around(act, *args),
                timeout=timeout,
                error=WorkerUnreachableError,
            )
        except WorkerRefusedError:
            raise
        except AnvilflowError as exc:
            if exc.code == "AF402":
                raise WorkerUnreachableError(str(exc)) from exc
            raise
        return result


def _read_payload(payload):
    try:
        value = decode_lenient(payload)
        return str(value.get("token", "")), float(value.get("seconds", 0.0))
    except (ValueError, AttributeError, TypeError):
        return "", 0.0


def _amounts(value):
    return value if isinstance(value, Amounts) else Amounts(**value)
