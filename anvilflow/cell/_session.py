"""The leader's conversation with one worker."""

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from ..decisions import LeaseClock, RoundTrip
from ..exceptions import WorkerGoneError, WorkerRefusedError, WorkerUnreachableError

#: Longest wait of a hold. It bounds the time between two renewals of the leases. Unit: seconds.
RENEWAL_WAIT_S = 0.5

#: Longest wait for a record before the worker is held again: in an outage of the store the leases
#: still have to be renewed, and ends have to be heard. Unit: seconds.
UNRECORDED_S = 0.1

#: Least waits for the answer to a start, one after the other. The same start may be sent again: a
#: worker that has the run says so, and one that was lost on the way is made up for before the other
#: members of a gang give up. Workers answer in some 3 ms, and a leader's processor may stand still
#: for a tenth of a second. The first wait is short: where 6 of 100 orders have no answer, two of
#: three lookups of ten tasks lose one, and waited 0.3 s for it. Unit: seconds.
START_TIMEOUTS_S = (0.12, 0.3, 0.3, 0.5)

#: Wait before a call to a worker that failed is made again; that of a stop doubles up to the
#: longest one, so that many of them do not keep a full link full. Unit: seconds.
AGAIN_S = 0.25
MAX_AGAIN_S = 1.0


class WorkerSession:
    """Holds one worker: renews its leases, hears of ends at once, carries orders to it.

    Parameters
    ----------
    clock : IReactorTime
    calls : WorkerCalls
    lease_s : float
        Unit: seconds.
    fleet : object
        Hears of answers and failures: ``worker_reported``, ``worker_failed``, ``worker_gone``,
        ``fenced``, ``start_answered``, ``stop_answered``, ``pace_failed``; of each lease before it
        is sent, ``lease_sent``; of each answer's time, ``call_answered``, and of calls without one,
        ``call_unanswered``; and, by ``start_over``, of starts that are answered or late.
        ``seen(worker_id)`` gives the number of the last durable end,
        ``has_unseen(worker_id)`` tells whether there are later ones, ``is_unreachable(worker_id)``
        whether the last call to the worker had no answer, ``is_wanted(action)`` whether a run that
        is being started still has its place, ``may_send_commands()`` whether starts and leases may
        be sent, ``may_retry()`` whether a start may be sent again, ``renewal_wait()`` how long a
        hold may wait, ``limit_s()`` how long answers of all workers are waited for.
    """

    def __init__(self, *, clock, calls, lease_s, fleet):
        self.clock = clock
        self.calls = calls
        self.lease_s = lease_s
        self.fleet = fleet
        self.worker_clock = None
        self.stopped = False
        self._recorded = None
        self._round_trip = RoundTrip()

    @property
    def worker_id(self):
        """The worker's id."""
        return self.calls.worker_id

    def close(self):
        """Make no further call."""
        self.stopped = True
        self.acknowledge(anyway=True)

    @inlineCallbacks
    def run(self):
        """Hold the worker until its life is over or the session is closed."""
        answered = True
        while not self.stopped:
            failed_before = not answered
            answered = yield self._renew_leases()
            if self.stopped:
                return
            if not answered:
                # Once at once: an answer that was lost says nothing about the worker.
                yield deferLater(self.clock, AGAIN_S if failed_before else 0.0, lambda: None)
            elif not self.fleet.may_send_commands():
                yield deferLater(self.clock, AGAIN_S, lambda: None)
            elif self.fleet.has_unseen(self.worker_id):
                yield self._wait_for_record()

    def _wait_for_record(self):
        """Wait until the ends that were told are durable.

        A hold that does not acknowledge them is answered at once, with the same ends again: holds
        made meanwhile were 60,000 in 45 s where 4,000 are enough.
        """
        self._recorded = Deferred()
        waiting = self._recorded
        late = self.clock.callLater(UNRECORDED_S, self.acknowledge, True)
        waiting.addBoth(lambda _: late.cancel() if late.active() else None)
        return waiting

    def acknowledge(self, anyway=False):
        """Go on holding when all ends that were told are durable."""
        waiting = self._recorded
        if waiting is None or not (anyway or self.stopped or not self._has_unseen()):
            return
        self._recorded = None
        waiting.callback(None)

    def _has_unseen(self):
        return self.fleet.has_unseen(self.worker_id)

    @inlineCallbacks
    def _renew_leases(self):
        sent = self.clock.seconds()
        first = self.worker_clock is None
        # A lease that may have been renewed keeps the worker's tasks from starting elsewhere. A
        # worker that does not answer is asked without one, so that the wait for its tasks has an
        # end: renewed with each try, they waited until it came back.
        asks_only = (
            first or self.fleet.is_unreachable(self.worker_id) or not self.fleet.may_send_commands()
        )
        until = None if asks_only else self._until(sent)
        wait_s = 0.0 if asks_only else self.fleet.renewal_wait()
        try:
            report = yield self._timed(
                self.calls.renew_leases(
                    seen=self.fleet.seen(self.worker_id),
                    until_s=until,
                    wait_s=wait_s,
                    timeout=self._limit_s(self.calls.timeout),
                ),
                held_s=wait_s,
            )
        except (WorkerRefusedError, WorkerUnreachableError) as exc:
            self._failed(exc)
            return False
        if self.stopped:
            return False
        received = self.clock.seconds()
        self.worker_clock = LeaseClock(worker_time=report.clock_s, sent=sent, received=received)
        self.fleet.worker_reported(self.worker_id, report, sent)
        return True

    def _timed(self, call, *, held_s=0.0):
        """Note how long a call's answer takes beyond what it is held back; return the call."""
        due_at = self.clock.seconds() + held_s
        return call.addCallbacks(self._answered, self._unanswered, callbackArgs=(due_at,))

    def _answered(self, answer, due_at):
        round_trip_s = self.clock.seconds() - due_at
        # One that came before its time was woken by an end: when that was is not known.
        if round_trip_s >= 0:
            self._round_trip.answered(round_trip_s)
            self.fleet.call_answered(round_trip_s)
        return answer

    def _unanswered(self, failure):
        # One worker without an answer may be dark, and is asked again as soon as before: only what
        # all of them do tells of the link.
        if failure.check(WorkerUnreachableError):
            self.fleet.call_unanswered()
        return failure

    def _limit_s(self, least_s):
        """Return how long an answer is waited for: longer while answers take longer."""
        return max(least_s, self._round_trip.limit_s(), self.fleet.limit_s())

    def _until(self, now):
        self.fleet.lease_sent(self.worker_id, now)
        return self.worker_clock.until(now, self.lease_s)

    def _failed(self, exc):
        if self.stopped:
            return
        match exc:
            case WorkerGoneError():
                self.close()
                self.fleet.worker_gone(self.worker_id)
            case WorkerRefusedError(details={"reason": "fenced"}):
                self.close()
                self.fleet.fenced(self.worker_id)
            case _:
                self.fleet.worker_failed(self.worker_id, exc)

    # Orders

    @inlineCallbacks
    def start(self, action):
        """Start a run and tell the leader how the worker answered."""
        if self.stopped or self.worker_clock is None:
            self.fleet.start_over(action)
            self.fleet.start_answered(action, "unreached")
            return
        try:
            outcome = yield from self._start_surely(action)
        except WorkerGoneError as exc:
            self._failed(exc)
            return
        finally:
            self.fleet.start_over(action)
        if self.stopped:
            return
        if outcome == "fenced":
            self.close()
            self.fleet.fenced(self.worker_id)
            return
        self.fleet.start_answered(action, outcome)

    def _start_surely(self, action):
        """Send a start, again while it has no answer; return how the worker answered."""
        outcome = "unknown"
        for number, least_s in enumerate(START_TIMEOUTS_S):
            if number > 0 and not self.fleet.may_retry():
                break
            outcome = yield self._start_once(action, self._limit_s(least_s))
            if number > 0:
                outcome = outcome_after_silence(outcome)
            if outcome != "unknown" or self.stopped or self.fleet.is_unreachable(self.worker_id):
                break
            # One that is late tells nothing of the link any more, and must not keep others waiting.
            self.fleet.start_over(action)
            # A try after the run's stop, which may have gone astray, would begin the task anew.
            if not self.fleet.is_wanted(action):
                break
        return outcome

    def _start_once(self, action, timeout):
        if not self.fleet.may_send_commands():
            return succeed("unreached")
        until = self._until(self.clock.seconds())
        call = self._timed(self.calls.start(action, until_s=until, timeout=timeout))
        return call.addCallbacks(lambda _: "started", _start_outcome)

    @inlineCallbacks
    def stop(self, action):
        """Stop a run; the order is repeated until the worker takes it or its life is over."""
        pause_s = AGAIN_S
        while not self.stopped:
            try:
                timeout = self._limit_s(self.calls.timeout)
                yield self._timed(self.calls.stop(action, timeout=timeout))
            except WorkerGoneError as exc:
                self._failed(exc)
                return
            except (WorkerRefusedError, WorkerUnreachableError) as exc:
                if (exc.details or {}).get("reason") == "fenced":
                    self._failed(exc)
                    return
                yield deferLater(self.clock, pause_s, lambda: None)
                pause_s = min(MAX_AGAIN_S, 2 * pause_s)
                continue
            if not self.stopped:
                self.fleet.stop_answered(action)
            return

    @inlineCallbacks
    def set_pace(self, action):
        """Change a run's pace; one that fails is decided anew after the next report."""
        try:
            yield self._timed(
                self.calls.set_pace(action, timeout=self._limit_s(self.calls.timeout))
            )
        except (WorkerRefusedError, WorkerUnreachableError) as exc:
            self.fleet.pace_failed(action, exc)


def _start_outcome(failure):
    """Return what a failed start says of its run; a worker whose life is over stays a failure."""
    if failure.check(WorkerGoneError):
        return failure
    if failure.check(WorkerRefusedError):
        return failure.value.details["reason"]
    failure.trap(WorkerUnreachableError)
    return "unknown"


def outcome_after_silence(outcome):
    """Return what a worker's answer to a start says when an earlier try of it had no answer.

    A refusal speaks of this try alone. The earlier one may have run and ended meanwhile, which the
    worker then calls old, or may be carried out yet: taken for "not run", the task ran twice.
    """
    return outcome if outcome in ("started", "fenced") else "unknown"
