"""The leader's sessions with all workers: what goes out to them and what comes back."""

from ..decisions import RetryBudget, RoundTrip, RoundTripSettings
from ..exceptions import PayloadGoneError
from ..jobs import COMMAND_S
from ._registry import Registry
from ._session import RENEWAL_WAIT_S, WorkerSession
from ._start_queue import StartQueue
from ._worker_call_router import WorkerCallRouter

#: Length of the leases that are sent. Renewals come each half second; a take-over from a leader
#: that fell silent takes about 1 s, a start of all instances after a loss of power 2 s. A longer
#: lease would keep tasks of a lost worker waiting for longer. Unit: seconds.
LEASE_S = 3.0

#: Longest wait of a hold while the leader is short of processor. Holds, with news or without, were
#: some 1,090 of its 2,012 calls in a profile of ten seconds. Two of these and the lag stay within a
#: lease. Unit: seconds.
SHORT_RENEWAL_WAIT_S = 1.0

#: Time that a worker's missing entry is given to come back, for example after an outage of the
#: store in which it lapsed. Unit: seconds.
UNLISTED_S = 2.5

#: How the round trip of all workers together is followed. Single slow workers make it vary, which
#: must not make the time limits of all long.
ALL_WORKERS = RoundTripSettings(mean_share=1 / 8, deviation_share=1 / 8)

#: Time limit from which answers of all workers count as late: the one of orders on a calm link.
#: Unit: seconds.
LATE_S = 0.4

#: Share of calls to workers without an answer in time from which all count as late, and the weight
#: of the newest call in it: a worker that is lost with some starts under way is one of many.
LATE_SHARE = 0.5
LATE_WEIGHT = 1 / 32

#: Silence after which a worker gets no new work, also while answers of all workers are late. Unit:
#: seconds.
LATE_UNRESPONSIVE_S = 2.0

#: Starts that may be sent again: a share of those that workers answer, and some at once.
RETRY_RATIO = 0.5
RETRY_BURST = 50.0

#: Times its lag that a call and its answer may wait for the process itself: for its turn to be
#: written, to be read, and to be taken.
LAG_TIMES = 3


