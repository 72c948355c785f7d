"""The leader of the cell: runs the scheduler, commands the workers and answers the gateways."""

from msgspec import structs
from twisted.internet.defer import inlineCallbacks

from ..admission import BacklogReport, BacklogTracker
from ..exceptions import AccountWeightError, PlatformError, TaskCrashesWorkersError
from ..jobs import (
    LONG_REQUEST_S,
    NoteCrashingTask,
    NoteLostWorker,
    NoteRefusedNumber,
    NoteUnusableWeight,
    NoteWait,
    RequestAdvice,
    SetPace,
    StartRun,
    StopRun,
)
from ..platform import REGISTRY_TABLE
from ..runtime import Part
from ..utils import jitter, to_builtins
from ._advice_dispatcher import AdviceDispatcher
from ._context import LAG_PERIOD_S, Claimed, ConfigChanged, Deposed, JobsRead, Leaving
from ._fleet import Fleet
from ._follower import TableFollower
from ._garbage_collector import SWEEP_S, GarbageCollector
from ._job_intake import JobIntake
from ._job_store import read_jobs
from ._leader_calls import LeaderCalls
from ._leader_heartbeat import LeaderHeartbeat
from ._leader_state import make_scheduler, max_concurrent_reads, read_state
from ._loading_heartbeat import LoadingHeartbeat
from ._pending_jobs import PendingCounts
from ._recorder import Recorder
from ._relay_dispatcher import RelayDispatcher
from ._scheduler_report import SchedulerReport
from ._tables import JOBS

#: Longest time between two plans, because some actions become due by the passing of time alone. A
#: plan with nothing to do takes 0.03 ms at 14,000 running tasks. Unit: seconds.
PLAN_PERIOD_S = 0.05

#: Time for which a leader that is short of link or processor collects changes for one plan. Unit:
#: seconds.
CONSTRAINED_PLAN_DELAY_S = 0.01

#: Pause between two reads of the changes of the jobs table. Gateways notify the leader of accepted
#: jobs immediately; the reads find jobs whose gateway failed before it could. Unit: seconds.
JOBS_FEED_S = 1.0

#: Longest wait for changes in one read of the workers' registry. Unit: seconds.
WORKERS_FEED_S = 2.0

#: Pause between two of these reads. Each worker rewrites its entry every 1.5 s: without a pause a
#: read returns at once with the next few entries, 70 times a second with 176 workers. Unit:
#: seconds.
WORKERS_FEED_PAUSE_S = 0.1

#: Time for which the leader's own calls to the store may stay unanswered before the leader asks
#: another instance to take over. Unit: seconds.
MAX_STORE_OUTAGE_S = 0.1

#: Time for which every plan must have deferred starts before the leader reports start delays to the
#: gateways. A burst that ends sooner makes no job late. Unit: seconds.
DEFERRED_S = 1.0

#: Delay before a leader that failed to read its tables reads them again. Unit: seconds.
_RELOAD_DELAY_S = 0.3


