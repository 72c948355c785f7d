"""Session of the leader with one worker."""

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from ..decisions import LeaseClock, RoundTrip
from ..exceptions import WorkerGoneError, WorkerRefusedError, WorkerUnreachableError

#: Time for which a worker without new ends may delay its answer to a lease renewal (a long poll);
#: longer while the leader is short of processor. It bounds the time between two renewals. Unit:
#: seconds.
RENEWAL_WAIT_S = 0.5

#: Longest wait until reported ends are recorded before the next lease renewal is sent: during an
#: outage of the store, leases still have to be renewed and new ends received. Unit: seconds.
MAX_UNRECORDED_WAIT_S = 0.1

#: Minimum timeouts of the call that starts a run, one for each try. Sending the same start again is
#: safe: a worker that already has the run reports it. Retries replace a lost start before the other
#: members of a gang stop waiting for it. Workers answer in some 3 ms, and a leader's processor may
#: stall for 0.1 s. The first timeout is short: where 6 of 100 commands have no answer, two of three
#: lookups (short jobs) of ten tasks have at least one start without an answer. A first timeout of
#: 0.3 s delayed each of these jobs by 0.3 s. Unit: seconds.
START_TIMEOUTS_S = (0.12, 0.3, 0.3, 0.5)

#: Minimum timeout of the first lease renewal of a session, which only queries the worker: until it
#: has arrived, the worker still executes late starts of earlier leaders, or of its former
#: incarnation. Unit: seconds.
FIRST_TIMEOUT_S = 0.12

#: Delay before a failed call to a worker is retried. The delay of stops doubles up to the maximum,
#: so that many stops do not keep a full link full. Unit: seconds.
RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0


