"""The home of the cell: runs the scheduler, talks to the workers, answers about jobs."""

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, TaskCrashesWorkersError
from ..jobs import (
    AskAdvice,
    NoteCrashingTask,
    NoteLostWorker,
    NoteWait,
    SetPace,
    StartRun,
    StopRun,
)
from ..platform import REGISTRY_TABLE
from ..runtime import Part
from ..utils import jitter, to_builtins
from ._advisers import Advisers
from ._carriers import Carriers
from ._context import LAG_PERIOD_S, Claimed, ConfigChanged, Deposed, Leaving
from ._fleet import Fleet
from ._follower import TableFollower
from ._home_calls import HomeCalls
from ._home_state import make_scheduler, read_state, readings_at_once
from ._home_voice import HomeVoice
from ._janitor import SWEEP_S, Janitor
from ._job_intake import JobIntake
from ._job_store import read_jobs
from ._load_beat import LoadBeat
from ._recorder import Recorder
from ._tables import JOBS
from ._waiting import Waiting

#: Longest time between two plans: what falls due by time alone is seen by then. A plan with nothing
#: to do takes 0.03 ms at 14,000 running tasks. Unit: seconds.
PLAN_S = 0.05

#: Time that changes are gathered for one plan at a home that is short of link or processor. Unit:
#: seconds.
SHORT_PLAN_S = 0.01

#: Pause between readings of the accepted jobs. Entries tell the home of them at once; the feed
#: finds those whose entry died before it could. Unit: seconds.
JOBS_FEED_S = 1.0

#: Longest wait of one reading of the workers' entries. Unit: seconds.
WORKERS_FEED_S = 2.0

#: Silence of the store, for this instance alone, after which the home offers its place to another.
#: Unit: seconds.
STORE_BAD_S = 0.1

#: Time for which each plan has to leave starts to a later one before entries are told how long new
#: jobs wait: a burst that is over sooner makes nobody late. Unit: seconds.
DEFERRED_S = 1.0

#: Wait before a home that could not read its tables reads them again. Unit: seconds.
_AGAIN_S = 0.3


