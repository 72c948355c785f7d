"""Stand-in for a worker of the users' platform.

It implements starts, stops, lease renewals, leases and fencing tokens.
"""

from enum import StrEnum

from msgspec import Struct
from twisted.internet.defer import Deferred

from ..jobs import make_worker_id
from ..utils import decode_lenient, encode

#: Maximum lease of a worker, and time from a stop command to the end of the run. Unit: seconds.
MAX_LEASE_S = 6.0
STOP_S = 0.3

#: Default delay of starts and stops that are executed late. Unit: seconds.
LATE_START_DELAY_S = 2.0


class WorkerCall(StrEnum):
    """URL paths of a worker's protocol."""

    START = "/-/run-start"
    STOP = "/-/run-stop"
    HOLD = "/-/hold"
    PACE = "/-/pace"


class RunSpan(Struct, kw_only=True):
    """Record of one run of a task on a worker.

    Times are true times, independent of the worker's clock. Unit: seconds. `ended_at` is None while
    the run is active. `born_ms` is the start time of the worker's incarnation. `is_late` is set if
    the worker executed the start command late and without an answer.
    """

    worker: str
    task: str
    run_id: int
    cpu: int
    began_at: float
    born_ms: int | None = None
    is_late: bool = False
    ended_at: float | None = None
    how: str = ""


