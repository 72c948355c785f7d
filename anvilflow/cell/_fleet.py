"""Commands to all workers, and what their sessions report."""

from ..decisions import RetryBudget, RoundTrip, RoundTripSettings
from ..exceptions import PayloadGoneError
from ..jobs import COMMAND_S
from ._session import RENEWAL_WAIT_S
from ._start_queue import StartQueue
from ._worker_sessions import LEASE_S, WorkerSessions

#: Time for which a worker may delay its answer to a lease renewal while the leader is short of
#: processor. Lease renewals, with and without new ends, were some 1,090 of the leader's 2,012 calls
#: in a profile of ten seconds; a longer delay makes them fewer. Two such delays plus the lag stay
#: within a lease. Unit: seconds.
LOW_CPU_RENEWAL_WAIT_S = 1.0

#: The same on a worker that leaves: within its shorter leases, a renewal that a relay loses is
#: repeated. Unit: seconds.
LEAVING_RENEWAL_WAIT_S = 0.25

#: Time within which a worker's missing registry entry may reappear before the worker is removed,
#: for example after an outage of the store in which the entry expired. Unit: seconds.
UNLISTED_GRACE_S = 2.5

#: Smoothing of the round-trip estimate over all workers. Single slow workers make the round trip
#: vary, which must not lengthen the timeouts of all workers.
ALL_WORKERS_ROUND_TRIP = RoundTripSettings(mean_share=1 / 8, deviation_share=1 / 8)

#: Estimated timeout from which the answers of all workers count as late. It equals the timeout of
#: commands on a lightly loaded link. Unit: seconds.
LATE_RESPONSE_S = 0.4

#: Share of calls to workers without an answer in time from which the answers of all workers count
#: as late, and the weight of the newest call in this moving average. The weight is small so that
#: one lost worker with several starts in flight does not reach the share.
LATE_CALL_SHARE = 0.5
LATE_CALL_WEIGHT = 1 / 32

#: Time without an answer after which a worker gets no new work, even while the answers of all
#: workers are late. Unit: seconds.
LATE_UNRESPONSIVE_S = 2.0

#: Budget for resending starts: the ratio of retries to answered starts, and the largest burst.
RETRY_RATIO = 0.5
RETRY_BURST = 50.0

#: Multiple of the process's own lag that a call and its answer may spend queued in this process:
#: once before the call is written, once before the answer is read, once before it is processed.
LAG_FACTOR = 3