class Fleet:
    """Sessions with the workers under one token.

    Parameters
    ----------
    context : CellContext
    log : Logger
    scheduler : Scheduler
    token : int
    relay_dispatcher : RelayDispatcher
    events : object
        Hears what follows: ``act(actions)``, ``changed()``, ``ends_reported()``, ``deposed()``,
        ``fail_with(failure)``.
    """

    def __init__(self, *, context, log, scheduler, token, relay_dispatcher, events):
        self.context = context
        self.log = log
        self.scheduler = scheduler
        self.token = token
        self.relay_dispatcher = relay_dispatcher
        self.events = events
        self.closed = False
        self.confirmed_at = context.clock.seconds()
        self._registry = Registry(log=log, scheduler=scheduler)
        self._sessions = {}
        self._unlisted = {}
        self._heard_at = {}
        self._round_trip = RoundTrip(settings=ALL_WORKERS)
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
        """End all sessions."""
        self.closed = True
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def acknowledge(self):
        """Let the sessions go on that wait for records."""
        for session in self._sessions.values():
            session.acknowledge()

    def _now(self):
        return self.context.clock.seconds()

    # Whether this is the leader

    def confirm(self, at):
        """Note that a call that was sent at `at` showed that this is the leader."""
        self.confirmed_at = max(self.confirmed_at, at)

    def is_confirmed(self):
        """Whether the store has shown a moment ago that this is the leader."""
        return self._now() - self.confirmed_at <= COMMAND_S

    def may_send_commands(self):
        """Whether starts and leases may be sent.

        A leader that was paused or is cut off must not prolong leases whose end another leader
        waits for. In an outage of the store, more than half of the workers tell that there is no
        other.
        """
        if self.is_confirmed():
            return True
        now = self._now()
        n_heard = sum(now - at <= COMMAND_S for at in self._heard_at.values())
        return 2 * n_heard > len(self.scheduler.workers)

    def renewal_wait(self):
        """Return how long a hold may wait.

        Shorter where only workers can confirm the leader; longer where it is short of processor.
        """
        if not self.is_confirmed():
            return RENEWAL_WAIT_S / 2
        return SHORT_RENEWAL_WAIT_S if self.context.lag.is_short_of_cpu else RENEWAL_WAIT_S

    # Orders

    def start(self, action):
        """Start a task when its turn has come, see :meth:`send_starts`."""
        self.starts.add(action)

    def send_starts(self):
        """Send the starts that the link carries now."""
        self.starts.send_due()

    def n_wanted_starts(self):
        """Return how many more starts the link carries soon."""
        return self.starts.n_open

    def _send_start(self, action, waited_s):
        self.context.meters.record_duration("start_wait", waited_s)
        job_id = action.task.partition(".")[0]
        self.log.info(
            "start",
            task=action.task,
            run=action.run_id,
            worker=action.worker_id,
            carrier=self.relay_dispatcher.for_start(action.worker_id, job_id),
        )
        self.scheduler.start_sent(action.worker_id, action.task, action.run_id)
        session = self._sessions.get(action.worker_id)
        if session is None:
            self.starts.over(action)
            return
        session.start(action).addErrback(self.events.fail_with)

    def _drop_start(self, action):
        """Take back a start that was not sent: nothing runs by it."""
        self.context.meters.count("starts", "withdrawn")
        self.scheduler.start_answered(
            action.worker_id, action.task, action.run_id, "unreached", self._now()
        )
        self.events.changed()

    def stop(self, action):
        """Stop a run, or take its start back where that has not been sent."""
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
        """Change the pace of a run."""
        self.log.info("pace", task=action.task, worker=action.worker_id, percent=action.percent)
        session = self._sessions.get(action.worker_id)
        if session is not None:
            session.set_pace(action).addErrback(self.events.fail_with)

    # How long answers take

    def limit_s(self):
        """Return how long answers are waited for, by those of all workers."""
        return self._round_trip.limit_s()

    def call_answered(self, round_trip_s):
        """Note how long an answer of a worker took."""
        self._round_trip.answered(round_trip_s)
        self._unanswered_share -= LATE_WEIGHT * self._unanswered_share
        # What waited for this process says nothing of the link.
        mean_s = max(0.0, self._round_trip.mean_s - LAG_TIMES * self.context.lag.lag_s)
        self.starts.window.answered(round_trip_s, mean_s=mean_s, now=self._now())

    def call_unanswered(self):
        """Note a call to a worker that had no answer in time."""
        self._round_trip.timed_out()
        self._unanswered_share += LATE_WEIGHT * (1.0 - self._unanswered_share)

    def may_retry(self):
        """Whether a start without an answer may be sent again."""
        return self._retries.spend()

    def start_over(self, action):
        """Note that a start is answered, or late."""
        if not self.closed:
            self.starts.over(action)

    def _is_only_late(self, worker_id):
        """Whether a worker without an answer is no more silent than all of them.

        On a full link all answers are late. Workers that were taken for silent got no work, and
        what ran on them was started again elsewhere.
        """
        if self.limit_s() < LATE_S and self._unanswered_share < LATE_SHARE:
            return False
        return self._now() - self._heard_at.get(worker_id, float("-inf")) < LATE_UNRESPONSIVE_S

    # Workers

    def take_registry_entry(self, row):
        """Take a row of the registry: a worker is new, says something new of itself, or is gone."""
        if row.value is None:
            self.registry_entry_removed(row.key)
            return
        info = self._registry.read(row)
        if info is None:
            self._registry_entry_unlisted(row.key)
            return
        self._unlisted.pop(info.worker_id, None)
        if self.scheduler.worker_listed(info, self._now()):
            self.log.info(
                "worker found", worker=info.worker_id, address=info.address, rack=info.rack
            )
            self._open_session(info)
        elif info.draining:
            self.log.info("worker drains", worker=info.worker_id, left_s=info.leaves_in_s)

    def take_handover(self, handover):
        """Take on a worker of which the former leader had to tell, perhaps unregistered by now."""
        info = handover.info
        if info.worker_id not in self.scheduler.workers:
            self.scheduler.worker_listed(info, self._now())
            self._open_session(info)
            self.registry_entry_removed(info.worker_id)
        if handover.runs is not None:
            self.scheduler.adopt_unconfirmed_runs(info.worker_id, handover.runs, self._now())
            fresh = [handover.runs[index] for index in handover.fresh]
            self.scheduler.note_fresh_runs(info.worker_id, fresh)
        self.log.info(
            "worker taken on",
            worker=info.worker_id,
            runs=len(handover.runs) if handover.runs is not None else None,
        )

    def read_again(self):
        """Look again at entries that named no worker: the configuration has changed."""
        for row in self._registry.ignored_rows:
            self.take_registry_entry(row)

    def registry_entry_removed(self, worker_id):
        """A worker is no longer registered."""
        self._registry.removed(worker_id)
        self._registry_entry_unlisted(worker_id)

    def _registry_entry_unlisted(self, worker_id):
        """Give a worker no new work: its entry is gone, or names no worker any more.

        What runs there is held on. The leader's row names it for the next leader, as it does
        workers that have left.
        """
        if worker_id not in self.scheduler.workers or worker_id in self._unlisted:
            return
        self.log.info("worker's entry gone", worker=worker_id)
        self.scheduler.worker_unlisted(worker_id)
        self._unlisted[worker_id] = self._now()

    def _open_session(self, info):
        # A worker may be forgotten while its session goes on, and be registered again.
        before = self._sessions.pop(info.worker_id, None)
        if before is not None:
            before.close()
        calls = WorkerCallRouter(
            direct=self.context.make_worker(info, self.token),
            info=info,
            relay_dispatcher=self.relay_dispatcher,
            context=self.context,
        )
        session = WorkerSession(clock=self.context.clock, calls=calls, lease_s=LEASE_S, fleet=self)
        self._sessions[info.worker_id] = session
        session.run().addErrback(self.events.fail_with)

    def seen(self, worker_id):
        """Return the number up to which a worker may forget ends."""
        worker = self.scheduler.workers.get(worker_id)
        return self.scheduler.acknowledged(worker) if worker is not None else 0

    def has_unseen(self, worker_id):
        """Whether the worker told of ends that are not durable yet."""
        worker = self.scheduler.workers.get(worker_id)
        return worker is not None and self.seen(worker_id) < worker.last_ended

    def is_unreachable(self, worker_id):
        """Whether the last call to a worker had no answer."""
        worker = self.scheduler.workers.get(worker_id)
        return worker is not None and worker.unreachable

    def is_wanted(self, action):
        """Whether a run that is being started still has its place, and is not being stopped."""
        return self.scheduler.is_wanted(action.worker_id, action.task, action.run_id)

    def lease_sent(self, worker_id, sent_at):
        """Note that a lease is on its way to a worker."""
        worker = self.scheduler.workers.get(worker_id)
        if worker is not None:
            worker.lease_sent(sent_at, LEASE_S)

    def worker_reported(self, worker_id, report, requested_at):
        """Take a worker's answer to a hold."""
        worker = self.scheduler.workers.get(worker_id)
        if worker is None:
            return
        self._heard_at[worker_id] = requested_at
        if worker.unreachable or not worker.confirmed:
            self.log.info("worker answers", worker=worker_id, active=len(report.active))
        for end in report.ended:
            if end.number > worker.last_ended:
                self.context.meters.count("ends", end.how)
                self.log.info(
                    "task ended",
                    task=end.task,
                    run=end.run_id,
                    worker=worker_id,
                    how=end.how,
                    number=end.number,
                )
        is_news = bool(report.ended) or worker.unreachable or not worker.confirmed
        n_runs = len(worker.runs)
        self.events.act(
            self.scheduler.report(worker_id, report, requested_at=requested_at, now=self._now())
        )
        if report.ended:
            self.events.ends_reported()
        # Half of all plans followed reports that said nothing new.
        if is_news or len(worker.runs) != n_runs:
            self.events.changed()

    def worker_failed(self, worker_id, exc):
        """A call to a worker had no answer."""
        worker = self.scheduler.workers.get(worker_id)
        connection_refused = (exc.details or {}).get("nobody_listens", False)
        if not connection_refused and self._is_only_late(worker_id):
            self.context.meters.count("late_workers")
            return
        if worker is not None and not worker.unreachable:
            self.log.info("worker silent", worker=worker_id, error=str(exc))
        self.scheduler.worker_unreachable(
            worker_id, self._now(), connection_refused=connection_refused
        )
        unlisted_at = self._unlisted.get(worker_id)
        over = worker is None or self._now() >= worker.lease_over_at
        if unlisted_at is not None and self._now() - unlisted_at > UNLISTED_S and over:
            self.worker_gone(worker_id, is_replaced=False)
        self.events.changed()

    def worker_gone(self, worker_id, *, is_replaced=True):
        """The worker is lost: another incarnation answers, or its entry remains absent."""
        self.log.info("worker gone", worker=worker_id, replaced=is_replaced)
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            session.close()
        self._unlisted.pop(worker_id, None)
        self._heard_at.pop(worker_id, None)
        self.events.act(
            self.scheduler.worker_ended(worker_id, self._now(), is_replaced=is_replaced)
        )
        self.events.changed()

    def fenced(self, worker_id):
        """A worker has seen a higher token: another leader has begun."""
        self.log.warning("fenced by a worker", worker=worker_id, token=self.token)
        self.events.deposed()

    # What sessions tell

    def start_answered(self, action, outcome):
        """Take the answer to a start."""
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
            self._note_no_payload(action)
        self.events.act(
            self.scheduler.start_answered(
                action.worker_id, action.task, action.run_id, outcome, self._now()
            )
        )
        if outcome != "started":
            self.events.changed()
        elif action.task in self.scheduler.suspects:
            self.events.ends_reported()

    def _note_no_payload(self, action):
        """Say once of a job that none of its tasks can be started."""
        job_id = action.task.partition(".")[0]
        if job_id not in self.jobs_without_payload:
            self.jobs_without_payload.add(job_id)
            cause = PayloadGoneError("the store has no payload of the job")
            self.log.warning("job cannot be started", job=job_id, error=str(cause))

    def stop_answered(self, action):
        """Take the answer to a stop."""
        if not self.closed:
            self.scheduler.stop_answered(action.worker_id, action.task, action.run_id, self._now())

    def pace_failed(self, action, exc):
        """Note a change of pace that was not taken."""
        self.log.info("pace not set", task=action.task, worker=action.worker_id, error=str(exc))