class LeaderPart(Part):
    """The leader's work; a part of every instance that is active only while the instance leads.

    It is idle until this instance has claimed the leader's row, and ends when the instance is
    deposed.
    """

    prefix = "home"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._claimed = None
        self._scheduler = None
        self._recorder = None
        self._advice_dispatcher = None
        self._relay_dispatcher = None
        self._fleet = None
        self._followers = []
        self._calls = None
        self._pending_plan = None
        self._loaded = False
        self.loaded_at = None
        self._n_failed_loads = 0
        self._loading_heartbeat = None
        self._garbage_collector = None
        self._intake = None
        self._scheduler_report = None
        self._backlog_tracker = None
        self._is_capacity_short = False
        self._leader_heartbeat = LeaderHeartbeat(context=context, log=self.log, leader=self)

    def start(self):
        """Subscribe to claims and start the periodic calls."""
        self.on(Claimed, self._begin)
        self.on(Deposed, lambda *_: self._end())
        self.on(ConfigChanged, self._config_changed)
        self.on(Leaving, lambda *_: self._leader_heartbeat.send_heartbeat())
        self.every(LAG_PERIOD_S, self._leader_heartbeat.heartbeat_due)
        self.every(PLAN_PERIOD_S, self._plan_due)
        self.every(SWEEP_S, self._sweep, delay=SWEEP_S)
        if self.context.claimed is not None:
            # The instance has claimed while this part was not running.
            self._begin(None, self.context.claimed)

    def stop(self):
        """Stop acting as the leader.

        A part that is restarted after a fault has lost the state of its leadership, while the
        instance still counts as the leader. The event posted here makes the instance search for
        the leader again; without it the instance would treat itself as the leader forever.
        """
        was_leader = self._claimed is not None
        try:
            self._end()
        finally:
            if was_leader:
                self.deposed()
            super().stop()

    def dump(self):
        """Return the states of jobs and workers, for diagnostics."""
        scheduler = self._scheduler
        if scheduler is None:
            return {}
        return {
            "term": self._claimed.term,
            "jobs": {job.job_id: str(job.state) for job in scheduler.jobs.values()},
            "jobs_without_payload": sorted(self._fleet.jobs_without_payload),
            "kinds": [to_builtins(kind) for kind in scheduler.speeds.kind_speeds()],
            "workers": {
                name: {
                    "free_cpu": worker.cpu_free,
                    "runs": len(worker.runs),
                    "superseded": worker.is_superseded,
                    "speed": to_builtins(scheduler.speeds.worker_speed(name, self.now)),
                }
                for name, worker in scheduler.workers.items()
            },
        }

    # Start and end of a term

    def _begin(self, _, claimed):
        if claimed is not self._claimed:
            self._n_failed_loads = 0
        self._end()
        self._claimed = claimed
        self._loading_heartbeat = LoadingHeartbeat(
            context=self.context, claimed=claimed, on_deposed=self.deposed, on_error=self.fail_with
        )
        self._loading_heartbeat.start()
        self._leader_heartbeat.send_heartbeat()
        done = self._load(claimed)
        done.addErrback(self._load_failed, claimed)
        done.addErrback(self.fail_with)

    def _load_failed(self, failure, claimed):
        failure.trap(PlatformError)
        self.log.warning("jobs not loaded", error=str(failure.value))
        self._n_failed_loads += 1
        if self._claimed is claimed:
            self._loading_heartbeat.close()
            self.later(
                jitter(self.context.random_state, _RELOAD_DELAY_S), self._retry_load, claimed
            )

    def _retry_load(self, claimed):
        if self._claimed is claimed:
            self._begin(None, claimed)

    @inlineCallbacks
    def _load(self, claimed):
        """Read the stored state and begin to lead; tasks start once workers have responded."""
        claimed_at = self.now
        source, state = yield self._read_tables(claimed)
        if self._claimed is not claimed:
            return
        scheduler = make_scheduler(self.context, claimed, state.missing)
        scheduler.registry_version = state.workers_version
        self._scheduler_report = SchedulerReport(log=self.log, meters=self.context.meters)
        if self.context.config is not None:
            scheduler.configure(self.context.config)
        self._scheduler = scheduler
        self._backlog_tracker = BacklogTracker()
        self._is_capacity_short = False
        self._advice_dispatcher = AdviceDispatcher(context=self.context)
        self._relay_dispatcher = RelayDispatcher(
            context=self.context, log=self.log, token=claimed.token
        )
        self._fleet = Fleet(
            context=self.context,
            log=self.log,
            scheduler=scheduler,
            token=claimed.token,
            confirmed_at=self._loading_heartbeat.confirmed_at,
            relay_dispatcher=self._relay_dispatcher,
            events=self,
        )
        self._recorder = Recorder(
            context=self.context,
            log=self.log,
            claimed=claimed,
            scheduler=scheduler,
            on_recorded=self._recorded,
            on_removed=scheduler.drop_ended_job,
            on_deposed=self.deposed,
            on_confirmed=self._fleet.confirm,
        )
        self._garbage_collector = GarbageCollector(
            context=self.context,
            on_rows_removed=self._job_rows_removed,
            remove_final_states=self._recorder.remove_final_states,
        )
        self._calls = LeaderCalls(
            context=self.context,
            log=self.log,
            scheduler=scheduler,
            recorder=self._recorder,
            leader=self,
        )
        self._recorder.note_progress_rows(row.key for row in state.progress)
        self._intake = JobIntake(
            context=self.context,
            log=self.log,
            scheduler=scheduler,
            garbage_collector=self._garbage_collector,
            relay_dispatcher=self._relay_dispatcher,
        )
        self.act(self._intake.load_state(state))
        nameless = claimed.former.nameless if claimed.former is not None else ()
        scheduler.note_leader_row(nameless, claimed.token)
        for row in state.workers:
            self._fleet.take_registry_entry(row)
        if claimed.former is not None:
            scheduler.unanswered_starts.adopt(claimed.former.unanswered_starts, self.now)
            for handover in claimed.former.handover:
                self._fleet.adopt_worker(handover)
        self._loaded = True
        self.loaded_at = self.now
        self._loading_heartbeat.close()
        self._n_failed_loads = 0
        self.context.leader = self
        self.context.meters.record_duration("load", self.now - claimed_at)
        self.log.info(
            "home begins",
            term=claimed.term,
            token=claimed.token,
            jobs=len(state.jobs),
            workers=len(state.workers),
            source=source,
            records_version=state.records_version,
        )
        self._leader_heartbeat.send_heartbeat()
        self.post(JobsRead(version=self.jobs_read_version))
        self._recorder.run().addErrback(self.fail_with)
        self._follow_all(state.jobs_version, state.workers_version)

    @inlineCallbacks
    def _read_tables(self, claimed):
        """Read the stored state, from the standby tables if possible, else from the store.

        The Deferred fires with the name of the source and the :class:`StoredState`.
        """
        context = self.context
        if context.standby_tables is not None:
            state = yield context.standby_tables.state(claimed.former)
            if state is not None:
                return "standby", state
        state = yield read_state(
            context.store,
            claimed.former,
            max_concurrent=self._max_concurrent_reads(claimed),
        )
        return "store", state

    def _max_concurrent_reads(self, claimed):
        n_failed = self._n_failed_loads + (claimed.former.n_loads if claimed.former else 0)
        return max_concurrent_reads(self.context.settings.link_mbps, n_failed)

    def _sweep(self):
        return self._garbage_collector.sweep() if self._garbage_collector is not None else None

    def deposed(self):
        """Post the event, within this instance, that the instance is no longer the leader."""
        self.post(Deposed())

    def _end(self):
        if self._scheduler is not None:
            self.log.info("home ends", term=self._claimed.term)
        self._claimed = None
        self._loaded = False
        self.loaded_at = None
        if self._loading_heartbeat is not None:
            self._loading_heartbeat.close()
        if self.context.leader is self:
            self.context.leader = None
        for follower in self._followers:
            follower.close()
        self._followers = []
        if self._fleet is not None:
            self._fleet.close()
        if self._recorder is not None:
            self._recorder.close()
        self._recorder = self._scheduler = self._garbage_collector = self._fleet = self._intake = (
            None
        )
        self._relay_dispatcher = None
        if self._calls is not None:
            self._calls.close()
        self._calls = None

    def _config_changed(self, _, __):
        if self._scheduler is not None:
            self._scheduler.configure(self.context.config)
            self._fleet.reread_ignored_entries()
            self.changed()

    # Reports to the other instances

    def measure_load(self):
        """Measure the leader's load, which decides whether the leader uses relays."""
        if self._relay_dispatcher is not None:
            self._relay_dispatcher.measure()
            self.context.uses_relays = self._relay_dispatcher.relays_in_use

    def heartbeat(self):
        """Return the full heartbeat: the leader's state, pending jobs and waits of new ones."""
        return self._leader_heartbeat.full_heartbeat()

    def max_account_use(self):
        """Return the largest share of its maximum that any account's runs occupy."""
        return self._scheduler.max_account_use() if self._scheduler is not None else 0.0

    def pending_counts(self):
        """Return the counts of pending jobs by queue, for the other instances."""
        return PendingCounts(counts=self._scheduler.n_waiting(), version=self._intake.version)

    @property
    def jobs_read_version(self):
        """Version through which this leader has read the jobs table."""
        return self._intake.read_version

    def start_delays(self):
        """Return the expected start delays of new jobs by queue priority. Unit: seconds."""
        scheduler = self._scheduler
        if scheduler.starts_deferred_s(self.now) < DEFERRED_S:
            return {}
        rate = self._fleet.starts.rate
        return {priority: n / rate for priority, n in scheduler.n_tasks_ahead().items()}

    def backlog(self):
        """Return the :class:`BacklogReport` on the work ahead of new jobs."""
        report = BacklogReport()
        if self.context.settings.policy.admission == "on":
            report = self._backlog_tracker.update(self._scheduler, self.now)
            self._log_waits(report.waits)
        links = self.context.links
        return structs.replace(
            report,
            start_delays=self.start_delays(),
            n_instances=1 + (len(links.peers) if links is not None else 0),
        )

    def _log_waits(self, waits):
        """Log when capacity becomes short for new jobs, and when it is free again."""
        is_short = bool(waits)
        if is_short != self._is_capacity_short:
            longest = max(waits, key=lambda wait: wait.wait_s, default=None)
            self.log.info(
                "capacity short" if is_short else "capacity free again",
                service=longest.service if longest is not None else "",
                priority=longest.priority if longest is not None else None,
                wait_s=round(longest.wait_s, 3) if longest is not None else 0.0,
            )
        self._is_capacity_short = is_short

    @property
    def term(self):
        """Number of claims in the cell so far, this one included; 0 if not the leader."""
        return self._claimed.term if self._claimed else 0

    @property
    def is_store_unavailable(self):
        """Whether the leader's own calls to the store have been unanswered for too long."""
        return (
            self._recorder is not None
            and self._recorder.own_store_health.failing_for_s > MAX_STORE_OUTAGE_S
        )

    @property
    def is_loading(self):
        """Whether this instance has claimed and is still reading the stored state.

        The instance sends heartbeats meanwhile: a leader on a slow link that sent none while it
        loaded was assumed to have failed, and so was its successor. A leader that cannot read its
        tables asks another instance to take over.
        """
        return self._claimed is not None and not self._loaded

    @property
    def has_failed_loading(self):
        """Whether reading the tables has failed or takes too long."""
        return self._n_failed_loads > 0 or (self.is_loading and self._loading_heartbeat.is_late)

    # Following tables

    def _follow_all(self, jobs_version, workers_version):
        store = self.context.store
        self._followers = [
            TableFollower(
                context=self.context,
                log=self.log,
                table=JOBS,
                read=lambda: read_jobs(
                    store, max_concurrent_reads(self.context.settings.link_mbps, 0)
                ),
                on_rows=self._process_job_rows,
                pause_s=JOBS_FEED_S,
            ),
            TableFollower(
                context=self.context,
                log=self.log,
                table=REGISTRY_TABLE,
                read=lambda: store.read(REGISTRY_TABLE, ""),
                on_rows=self._process_worker_rows,
                wait_s=WORKERS_FEED_S,
                pause_s=WORKERS_FEED_PAUSE_S,
            ),
        ]
        for follower, version in zip(self._followers, (jobs_version, workers_version), strict=True):
            follower.run(version).addErrback(self.fail_with)

    def _process_job_rows(self, rows, _, version, requested_at):
        self._intake.table_read(version)
        for row in rows:
            self.act(self._intake.process_row(row))
        self._scheduler.jobs_read(requested_at)
        self.post(JobsRead(version=self.jobs_read_version))
        self._fleet.resume_renewals()
        self._recorder.trigger()
        self.changed()

    def _process_worker_rows(self, rows, is_whole, version, _):
        self._scheduler.registry_version = version
        for row in rows:
            self._fleet.take_registry_entry(row)
        if is_whole:
            names = {row.key for row in rows}
            for registry_id in self._fleet.registry_ids() - names:
                self._fleet.registry_entry_removed(registry_id)
        self.changed()

    def _job_rows_removed(self, job_ids, version):
        if self._intake is not None:
            self._intake.rows_removed(job_ids, version)

    def add_job(self, value, version, source):
        """Add a job that a gateway has accepted; return False if it is over and was removed."""
        exists = self._intake.add_reported(value, version, source)
        self.changed()
        return exists

    def serve(self, call):
        """Answer a gateway's :class:`JobCall`; the Deferred fires with a :class:`JobReply`."""
        return self._calls.serve(call)

    # Decisions

    def changed(self):
        """Schedule one plan for all changes in this turn of the reactor.

        While the leader uses relays, because it is short of link or processor, one plan covers the
        changes of several turns.
        """
        if self._pending_plan is None and self._scheduler is not None:
            self._pending_plan = self.later(
                CONSTRAINED_PLAN_DELAY_S if self.context.uses_relays else 0, self._plan
            )

    def _plan(self):
        self._pending_plan = None
        scheduler = self._scheduler
        if scheduler is None or not self._loaded or not self._fleet.may_send_commands():
            return
        scheduler.is_store_unavailable = self.is_store_unavailable
        scheduler.n_advice_callers = self._advice_dispatcher.n_advice_callers
        scheduler.policy = self.context.settings.policy
        for seconds in scheduler.take_first_start_delays():
            self.context.meters.record_duration("first_start", seconds)
        n_wanted = self._fleet.n_free_start_slots()
        self.act(scheduler.plan(self.now, self.context.wall_clock(), n_wanted=n_wanted))
        self._scheduler_report.update(scheduler, self.now)
        if scheduler.holds_starts:
            self._recorder.trigger()

    def _plan_due(self):
        if self._pending_plan is None:
            self._plan()

    def act(self, actions):
        """Carry out actions that the scheduler has returned."""
        if self._fleet is None:
            return
        self._scheduler_report.report_dropped_runs(self._scheduler)
        for action in actions:
            match action:
                case RequestAdvice():
                    self._request_advice(action)
                case StartRun():
                    self._fleet.start(action)
                case StopRun():
                    self._fleet.stop(action)
                case SetPace():
                    self._fleet.set_pace(action)
                case NoteWait():
                    self.log.info("tasks wait", **to_builtins(action))
                case NoteUnusableWeight():
                    self._note_unusable_weight(action)
                case NoteLostWorker():
                    self._note_lost_worker(action)
                case NoteCrashingTask():
                    self._note_crashing_task(action)
                case NoteRefusedNumber():
                    self._note_refused_number(action)
        self._fleet.send_starts()

    def _note_unusable_weight(self, note):
        cause = AccountWeightError(f"the weight is not a positive number; {note.used} is used")
        self.log.warning("weight not usable", **to_builtins(note), error=str(cause))

    def _note_lost_worker(self, note):
        self.context.meters.count("worker_crashes", note.known_by)
        self.context.meters.count("crash_suspects", n=len(note.runs_and_losses))
        self.log.warning("worker lost", **to_builtins(note))

    def _note_crashing_task(self, note):
        self.context.meters.count("crash_verdicts")
        cause = TaskCrashesWorkersError(
            f"{len(note.workers)} workers crashed while running the task; it will not be restarted"
        )
        self.log.warning("job failed", **to_builtins(note), error=str(cause))

    def _note_refused_number(self, note):
        self.context.meters.count("refused_run_numbers")
        self.log.warning("run number refused", **to_builtins(note))

    def _request_advice(self, action):
        done = self._advice_dispatcher.ask(action.step, action.registry_ids, action.length_s)
        done.addCallback(self._advice_received, action, self._scheduler, self.now)
        done.addErrback(self.fail_with)

    def _advice_received(self, advice, action, scheduler, requested_at):
        if self._scheduler is not scheduler:
            return
        self.context.meters.record_duration("advice", self.now - requested_at)
        self.context.meters.record_duration("advice_wait", action.waited_s)
        if advice is None:
            self.context.meters.count("unanswered_advice")
            scheduler.advice_received(
                action.step, action.workers, None, 0.0, self.now, number=action.number
            )
        else:
            # A ticket is valid from its issue, which is at most the duration of the call ago.
            valid_until = self.now + advice.valid_s
            names = zip(action.workers, action.registry_ids, strict=True)
            tickets = {
                worker_id: advice.tickets[registry_id]
                for worker_id, registry_id in names
                if registry_id in advice.tickets
            }
            scheduler.advice_received(
                action.step,
                action.workers,
                tickets,
                valid_until,
                self.now,
                number=action.number,
            )
        log = self.log.info if action.length_s > LONG_REQUEST_S else self.log.debug
        log(
            "advice",
            step=action.step,
            asked=len(action.workers),
            good=len(advice.tickets) if advice is not None else None,
            took_s=round(self.now - requested_at, 3),
            waited_s=action.waited_s,
        )
        self.changed()

    def ends_reported(self):
        """Record the ends that workers have reported, at the next opportunity."""
        self._recorder.trigger()

    def start_unanswered(self):
        """Report the unanswered starts to the other instances, for the next leader.

        The leader's row names them too, but a leader may send starts without reaching the store.
        """
        self._leader_heartbeat.send_heartbeat()

    # Records

    def _recorded(self, ended):
        # A worker that the row of the former leader named gets tasks again once the leader's row,
        # as recorded now, does not name it any more.
        self.changed()
        self._fleet.raise_token(self._recorder.row_version)
        self._fleet.resume_renewals()
        for job in ended:
            self._garbage_collector.add(job.job_id, self.context.wall_clock())
            self._garbage_collector.shorten(job)
            self._relay_dispatcher.remove_job(job.job_id)
            self.log.info("job ended", job=job.job_id, state=str(job.state))
            self._calls.job_ended(job.job_id)