class Fleet(WorkerSessions):
    """Sends the leader's commands to the workers, and processes their answers.

    Parameters
    ----------
    context : CellContext
    log : Logger
    scheduler : Scheduler
    token : int
        Token of the leader's claim.
    confirmed_at : float
        Time at which the last call was sent that confirmed the leader so far. Unit: seconds.
    relay_dispatcher : RelayDispatcher
    events : object
        Receives the events of the sessions: ``act(actions)`` with the scheduler's actions,
        ``changed()`` when a new plan is needed, ``ends_reported()`` when ends have to be recorded,
        ``start_unanswered()`` when a worker may execute a start late,
        ``deposed()`` when another leader has taken over, ``fail_with(failure)``.
    """

    def __init__(self, *, context, scheduler, confirmed_at, **values):
        super().__init__(context=context, scheduler=scheduler, **values)
        self.closed = False
        self.confirmed_at = confirmed_at
        self._invalid_start_times = set()
        self._round_trip = RoundTrip(settings=ALL_WORKERS_ROUND_TRIP)
        self._unanswered_share = 0.0
        self.jobs_without_payload = set()
        self._retries = RetryBudget(ratio=RETRY_RATIO, burst=RETRY_BURST)
        self.starts = StartQueue(
            clock=context.clock,
            scheduler=scheduler,
            send=self._send_start,
            drop=self._drop_start,
            may_send_commands=self.may_send_commands,
        )

    def close(self):
        """Close all sessions."""
        self.closed = True
        super().close()

    # Confirmation of the leadership

    def confirm(self, at):
        """Record that a call sent at `at` confirmed this instance as the leader."""
        self.confirmed_at = max(self.confirmed_at, at)

    def is_confirmed(self):
        """Whether the store has recently confirmed this instance as the leader."""
        return self._now() - self.confirmed_at <= COMMAND_S

    def may_send_commands(self):
        """Whether starts and leases may be sent.

        A leader that was paused or is cut off must not renew leases that another leader expects to
        expire. During an outage of the store, recent answers from more than half of the workers
        show that there is no other leader. Those of workers that have started again in the outage
        do not: they have forgotten the token of another leader.
        """
        if self.is_confirmed():
            return True
        now = self._now()
        n_responded = sum(
            now - at <= COMMAND_S and self._opened_at[worker_id] <= self.confirmed_at
            for worker_id, at in self._responded_at.items()
        )
        return 2 * n_responded > len(self.scheduler.current_workers())

    def renewal_wait(self, worker_id):
        """Return how long a worker may delay its answer to a lease renewal. Unit: seconds.

        The delay is shorter while only workers can confirm the leader and on a worker that leaves,
        and longer while the leader is short of processor.
        """
        if not self.is_confirmed():
            return RENEWAL_WAIT_S / 2
        if self.context.lag.is_short_of_cpu:
            return LOW_CPU_RENEWAL_WAIT_S
        worker = self.scheduler.workers.get(worker_id)
        is_leaving = worker is not None and worker.next_lease_s(self._now(), LEASE_S) < LEASE_S
        return LEAVING_RENEWAL_WAIT_S if is_leaving else RENEWAL_WAIT_S

    # Commands

    def start(self, action):
        """Queue the start of a task, see :meth:`send_starts`."""
        self.starts.add(action)

    def send_starts(self):
        """Send as many queued starts as the send window allows."""
        self.starts.send_due()

    def n_free_start_slots(self):
        """Return how many more starts may be queued: at most as many as may be in flight."""
        return self.starts.n_free

    def _send_start(self, action, waited_s):
        self.context.meters.record_duration("start_wait", waited_s)
        job_id = action.task.partition(".")[0]
        self.log.info(
            "start",
            task=action.task,
            run=action.run_id,
            worker=action.worker_id,
            carrier=self.relay_dispatcher.relay_for_start(action.worker_id, job_id),
            **({} if action.factor is None else {"factor": action.factor}),
        )
        self.scheduler.start_sent(action.worker_id, action.task, action.run_id)
        session = self._sessions.get(action.worker_id)
        if session is None:
            self.starts.release(action)
            return
        session.start(action).addErrback(self.events.fail_with)

    def _drop_start(self, action):
        """Report to the scheduler that a start was never sent: its run does not exist."""
        self.context.meters.count("starts", "withdrawn")
        self.scheduler.start_answered(
            action.worker_id, action.task, action.run_id, "unreached", self._now()
        )
        self.events.changed()

    def stop(self, action):
        """Stop a run, or withdraw its start if that has not been sent yet."""
        if self.starts.withdraw(action):
            self._drop_start(action)
            return
        self.context.meters.count("stops", action.why)
        self.log.info(
            "stop", task=action.task, run=action.run_id, worker=action.worker_id, why=action.why
        )
        session = self._sessions.get(action.worker_id)
        if session is not None:
            session.stop(action).addErrback(self.events.fail_with)

    def set_pace(self, action):
        """Change the pace of a run: the limit on its speed, in percent of the full speed."""
        self.log.info("pace", task=action.task, worker=action.worker_id, percent=action.percent)
        session = self._sessions.get(action.worker_id)
        if session is not None:
            session.set_pace(action).addErrback(self.events.fail_with)

    # Round trips

    def limit_s(self):
        """Return the timeout estimated from the round trips of all workers. Unit: seconds."""
        return self._round_trip.limit_s()

    def call_answered(self, round_trip_s):
        """Record the round trip of a call to a worker. Unit: seconds."""
        self._round_trip.answered(round_trip_s)
        self._unanswered_share -= LATE_CALL_WEIGHT * self._unanswered_share
        # Time queued in this process does not belong to the link.
        mean_s = max(0.0, self._round_trip.mean_s - LAG_FACTOR * self.context.lag.lag_s)
        self.starts.window.answered(round_trip_s, mean_s=mean_s, now=self._now())

    def call_unanswered(self):
        """Record a call to a worker that had no answer in time."""
        self._round_trip.timed_out()
        self._unanswered_share += LATE_CALL_WEIGHT * (1.0 - self._unanswered_share)

    def may_retry(self):
        """Whether a start without an answer may be sent again; spends one retry if so."""
        return self._retries.spend()

    def release_start(self, action):
        """Release the place of a start in the send window: it is answered, or late."""
        if not self.closed:
            self.starts.release(action)

    def _is_only_late(self, worker_id):
        """Whether a missing answer may be explained by all workers' answers being late.

        On a full link all answers are late. Workers that were then treated as unreachable got no
        work, and their runs were started again elsewhere.
        """
        if self.limit_s() < LATE_RESPONSE_S and self._unanswered_share < LATE_CALL_SHARE:
            return False
        return self._now() - self._responded_at.get(worker_id, float("-inf")) < LATE_UNRESPONSIVE_S

    # Reports of sessions

    def last_acknowledged_end(self, worker_id):
        """Return the number of the last end that a worker may discard."""
        worker = self.scheduler.workers.get(worker_id)
        return self.scheduler.acknowledged(worker) if worker is not None else 0

    def has_unrecorded_ends(self, worker_id):
        """Whether the worker has reported ends that are not durable yet."""
        worker = self.scheduler.workers.get(worker_id)
        return worker is not None and self.last_acknowledged_end(worker_id) < worker.last_ended

    def is_unreachable(self, worker_id):
        """Whether the last call to a worker had no answer."""
        worker = self.scheduler.workers.get(worker_id)
        return worker is not None and worker.unreachable

    def is_wanted(self, action):
        """Whether a run that is being started is still assigned and is not being stopped."""
        return self.scheduler.is_wanted(action.worker_id, action.task, action.run_id)

    def grant_lease(self, worker_id, sent_at, limit_s):
        """Record that a lease is about to be sent to a worker, and return its length.

        A worker that leaves gets shorter leases only while renewals arrive in time: `limit_s` is
        the timeout estimated from the round trips. Unit: seconds.
        """
        worker = self.scheduler.workers.get(worker_id)
        if worker is None:
            return LEASE_S
        is_prompt = self._are_renewals_prompt(limit_s)
        lease_s = worker.next_lease_s(sent_at, LEASE_S) if is_prompt else LEASE_S
        worker.lease_sent(sent_at, lease_s)
        return lease_s

    def _are_renewals_prompt(self, limit_s):
        if self.context.lag.is_short_of_cpu or not self.is_confirmed():
            return False
        return limit_s < LATE_RESPONSE_S and self._unanswered_share < LATE_CALL_SHARE

    def worker_reported(self, worker_id, report, requested_at):
        """Process a worker's answer to a lease renewal that was sent at `requested_at`."""
        worker = self.scheduler.workers.get(worker_id)
        if worker is None:
            return
        self._responded_at[worker_id] = requested_at
        worker.answered_address = self._sessions[worker_id].answered_address
        self._note_invalid_start_time(worker_id, report)
        # A late start to the former incarnation may be among ends that are not reported yet.
        if report.has_all_ends and worker.info.registry_id in self._superseded_ids:
            self._end_predecessors(worker.info, is_replaced=True)
        if worker.unreachable or not worker.confirmed:
            self.log.info("worker answers", worker=worker_id, active=len(report.active))
        new_ends = [end for end in report.ended if end.number > worker.last_ended]
        has_changes = bool(report.ended) or worker.unreachable or not worker.confirmed
        n_runs = len(worker.runs)
        actions = self.scheduler.report(
            worker_id, report, requested_at=requested_at, now=self._now()
        )
        self._log_ends(worker_id, new_ends)
        self.events.act(actions)
        if report.ended:
            self.events.ends_reported()
        # Without this check, half of all plans followed reports that changed nothing.
        if has_changes or len(worker.runs) != n_runs:
            self.events.changed()

    def _log_ends(self, worker_id, ends):
        for end in ends:
            self.context.meters.count("ends", end.how)
            self.log.info(
                "task ended",
                task=end.task,
                run=end.run_id,
                worker=worker_id,
                how=end.how,
                number=end.number,
                change=self.scheduler.change_of(end.task),
            )

    def _note_invalid_start_time(self, worker_id, report):
        """Log an invalid start time in a worker's lists, once per session."""
        if report.start_time_error and worker_id not in self._invalid_start_times:
            self._invalid_start_times.add(worker_id)
            self.log.warning(
                "worker's start time not understood",
                worker=worker_id,
                error=report.start_time_error,
            )

    def worker_failed(self, worker_id, exc):
        """Process a failed lease renewal: mark the worker unreachable if it is not only late.

        An answer of another worker at the address shows no more than that this one is not reached:
        the registry entry may be wrong or late. A worker without a registry entry is removed after
        the grace period, once its lease is over.
        """
        worker = self.scheduler.workers.get(worker_id)
        details = exc.details or {}
        connection_refused = details.get("nobody_listens", False)
        reason = details.get("reason")
        is_answered = connection_refused or reason in ("misdirected", "malformed")
        if not is_answered and self._is_only_late(worker_id):
            self.context.meters.count("late_workers")
            return
        if worker is not None and not worker.unreachable:
            log = self.log.warning if reason == "malformed" else self.log.info
            log("worker silent", worker=worker_id, error=str(exc))
        self.scheduler.worker_unreachable(worker_id, self._now())
        unlisted_at = self._unlisted_at.get(worker_id)
        is_unlisted = unlisted_at is not None and self._now() - unlisted_at > UNLISTED_GRACE_S
        if is_unlisted and (worker is None or self._are_leases_over(worker)):
            self.worker_gone(worker_id)
        self.events.changed()

    def fenced(self, worker_id):
        """Process a refusal by a worker that has seen the higher token of another leader."""
        self.log.warning("fenced by a worker", worker=worker_id, token=self.token)
        self.events.deposed()

    # Results from sessions

    def start_answered(self, action, outcome):
        """Process the outcome of a start."""
        self.context.meters.count("starts", outcome)
        if outcome not in ("unknown", "unreached"):
            self._retries.earn()
        if outcome != "started":
            self.log.info(
                "start not taken",
                task=action.task,
                run=action.run_id,
                worker=action.worker_id,
                why=outcome,
            )
        if outcome == "no payload":
            self._log_missing_payload(action)
        self.events.act(
            self.scheduler.start_answered(
                action.worker_id, action.task, action.run_id, outcome, self._now()
            )
        )
        if outcome != "started":
            self.events.changed()
        elif action.task in self.scheduler.suspects:
            self.events.ends_reported()

    def start_unanswered(self, action, sent_at):
        """Process a start without an answer, which the worker may execute later."""
        self.context.meters.count("unanswered_starts")
        self.log.info(
            "start unanswered", task=action.task, run=action.run_id, worker=action.worker_id
        )
        self.scheduler.start_unanswered(action.worker_id, action.task, sent_at)
        self.events.start_unanswered()

    def _log_missing_payload(self, action):
        """Log, once for each job, that none of its tasks can be started."""
        job_id = action.task.partition(".")[0]
        if job_id not in self.jobs_without_payload:
            self.jobs_without_payload.add(job_id)
            cause = PayloadGoneError("the store has no payload of the job")
            self.log.warning("job cannot be started", job=job_id, error=str(cause))

    def stop_answered(self, action):
        """Process a worker's answer to a stop."""
        if not self.closed:
            self.scheduler.stop_answered(action.worker_id, action.task, action.run_id, self._now())

    def stop_unanswered(self, action, exc):
        """Log a stop without an answer; its session sends it again."""
        self.context.meters.count("unanswered_stops")
        self.log.info(
            "stop unanswered",
            task=action.task,
            run=action.run_id,
            worker=action.worker_id,
            error=str(exc),
        )

    def pace_failed(self, action, exc):
        """Log a change of pace that failed."""
        self.log.info("pace not set", task=action.task, worker=action.worker_id, error=str(exc))