class PlatformWorker:
    """One incarnation of a worker.

    Parameters
    ----------
    clock : Clock
    worker_id, address : str
    cpu : int
        Unit: thousandths of a core.
    spans : list of RunSpan
        Record of all runs, shared by the workers of a cell.
    sizes : callable
        Returns the duration, the outcome and the processor use of a run, as ``(seconds, how,
        cpu)``, for the task's name and payload.
    born_ms : int, default=None
        Start time of this incarnation, which its registry entry and its lists of runs state. None:
        they state none, as on older platforms. Unit: milliseconds since 1970.

    Notes
    -----
    The worker does not enforce its capacity: the scheduler guarantees the invariant that the
    capacity is never exceeded, and tests check it. A run whose outcome is `crash` also crashes the
    worker and calls `on_crash`, if set.

    Attributes switch faults of single calls. The next `n_lost_starts` starts are executed but not
    answered. The next `n_late_starts` starts and `n_late_stops` stops are executed after `late_s`
    seconds and not answered. Lease renewals that arrive within `renewals_unanswered_between`
    (seconds of true time) are executed but not answered. `draw_delay` is called with the path of
    every other command; it returns the delay after which the command is executed without an
    answer, or None for no fault.

    `on_ends_dropped`, if set, is called with the worker and the ends that it drops because they are
    acknowledged.

    `remaining_s` is the time that a draining worker announces as left, None if it does not leave.
    Unit: seconds.

    `successor` is the next incarnation under the same id and address, if there is one: it executes
    the delayed commands of this one.

    With `trusts_lease`, a start whose ``until-ms`` has passed is refused only if the worker's lease
    has expired, too: the contract does not specify which of the two a worker checks.
    """

    def __init__(
        self,
        *,
        clock,
        worker_id,
        address,
        cpu,
        spans,
        sizes,
        rack="r1",
        offset_s=100.0,
        born_ms=None,
    ):
        self.clock = clock
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.successor = None
        self.address = address
        self.cpu = cpu
        self._capacities = [(0.0, cpu)]
        self.rack = rack
        self.spans = spans
        self.sizes = sizes
        self.offset_s = offset_s
        self.token = 0
        self.active = {}
        self.lengths = {}
        self.finished = []
        self.n_ended = 0
        self.until = 0.0
        self.lease_expiry = None
        self.barred_run_ids = {}
        self.pending_renewals = []
        self.n_renewals = 0
        self.alive = True
        self.fail_all = False
        self.paces = []
        self.n_lost_starts = 0
        self.n_late_starts = 0
        self.n_late_stops = 0
        self.late_s = LATE_START_DELAY_S
        self.draw_delay = None
        self.trusts_lease = False
        self.renewals_unanswered_between = (0.0, 0.0)
        self.serving_tail_ms = 0
        self.on_crash = None
        self.on_ends_dropped = None
        self.unacknowledged_ends = set()
        self.n_refused_tickets = 0
        self.remaining_s = None

    @property
    def identity(self):
        """Identity of this incarnation, under which instances keep its state."""
        return make_worker_id(self.worker_id, self.born_ms)

    def entry(self, *, state="ready"):
        """Return the worker's registry entry; a worker with `remaining_s` is draining."""
        remaining = {}
        if self.remaining_s is not None:
            state, remaining = "draining", {"remaining-ms": round(1000 * self.remaining_s)}
        return {
            "service": "desk",
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "sequence": 1,
            "capacity": {"cpu": self.cpu, "mem-mb": 32768},
            "labels": ["a", self.rack],
            **remaining,
            **self._born_field(),
        }

    def _born_field(self):
        return {} if self.born_ms is None else {"born": self.born_ms}

    def set_capacity(self, cpu):
        """Change the worker's capacity at run time. Unit: thousandths of a core."""
        self.cpu = cpu
        self._capacities.append((self.clock.seconds(), cpu))

    def max_capacity(self, at, window_s):
        """Return the highest capacity in effect during the `window_s` seconds up to `at`."""
        changes = [capacity for since, capacity in self._capacities if at - window_s < since <= at]
        before = [capacity for since, capacity in self._capacities if since <= at - window_s]
        return max([*changes, *before[-1:]])

    def clock_s(self):
        """Return the worker's own clock. Unit: seconds."""
        return self.clock.seconds() + self.offset_s

    def crash(self, *, how="crashed"):
        """Crash the worker: end all runs; pending calls get no answer, later ones are refused."""
        self.alive = False
        self._record_unacknowledged_ends()
        for task in list(self.active):
            self._end(task, how, listed=False)

    def _record_unacknowledged_ends(self):
        """Record the ends not acknowledged before the lease expired or the worker crashed."""
        self.unacknowledged_ends |= {(task, run_id) for _, task, run_id, _, _ in self.finished}

    def _crash_by_task(self, task):
        """Crash the worker because of a task that runs on it, and call `on_crash`."""
        self._end(task, "crash", listed=False)
        self.crash()
        if self.on_crash is not None:
            self.on_crash()

    def handle(self, method, path, query, body, headers):
        """Execute a command; return the response, or a Deferred that never fires under a fault."""
        if self.successor is not None:
            # The connection ended with this incarnation.
            return Deferred()
        delay = self._delay_of(path)
        if delay is not None:
            self.clock.callLater(delay, self._act, path, body, headers, is_late=True)
            return Deferred()
        answer = self._act(path, body, headers)
        if path == WorkerCall.START and self.n_lost_starts:
            self.n_lost_starts -= 1
            return Deferred()
        first, last = self.renewals_unanswered_between
        is_renewal = path == WorkerCall.HOLD and b"until-ms" in body
        if is_renewal and first < self.clock.seconds() < last:
            return Deferred()
        return answer

    def _delay_of(self, path):
        """Return the delay before a command is executed, or None to execute it immediately."""
        if path == WorkerCall.START and self.n_late_starts:
            self.n_late_starts -= 1
            return self.late_s
        if path == WorkerCall.STOP and self.n_late_stops:
            self.n_late_stops -= 1
            return self.late_s
        return self.draw_delay(path) if self.draw_delay is not None else None

    def _act(self, path, body, headers, *, is_late=False):
        if self.successor is not None and is_late:
            return self.successor._act(path, body, headers, is_late=True)
        expected = headers.get(b"x-expect-instance", [b""])[0].decode()
        if expected != self.worker_id or not self.alive:
            return 421, b""
        call = decode_lenient(body)
        if call.get("fencing-token", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = max(self.token, call.get("fencing-token", 0))
        match path:
            case WorkerCall.START:
                return self._start(call, is_late)
            case WorkerCall.STOP:
                return self._stop(call)
            case WorkerCall.HOLD:
                return self._handle_renewal(call)
            case WorkerCall.PACE:
                self.paces.append((call["task"], call["percent"]))
                return self._answer(200)
            case _:
                return 404, b""

    def _answer(self, status, **values):
        return status, encode({"clock-ms": int(self.clock_s() * 1000), **values})

    def _start(self, call, is_late):
        task, run_id = call["task"], call["run-id"]
        run = self.active.get(task)
        if run is not None and run.run_id == run_id:
            return self._answer(200)
        if run_id <= self.barred_run_ids.get(task, 0) or run is not None:
            return self._answer(409, reason="old")
        ticket = call.get("ticket")
        if ticket is not None and ticket != make_ticket(self.worker_id, self.born_ms):
            self.n_refused_tickets += 1
            return self._answer(409, reason="ticket")
        until = call["until-ms"] / 1000
        if (max(until, self.until) if self.trusts_lease else until) <= self.clock_s():
            return self._answer(409, reason="late")
        self._renew(until)
        seconds, how, cpu = self.sizes(task, call["spec"])
        how = "failed" if self.fail_all else how
        span = RunSpan(
            worker=self.worker_id,
            task=task,
            run_id=run_id,
            cpu=cpu,
            began_at=self.clock.seconds(),
            born_ms=self.born_ms,
            is_late=is_late,
        )
        self.spans.append(span)
        self.active[task] = span
        self.lengths[task] = seconds
        self.clock.callLater(seconds, self._finish, task, run_id, how)
        return self._answer(200)

    def _finish(self, task, run_id, how):
        span = self.active.get(task)
        if not self.alive or span is None or span.run_id != run_id:
            return
        if how == "crash":
            self._crash_by_task(task)
        else:
            self._end(task, how)

    def _stop(self, call):
        task, run_id = call["task"], call["run-id"]
        self.barred_run_ids[task] = max(self.barred_run_ids.get(task, 0), run_id)
        span = self.active.get(task)
        if span is not None and span.run_id <= run_id:
            self.clock.callLater(STOP_S, self._finish, task, span.run_id, "stopped")
        return self._answer(200)

    def _renew(self, until):
        until = min(until, self.clock_s() + MAX_LEASE_S)
        self.until = max(self.until, until)
        if self.lease_expiry is not None and self.lease_expiry.active():
            self.lease_expiry.cancel()
        self.lease_expiry = self.clock.callLater(max(0.0, self.until - self.clock_s()), self._lapse)

    def _lapse(self):
        self._record_unacknowledged_ends()
        for task in list(self.active):
            self._end(task, "lapsed")

    def _end(self, task, how, *, listed=True):
        span = self.active.pop(task)
        span.ended_at = self.clock.seconds()
        span.how = how
        self.barred_run_ids[task] = max(self.barred_run_ids.get(task, 0), span.run_id)
        if listed:
            self.n_ended += 1
            self.finished.append([self.n_ended, task, span.run_id, how, ""])
            for wake in self.pending_renewals[:]:
                wake()

    def _handle_renewal(self, call):
        self.n_renewals += 1
        if "until-ms" in call:
            self._renew(call["until-ms"] / 1000)
        self._drop_ends(call["last-seen"])
        wait = call.get("wait-ms", 0) / 1000
        if self.finished or not wait:
            return self._lists()
        done = Deferred()

        def wake():
            if self.alive and not done.called:
                self.pending_renewals.remove(wake)
                if timeout_call.active():
                    timeout_call.cancel()
                done.callback(self._lists())

        self.pending_renewals.append(wake)
        timeout_call = self.clock.callLater(wait, wake)
        return done

    def _drop_ends(self, last_number):
        dropped = [end for end in self.finished if end[0] <= last_number]
        self.finished = [end for end in self.finished if end[0] > last_number]
        if dropped and self.on_ends_dropped is not None:
            self.on_ends_dropped(self, dropped)

    def _percent(self, span):
        elapsed = self.clock.seconds() - span.began_at
        return min(99, int(100 * elapsed / max(0.001, self.lengths[span.task])))

    def _lists(self):
        tail = self.serving_tail_ms
        active = [
            [span.task, span.run_id, "", self._percent(span), tail] for span in self.active.values()
        ]
        return self._answer(200, active=active, finished=self.finished[:500], **self._born_field())


def make_ticket(worker_id, born_ms):
    """Return the ticket of the advice service for one incarnation of a worker."""
    return f"ticket-{worker_id}-{born_ms}"