class HomePart(Part):
    """Exists idle in every instance; after a claim it is the home until it is deposed."""

    prefix = "home"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._claimed = None
        self._scheduler = None
        self._recorder = None
        self._advisers = None
        self._carriers = None
        self._fleet = None
        self._followers = []
        self._calls = None
        self._planned = None
        self._loaded = False
        self.loaded_at = None
        self._n_failed_loads = 0
        self._load_beat = None
        self._janitor = None
        self._intake = None
        self._voice = HomeVoice(context=context, log=self.log, home=self)

    def start(self):
        """Wait for a claim."""
        self.on(Claimed, self._begin)
        self.on(Deposed, lambda *_: self._end())
        self.on(ConfigChanged, self._config_changed)
        self.on(Leaving, lambda *_: self._voice.tell())
        self.every(LAG_PERIOD_S, self._voice.beat_due)
        self.every(PLAN_S, self._plan_due)
        self.every(SWEEP_S, self._sweep, delay=SWEEP_S)

    def stop(self):
        """Give up being home.

        A part that is restarted after a fault has forgotten that it was. Said here, this instance
        looks for the home again; else it would wait for itself for ever.
        """
        was_home = self._claimed is not None
        self._end()
        if was_home:
            self.deposed()
        super().stop()

    def dump(self):
        """Return what is known of jobs and workers."""
        scheduler = self._scheduler
        if scheduler is None:
            return {}
        return {
            "term": self._claimed.term,
            "jobs": {job.job_id: str(job.state) for job in scheduler.jobs.values()},
            "jobs_without_payload": sorted(self._fleet.jobs_without_payload),
            "workers": {
                name: {"free_cpu": worker.cpu_free, "runs": len(worker.runs)}
                for name, worker in scheduler.workers.items()
            },
        }

    # Beginning and end

    def _begin(self, _, claimed):
        if claimed is not self._claimed:
            self._n_failed_loads = 0
        self._end()
        self._claimed = claimed
        self._load_beat = LoadBeat(
            context=self.context, claimed=claimed, on_deposed=self.deposed, on_error=self.fail_with
        )
        self._load_beat.start()
        self._voice.tell()
        done = self._load(claimed)
        done.addErrback(self._load_failed, claimed)
        done.addErrback(self.fail_with)

    def _load_failed(self, failure, claimed):
        failure.trap(PlatformError)
        self.log.warning("jobs not loaded", error=str(failure.value))
        self._n_failed_loads += 1
        if self._claimed is claimed:
            self._load_beat.close()
            self.later(jitter(self.context.random_state, _AGAIN_S), self._begin_again, claimed)

    def _begin_again(self, claimed):
        if self._claimed is claimed:
            self._begin(None, claimed)

    @inlineCallbacks
    def _load(self, claimed):
        """Read what lasts, then hear the workers: only then anything is started."""
        claimed_at = self.now
        state = yield self._read_tables(claimed)
        if self._claimed is not claimed:
            return
        scheduler = make_scheduler(self.context, claimed, state.missing)
        scheduler.registry_version = state.workers_version
        if self.context.config is not None:
            scheduler.configure(self.context.config)
        self._scheduler = scheduler
        self._advisers = Advisers(context=self.context)
        self._carriers = Carriers(context=self.context, log=self.log)
        self._janitor = Janitor(context=self.context, on_removed=scheduler.forget_ended)
        self._fleet = Fleet(
            context=self.context,
            log=self.log,
            scheduler=scheduler,
            token=claimed.token,
            carriers=self._carriers,
            events=self,
        )
        self._recorder = Recorder(
            context=self.context,
            claimed=claimed,
            scheduler=scheduler,
            on_recorded=self._recorded,
            on_deposed=self.deposed,
            on_confirmed=self._fleet.confirm,
        )
        self._calls = HomeCalls(
            context=self.context,
            log=self.log,
            scheduler=scheduler,
            recorder=self._recorder,
            home=self,
        )
        self._recorder.note_progress_rows(row.key for row in state.progress)
        self._intake = JobIntake(
            context=self.context,
            log=self.log,
            scheduler=scheduler,
            janitor=self._janitor,
            carriers=self._carriers,
        )
        self.act(self._intake.take_over(state))
        for row in state.workers:
            self._fleet.take_entry(row)
        for handover in claimed.former.handover if claimed.former is not None else ():
            self._fleet.take_handover(handover)
        self._loaded = True
        self.loaded_at = self.now
        self._load_beat.close()
        self._n_failed_loads = 0
        self.context.home = self
        self.context.meters.record_duration("load", self.now - claimed_at)
        self.log.info(
            "home begins",
            term=claimed.term,
            token=claimed.token,
            jobs=len(state.jobs),
            workers=len(state.workers),
        )
        self._voice.tell()
        self._recorder.run().addErrback(self.fail_with)
        self._follow_all(state.jobs_version, state.workers_version)

    @inlineCallbacks
    def _read_tables(self, claimed):
        """Return the state of the tables: what is known of them already, or read whole."""
        context = self.context
        if context.warm_tables is not None:
            state = yield context.warm_tables.state(claimed.former, context.config)
            if state is not None:
                return state
        state = yield read_state(
            context.store,
            claimed.former,
            context.config,
            at_once=self._readings_at_once(claimed),
        )
        return state

    def _readings_at_once(self, claimed):
        n_failed = self._n_failed_loads + (claimed.former.n_loads if claimed.former else 0)
        return readings_at_once(self.context.settings.link_mbps, n_failed)

    def _sweep(self):
        return self._janitor.sweep() if self._janitor is not None else None

    def deposed(self):
        """Another home has begun."""
        self.post(Deposed())

    def _end(self):
        if self._scheduler is not None:
            self.log.info("home ends", term=self._claimed.term)
        self._claimed = None
        self._loaded = False
        self.loaded_at = None
        if self._load_beat is not None:
            self._load_beat.close()
        if self.context.home is self:
            self.context.home = None
        for follower in self._followers:
            follower.close()
        self._followers = []
        if self._fleet is not None:
            self._fleet.close()
        if self._recorder is not None:
            self._recorder.close()
        self._recorder = self._scheduler = self._janitor = self._fleet = self._intake = None
        self._carriers = None
        if self._calls is not None:
            self._calls.close()
        self._calls = None

    def _config_changed(self, _, __):
        if self._scheduler is not None:
            self._scheduler.configure(self.context.config)
            self._fleet.read_again()
            self.changed()

    # Telling the others

    def measure_load(self):
        """Note whether this instance is short of link or processor, as the home."""
        if self._carriers is not None:
            self._carriers.measure()
            self.context.is_carried = self._carriers.are_used

    def beat(self):
        """Return what the home says of itself and of what waits."""
        return self._voice.full_beat()

    def waiting(self):
        """Return what waits, for the other instances."""
        return Waiting(counts=self._scheduler.n_waiting(), version=self._intake.version)

    def start_waits(self):
        """Return how long new jobs wait until their tasks can be sent, by priority."""
        scheduler = self._scheduler
        if scheduler.starts_deferred_s(self.now) < DEFERRED_S:
            return {}
        rate = self._fleet.starts.rate
        return {priority: n / rate for priority, n in scheduler.n_tasks_ahead().items()}

    @property
    def term(self):
        """How many homes there were, this one included; 0 where this is none."""
        return self._claimed.term if self._claimed else 0

    @property
    def is_store_away(self):
        """Whether the store has not answered the home's own calls for a while."""
        return self._recorder is not None and self._recorder.reach.bad_for_s > STORE_BAD_S

    @property
    def is_loading(self):
        """Whether this instance has claimed and still reads what lasts.

        It says so: a home on a slow link that was silent meanwhile was taken for dead, and its
        successor after it. One that cannot read its tables offers its place.
        """
        return self._claimed is not None and not self._loaded

    @property
    def loads_in_vain(self):
        """Whether its tables cannot be read, or not in time."""
        return self._n_failed_loads > 0 or (self.is_loading and self._load_beat.is_late)

    # Following tables

    def _follow_all(self, jobs_version, workers_version):
        store = self.context.store
        self._followers = [
            TableFollower(
                context=self.context,
                log=self.log,
                table=JOBS,
                read=lambda: read_jobs(store, readings_at_once(self.context.settings.link_mbps, 0)),
                take=self._take_jobs,
                pause_s=JOBS_FEED_S,
            ),
            TableFollower(
                context=self.context,
                log=self.log,
                table=REGISTRY_TABLE,
                read=lambda: store.read(REGISTRY_TABLE, ""),
                take=self._take_workers,
                wait_s=WORKERS_FEED_S,
            ),
        ]
        for follower, version in zip(self._followers, (jobs_version, workers_version), strict=True):
            follower.run(version).addErrback(self.fail_with)

    def _take_jobs(self, rows, _, version, asked_at):
        self._intake.known_up_to(version)
        for row in rows:
            self.act(self._intake.take(row))
        self._scheduler.jobs_read(asked_at)
        self._fleet.acknowledge()
        self._recorder.hurry()
        self.changed()

    def _take_workers(self, rows, is_whole, version, _):
        self._scheduler.registry_version = version
        for row in rows:
            self._fleet.take_entry(row)
        if is_whole:
            names = {row.key for row in rows}
            for worker_id in set(self._scheduler.workers) - names:
                self._fleet.entry_gone(worker_id)
        self.changed()

    def add_job(self, value, version):
        """Take on a job that an entry has accepted."""
        self._intake.add(value, version)
        self.changed()

    def serve(self, call):
        """Answer an entry's :class:`JobCall`; the Deferred fires with a :class:`JobReply`."""
        return self._calls.serve(call)

    # Decisions

    def changed(self):
        """Plan in this turn of the reactor, once for all that changes in it.

        A home that is short of processor plans once for what changes in some turns.
        """
        if self._planned is None and self._scheduler is not None:
            self._planned = self.later(SHORT_PLAN_S if self.context.is_carried else 0, self._plan)

    def _plan(self):
        self._planned = None
        scheduler = self._scheduler
        if scheduler is None or not self._loaded or not self._fleet.may_order():
            return
        scheduler.is_store_away = self.is_store_away
        scheduler.n_advisers = self._advisers.n_advisers
        scheduler.policy = self.context.settings.scheduling
        for seconds in scheduler.take_first_starts():
            self.context.meters.record_duration("first_start", seconds)
        n_wanted = self._fleet.n_wanted_starts()
        self.act(scheduler.plan(self.now, self.context.wall_clock(), n_wanted=n_wanted))
        if scheduler.holds_starts:
            self._recorder.hurry()

    def _plan_due(self):
        if self._planned is None:
            self._plan()

    def act(self, actions):
        """Carry out what the scheduler decided."""
        if self._fleet is None:
            return
        for action in actions:
            match action:
                case AskAdvice():
                    self._ask_advice(action)
                case StartRun():
                    self._fleet.start(action)
                case StopRun():
                    self._fleet.stop(action)
                case SetPace():
                    self._fleet.set_pace(action)
                case NoteWait():
                    self.log.info("tasks wait", **to_builtins(action))
                case NoteLostWorker():
                    self._note_lost_worker(action)
                case NoteCrashingTask():
                    self._note_crashing_task(action)
        self._fleet.send_starts()

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

    def _ask_advice(self, action):
        done = self._advisers.ask(action.step, action.workers, action.length_s)
        done.addCallback(self._advised, action, self._scheduler, self.now)
        done.addErrback(self.fail_with)

    def _advised(self, advice, action, scheduler, asked_at):
        if self._scheduler is not scheduler:
            return
        self.context.meters.record_duration("advice", self.now - asked_at)
        if advice is None:
            scheduler.advised(action.step, action.workers, None, 0.0, self.now)
        else:
            # The ticket's time runs from its making, which is at most the call's length ago.
            valid_until = self.now + advice.valid_s
            scheduler.advised(action.step, action.workers, advice.tickets, valid_until, self.now)
        self.log.debug(
            "advice",
            step=action.step,
            asked=len(action.workers),
            good=len(advice.tickets) if advice is not None else None,
            took_s=round(self.now - asked_at, 3),
        )
        self.changed()

    def ends_told(self):
        """Ends wait for their record."""
        self._recorder.hurry()

    # Records

    def _recorded(self, ended):
        # Workers that the row no longer names take work again.
        self.changed()
        self._fleet.acknowledge()
        for job in ended:
            self._janitor.add(job.job_id, self.context.wall_clock())
            self._janitor.shorten(job)
            self._carriers.forget_job(job.job_id)
            self.log.info("job ended", job=job.job_id, state=str(job.state))
            self._calls.job_ended(job.job_id)