class WorkerSession:
    """Renews the leases of one worker, receives the ends of its runs, and sends it commands.

    Each renewal waits at the worker until a run ends or the allowed delay has passed, so that ends
    are received at once. A refusal as ``fenced`` means that the worker has received commands of a
    newer leader.

    Parameters
    ----------
    clock : IReactorTime
    calls : WorkerCalls
    fleet : object
        Receives answers and failures: ``worker_reported``, ``worker_failed``,
        ``incarnation_ended``, ``fenced``, ``start_answered``, ``start_unanswered``,
        ``stop_answered``, ``stop_unanswered``, ``pace_failed``; the round trip of each answer:
        ``call_answered``; calls without an answer: ``call_unanswered``; and starts that are
        answered or late, whose places in the send window become free: ``release_start``.

        Provides the state that the session depends on: ``last_acknowledged_end(worker_id)`` is the
        number of the last durable end, ``has_unrecorded_ends(worker_id)`` whether there are later
        ones, ``is_unreachable(worker_id)`` whether the last call to the worker had no answer,
        ``is_wanted(action)`` whether a run that is being started is still assigned,
        ``may_send_commands()`` whether starts and leases may be sent, ``may_retry()`` whether a
        start may be sent again, ``grant_lease(worker_id, sent_at, limit_s)`` the length of a lease
        that is about to be sent, ``renewal_wait(worker_id)`` how long the worker may delay its
        answer to a renewal, ``limit_s()`` the timeout estimated from the round trips of all
        workers.
    """

    def __init__(self, *, clock, calls, fleet):
        self.clock = clock
        self.calls = calls
        self.fleet = fleet
        self.worker_clock = None
        self.stopped = False
        self._listed_calls = calls
        self._answered_calls = None
        self._record_wait = None
        self._confirmed_end = 0
        self._round_trip = RoundTrip()

    @property
    def worker_id(self):
        """Identity of the worker's incarnation."""
        return self.calls.worker_id

    def close(self):
        """Close the session, which then makes no further calls."""
        self.stopped = True
        self.resume_renewals(force=True)

    @inlineCallbacks
    def run(self):
        """Renew the worker's leases until its incarnation ends or the session is closed."""
        answered = True
        while not self.stopped:
            failed_previously = not answered
            answered = yield self._renew_leases()
            if self.stopped:
                return
            if not answered:
                # The first retry is immediate: the answer may have been lost.
                yield deferLater(
                    self.clock, RETRY_DELAY_S if failed_previously else 0.0, lambda: None
                )
            elif not self.fleet.may_send_commands():
                yield deferLater(self.clock, RETRY_DELAY_S, lambda: None)
            elif self.fleet.has_unrecorded_ends(self.worker_id):
                yield self._wait_for_record()

    def _wait_for_record(self):
        """Wait until the ends that the worker reported are durable.

        A worker answers a lease renewal that does not acknowledge its ends at once, with the same
        ends again. Without this wait, 60,000 renewals were sent in 45 s where 4,000 are enough.
        """
        self._record_wait = Deferred()
        record_wait = self._record_wait
        timeout_call = self.clock.callLater(MAX_UNRECORDED_WAIT_S, self.resume_renewals, True)
        record_wait.addBoth(lambda _: timeout_call.cancel() if timeout_call.active() else None)
        return record_wait

    def resume_renewals(self, force=False):
        """Resume the lease renewals if all reported ends are durable, or if `force` is set."""
        record_wait = self._record_wait
        if record_wait is None or not (force or self.stopped or not self._has_unrecorded_ends()):
            return
        self._record_wait = None
        record_wait.callback(None)

    def _has_unrecorded_ends(self):
        return self.fleet.has_unrecorded_ends(self.worker_id)

    @inlineCallbacks
    def _renew_leases(self):
        sent = self.clock.seconds()
        first = self.worker_clock is None
        # While the worker may have received a renewed lease, its tasks must not start elsewhere. An
        # unreachable worker is therefore queried without a renewal: with a renewal in each try, its
        # tasks could not start elsewhere until the worker answered again.
        query_only = (
            first or self.fleet.is_unreachable(self.worker_id) or not self.fleet.may_send_commands()
        )
        min_timeout_s = FIRST_TIMEOUT_S if first else self.calls.timeout
        until = None if query_only else self._lease_until(sent)
        wait_s = 0.0 if query_only else self.fleet.renewal_wait(self.worker_id)
        calls = self.calls
        seen = self._end_to_acknowledge()
        try:
            report = yield self._track_round_trip(
                calls.renew_leases(
                    seen=seen,
                    until_s=until,
                    wait_s=wait_s,
                    timeout=self._timeout_s(min_timeout_s),
                ),
                allowed_delay_s=wait_s,
            )
        except (WorkerRefusedError, WorkerUnreachableError) as exc:
            self._failed(exc)
            self._change_address()
            return False
        if self.stopped:
            return False
        if report.born_ms != calls.born_ms:
            registry_id = calls.registry_id
            self._failed(
                WorkerGoneError.restarted(registry_id, report.born_ms, report.start_time_error)
            )
            return False
        self._confirmed_end = max(self._confirmed_end, seen)
        received = self.clock.seconds()
        self.worker_clock = LeaseClock(worker_time=report.clock_s, sent=sent, received=received)
        self._answered_calls = calls
        self.fleet.worker_reported(self.worker_id, report, sent)
        return True

    def _end_to_acknowledge(self):
        """Return the number of the last end that the worker may discard, 0 if it is known to have.

        A renewal that is executed late may reach the next incarnation under the same id, which
        would discard its own ends up to that number before anybody has read them.
        """
        number = self.fleet.last_acknowledged_end(self.worker_id)
        return number if number > self._confirmed_end else 0

    # Addresses

    @property
    def answered_address(self):
        """Address of the worker's last answer; None before the first one."""
        return self._answered_calls.address if self._answered_calls is not None else None

    @property
    def listed_address(self):
        """Address in the worker's registry entry."""
        return self._listed_calls.address

    def set_listed_calls(self, calls):
        """Note a new address in the registry entry, to use when the present one fails.

        An answer of the worker counts over its entry, which may be late or wrong. Commands in
        progress are retried at the address in use by then.
        """
        self._listed_calls = calls
        if self._answered_calls is None:
            self.calls = calls

    def _change_address(self):
        """After a failure, alternate between the listed address and that of the last answer."""
        if self.calls is self._listed_calls and self._answered_calls is not None:
            self.calls = self._answered_calls
        else:
            self.calls = self._listed_calls

    def _track_round_trip(self, call, *, allowed_delay_s=0.0):
        """Record a call's round trip, less the allowed delay `allowed_delay_s`; return the call."""
        due_at = self.clock.seconds() + allowed_delay_s
        return call.addCallbacks(self._answered, self._unanswered, callbackArgs=(due_at,))

    def _answered(self, answer, due_at):
        round_trip_s = self.clock.seconds() - due_at
        # An answer before the allowed delay has passed was triggered by the end of a run. The time
        # of the end is unknown, and so is the round trip.
        if round_trip_s >= 0:
            self._round_trip.answered(round_trip_s)
            self.fleet.call_answered(round_trip_s)
        return answer

    def _unanswered(self, failure):
        # A single worker without an answer may be unreachable. Its own round-trip estimate, and so
        # the time until the next try, therefore stays unchanged. Only the answers of all workers
        # together show the state of the leader's link.
        if failure.check(WorkerUnreachableError):
            self.fleet.call_unanswered()
        return failure

    def _timeout_s(self, min_s):
        """Return the timeout of a call: at least `min_s`, longer while round trips are longer."""
        return max(min_s, self._round_trip.limit_s(), self.fleet.limit_s())

    def _lease_until(self, now):
        lease_s = self.fleet.grant_lease(self.worker_id, now, self._timeout_s(0.0))
        return self.worker_clock.until(now, lease_s)

    def _failed(self, exc):
        if self.stopped:
            return
        match exc:
            case WorkerGoneError():
                self.close()
                self.fleet.incarnation_ended(self.worker_id, exc)
            case WorkerRefusedError(details={"reason": "fenced"}):
                self.close()
                self.fleet.fenced(self.worker_id)
            case _:
                self.fleet.worker_failed(self.worker_id, exc)

    # Commands

    @inlineCallbacks
    def start(self, action):
        """Start a run, with retries, and report the outcome to the fleet."""
        if self.stopped or self.worker_clock is None:
            self.fleet.release_start(action)
            self.fleet.start_answered(action, "unreached")
            return
        try:
            outcome = yield from self._start_with_retries(action)
        except WorkerGoneError as exc:
            self._failed(exc)
            return
        finally:
            self.fleet.release_start(action)
        if self.stopped:
            return
        if outcome == "fenced":
            self.close()
            self.fleet.fenced(self.worker_id)
            return
        self.fleet.start_answered(action, outcome)

    def _start_with_retries(self, action):
        """Send a start, with retries while it has no answer; return its outcome."""
        outcome = "unknown"
        for number, min_s in enumerate(START_TIMEOUTS_S):
            if number > 0 and not self.fleet.may_retry():
                break
            sent_at = self.clock.seconds()
            outcome = yield self._start_once(action, self._timeout_s(min_s))
            if outcome == "unknown":
                outcome = yield from self._find_unanswered_start(action, sent_at, number)
            if number > 0:
                outcome = outcome_after_lost_answer(outcome)
            if outcome != "unknown" or self.stopped or self.fleet.is_unreachable(self.worker_id):
                break
            # The answer is late and no longer shows the state of the link. The start gives up its
            # place in the send window, so that it does not delay other starts.
            self.fleet.release_start(action)
            # A retry after the run was stopped could start the task again: the worker does not
            # refuse the retry if the stop was lost.
            if not self.fleet.is_wanted(action):
                break
        return outcome

    def _find_unanswered_start(self, action, sent_at, number):
        """Return the outcome of a start without an answer: "started" if its run is listed.

        Otherwise the worker may execute the start later. If it starts again meanwhile, the next
        incarnation does, unless the start names this one by its ticket. Only after the first try,
        `number` 0, the worker is asked: on a silent worker each query delays the next try.
        """
        if self.calls.born_ms is None or action.ticket or self.stopped:
            return "unknown"
        if number == 0:
            try:
                if (yield self._is_listed(action)):
                    return "started"
            except (WorkerRefusedError, WorkerUnreachableError):
                pass
        self.fleet.start_unanswered(action, sent_at)
        return "unknown"

    def _is_listed(self, action):
        """Query whether the worker lists a run, as active or as ended."""
        if self.fleet.is_unreachable(self.worker_id):
            return succeed(False)
        # Not counted as a round trip: the start without an answer is already.
        call = self.calls.renew_leases(
            seen=0,
            until_s=None,
            wait_s=0.0,
            timeout=self._timeout_s(START_TIMEOUTS_S[0]),
        )
        run = (action.task, action.run_id)
        return call.addCallback(
            lambda report: any(
                run == (item.task, item.run_id) for item in (*report.active, *report.ended)
            )
        )

    def _start_once(self, action, timeout):
        # Read before the check: if the process is paused between the two, the lease must not count
        # from its return. The next leader waits for the leases that were sent before.
        now = self.clock.seconds()
        if not self.fleet.may_send_commands():
            return succeed("unreached")
        until = self._lease_until(now)
        call = self._track_round_trip(self.calls.start(action, until_s=until, timeout=timeout))
        return call.addCallbacks(lambda _: "started", self._start_outcome)

    def _start_outcome(self, failure):
        """Return the outcome of a failed start; pass a :class:`WorkerGoneError` on as a failure."""
        if failure.check(WorkerGoneError):
            return failure
        if not failure.check(WorkerRefusedError):
            failure.trap(WorkerUnreachableError)
            return "unknown"
        reason = failure.value.details["reason"]
        if reason == "misdirected":
            # Otherwise the task would be sent to the same address again before the next renewal.
            self._failed(failure.value)
        return reason

    @inlineCallbacks
    def stop(self, action):
        """Stop a run; retry until the worker accepts the stop or its incarnation ends."""
        pause_s = RETRY_DELAY_S
        while not self.stopped:
            try:
                timeout = self._timeout_s(self.calls.timeout)
                yield self._track_round_trip(self.calls.stop(action, timeout=timeout))
            except WorkerGoneError as exc:
                self._failed(exc)
                return
            except (WorkerRefusedError, WorkerUnreachableError) as exc:
                if (exc.details or {}).get("reason") == "fenced":
                    self._failed(exc)
                    return
                self.fleet.stop_unanswered(action, exc)
                yield deferLater(self.clock, pause_s, lambda: None)
                pause_s = min(MAX_RETRY_DELAY_S, 2 * pause_s)
                continue
            if not self.stopped:
                self.fleet.stop_answered(action)
            return

    @inlineCallbacks
    def set_pace(self, action):
        """Change a run's pace; after a failure the pace is decided again with the next report."""
        try:
            yield self._track_round_trip(
                self.calls.set_pace(action, timeout=self._timeout_s(self.calls.timeout))
            )
        except (WorkerRefusedError, WorkerUnreachableError) as exc:
            self.fleet.pace_failed(action, exc)


def outcome_after_lost_answer(outcome):
    """Return the outcome of a retried start whose earlier try had no answer.

    A refusal applies to this try only. The run of the earlier try may have begun and ended
    meanwhile, in which case the worker refuses the retry as ``old``; or the worker may still carry
    out the earlier try. When such refusals were taken as "not run", the task ran twice.
    """
    return outcome if outcome in ("started", "fenced") else "unknown"
