"""The home of the cell: runs the scheduler, talks to the workers, answers about jobs."""

from twisted.internet.defer import (
    Deferred,
    FirstError,
    gatherResults,
    inlineCallbacks,
    succeed,
)
from twisted.internet.task import deferLater

from ..exceptions import (
    PlatformError,
    PlatformRefusedError,
    PreconditionError,
    RevisionGoneError,
)
from ..jobs import (
    AskAdvice,
    EndedJob,
    JobRecord,
    JobState,
    Scheduler,
    SetPace,
    StartRun,
    StopRun,
)
from ..peers.gen.ttypes import HomeBeat, JobReply
from ..platform import REGISTRY_TABLE, decode_worker
from ..runtime import Part
from ..utils import decode, jitter
from ._advisers import Advisers
from ._context import Claimed, ConfigChanged, Deposed, Leaving
from ._recorder import Recorder
from ._session import WorkerSession
from ._tables import (
    CANCEL_MARK,
    ENDED,
    JOB_PARTS,
    JOBS,
    PART,
    PROGRESS,
    JobRow,
    condition,
    job_part,
    write,
)

#: Period of telling the instances that the home lives. Unit: seconds.
BEAT_S = 0.2

#: Longest time between two plans: what falls due by time alone is seen by then. Unit: seconds.
PLAN_S = 0.1

#: Length of the leases that are sent. Renewals come each half second; a take-over from a home that
#: fell silent takes about 1 s, a start of all instances after a loss of power 2 s. A longer lease
#: would keep tasks of a lost worker waiting for longer. Unit: seconds.
LEASE_S = 3.0

#: Pause between readings of the accepted jobs. Entries tell the home of them at once; the feed
#: finds those whose entry died before it could. Unit: seconds.
JOBS_FEED_S = 1.0

#: Time after the beginning of a home at which it first reads what came since. Unit: seconds.
FIRST_FEED_S = 0.1

#: Longest wait of one reading of the workers' entries. Unit: seconds.
WORKERS_FEED_S = 2.0

#: Silence of the store, for this instance alone, after which the home offers its place to another.
#: Unit: seconds.
STORE_BAD_S = 0.1

#: Time that a worker's missing entry is given to come back, for example after an outage of the
#: store in which it lapsed. Unit: seconds.
UNLISTED_S = 2.5

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
        self._sessions = {}
        self._waiters = {}
        self._planned = None
        self._loaded = False
        self._unlisted = {}

    def start(self):
        """Wait for a claim."""
        self.on(Claimed, self._begin)
        self.on(Deposed, lambda *_: self._end())
        self.on(ConfigChanged, self._config_changed)
        self.on(Leaving, lambda *_: self._tell())
        self.every(BEAT_S, self._tell)
        self.every(PLAN_S, self._plan_due)

    def stop(self):
        """Give up being home."""
        self._end()
        super().stop()

    def dump(self):
        """Return what is known of jobs and workers."""
        scheduler = self._scheduler
        if scheduler is None:
            return {}
        return {
            "term": self._claimed.term,
            "jobs": {job.job_id: str(job.state) for job in scheduler.jobs.values()},
            "workers": {
                name: {"free_cpu": worker.cpu_free, "runs": len(worker.runs)}
                for name, worker in scheduler.workers.items()
            },
        }

    # Beginning and end

    def _begin(self, _, claimed):
        self._end()
        self._claimed = claimed
        done = self._load(claimed)
        done.addErrback(self._load_failed, claimed)
        done.addErrback(self.fail_with)

    def _load_failed(self, failure, claimed):
        failure.trap(PlatformError)
        self.log.warning("jobs not loaded", error=str(failure.value))
        if self._claimed is claimed:
            self.later(jitter(self.context.random_state, _AGAIN_S), self._begin_again, claimed)

    def _begin_again(self, claimed):
        if self._claimed is claimed:
            self._begin(None, claimed)

    @inlineCallbacks
    def _load(self, claimed):
        """Read what lasts, then hear the workers: only then anything is started."""
        store = self.context.store
        # All at once: where the store is slow each of them takes a quarter of a second.
        reads = [
            self._read_jobs(),
            store.read(PROGRESS, PART),
            store.read(ENDED, PART),
            store.read(REGISTRY_TABLE, ""),
        ]
        results = yield gatherResults(reads, consumeErrors=True).addErrback(_first_error)
        (jobs, jobs_version), (records, _), (ended, _), (workers, workers_version) = results
        if self._claimed is not claimed:
            return
        scheduler = Scheduler(term=claimed.term, lease_s=LEASE_S, now=self.now)
        if self.context.config is not None:
            scheduler.configure(self.context.config)
        self._scheduler = scheduler
        self._advisers = Advisers(context=self.context)
        self._recorder = Recorder(
            context=self.context,
            claimed=claimed,
            scheduler=scheduler,
            on_recorded=self._recorded,
            on_deposed=self._deposed,
        )
        self._recorder.note_progress_rows(row.key for row in records)
        self._take_over_jobs(jobs, records, ended)
        for row in workers:
            self._worker_row(row)
        self._loaded = True
        self.context.home = self
        self.log.info(
            "home begins",
            term=claimed.term,
            token=claimed.token,
            jobs=len(jobs),
            workers=len(workers),
        )
        self._tell()
        self._recorder.run().addErrback(self.fail_with)
        self._follow(claimed, JOBS, jobs_version, 0.0, self._job_row)
        self._follow(claimed, REGISTRY_TABLE, workers_version, WORKERS_FEED_S, self._worker_row)

    @inlineCallbacks
    def _read_jobs(self):
        """Read the jobs of all parts; the version is the oldest of the readings."""
        reads = [self.context.store.read(JOBS, part) for part in JOB_PARTS]
        results = yield gatherResults(reads, consumeErrors=True).addErrback(_first_error)
        rows = [row for part_rows, _ in results for row in part_rows]
        return rows, min(version for _, version in results)

    def _take_over_jobs(self, jobs, records, ended):
        progress = {row.key: decode(row.value, JobRecord) for row in records}
        for row in ended:
            self._scheduler.forget_job(
                row.key, JobState(decode(row.value, EndedJob).state), self.now
            )
        marks = [row for row in jobs if row.key.endswith(CANCEL_MARK)]
        for row in jobs:
            if not row.key.endswith(CANCEL_MARK):
                self._add_row(row, progress.get(row.key), inherited=True)
        for row in marks:
            self._job_row(row)

    def _deposed(self):
        self.post(Deposed())

    def _end(self):
        if self._scheduler is not None:
            self.log.info("home ends", term=self._claimed.term)
        self._claimed = None
        self._loaded = False
        if self.context.home is self:
            self.context.home = None
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()
        if self._recorder is not None:
            self._recorder.close()
        self._recorder = self._scheduler = None
        self._unlisted.clear()
        waiters, self._waiters = self._waiters, {}
        for done in [done for each in waiters.values() for done in each]:
            done.callback(JobReply(outcome="not home", count=0))

    def _config_changed(self, _, __):
        if self._scheduler is not None:
            self._scheduler.configure(self.context.config)
            self._plan_soon()

    # Telling the others

    def beat(self):
        """Return what the home says of itself."""
        config = self.context.config
        links = self.context.links
        return HomeBeat(
            term=self._claimed.term if self._claimed else 0,
            config_version=config.version if config is not None else 0,
            yielding=self.context.leaving or self.context.store_health.bad_for_s > STORE_BAD_S,
            successors=sorted(links.peers) if links is not None else [],
        )

    def _tell(self):
        if self.context.home is not self or self.context.links is None:
            return
        beat = self.beat()
        for link in self.context.links.peers.values():
            link.send(beat)

    # Following tables

    def _follow(self, claimed, table, version, wait_s, take):
        done = self._follow_table(claimed, table, version, wait_s, take)
        done.addErrback(self.fail_with)

    @inlineCallbacks
    def _follow_table(self, claimed, table, version, wait_s, take):
        # The former home goes on until the workers are held, also with jobs that came after the
        # reading of the table.
        pause = FIRST_FEED_S
        while self._claimed is claimed:
            if not wait_s:
                yield deferLater(self.context.clock, pause, lambda: None)
                pause = JOBS_FEED_S
            try:
                if version is None:
                    rows, version = yield self._read_whole(table)
                else:
                    rows, version = yield self.context.store.follow(table, version, wait_s=wait_s)
            except RevisionGoneError:
                version = None
                continue
            except PlatformError as exc:
                self.log.info("table not followed", table=table, error=str(exc))
                yield deferLater(self.context.clock, _AGAIN_S, lambda: None)
                continue
            if self._claimed is not claimed:
                return
            for row in rows:
                take(row)
            self._plan_soon()

    @inlineCallbacks
    def _read_whole(self, table):
        """Read a table whose history is gone, and notice which workers are missing in it."""
        if table == JOBS:
            result = yield self._read_jobs()
            return result
        rows, version = yield self.context.store.read(table, "")
        names = {row.key for row in rows}
        if self._scheduler is not None:
            for worker_id in set(self._scheduler.workers) - names:
                self._worker_missing(worker_id)
        return rows, version

    def _job_row(self, row):
        if row.value is None:
            return
        if not row.key.endswith(CANCEL_MARK):
            self._add_row(row, None, inherited=False)
            return
        job_id = row.key.removesuffix(CANCEL_MARK)
        if job_id in self._scheduler.jobs:
            self.log.info("job cancelled by an entry", job=job_id)
            self._act(self._scheduler.cancel_job(job_id, self.now))
            self._recorder.hurry()

    def _add_row(self, row, record, *, inherited):
        value = decode(row.value, JobRow, error=PlatformError)
        self._add_job(value, row.version, record, inherited=inherited)

    def _add_job(self, value, version, record, *, inherited):
        added = self._scheduler.add_job(
            value.spec,
            value.queue,
            version=version,
            now=self.now,
            wall_now=self.context.wall_clock(),
            record=record,
            inherited=inherited,
        )
        if added:
            self.log.info(
                "job taken on",
                job=value.spec.job_id,
                queue=value.queue.name,
                version=version,
                inherited=inherited,
            )

    # Workers

    def _worker_row(self, row):
        if row.value is None:
            self._worker_missing(row.key)
            return
        try:
            info = decode_worker(row.key, row.value)
        except PlatformError as exc:
            self.log.warning("worker's entry not understood", worker=row.key, error=str(exc))
            return
        self._unlisted.pop(info.worker_id, None)
        if self._scheduler.worker_listed(info, self.now):
            self.log.info(
                "worker found", worker=info.worker_id, address=info.address, rack=info.rack
            )
            self._open_session(info)
        elif info.draining:
            self.log.info("worker drains", worker=info.worker_id, left_s=info.leaves_in_s)

    def _worker_missing(self, worker_id):
        if worker_id in self._scheduler.workers:
            self.log.info("worker's entry gone", worker=worker_id)
            self._scheduler.worker_unlisted(worker_id)
            self._unlisted[worker_id] = self.now

    def _open_session(self, info):
        calls = self.context.make_worker(info, self._claimed.token)
        session = WorkerSession(clock=self.context.clock, calls=calls, lease_s=LEASE_S, home=self)
        self._sessions[info.worker_id] = session
        session.run().addErrback(self.fail_with)

    def seen(self, worker_id):
        """Return the number up to which a worker may forget ends."""
        worker = self._scheduler.workers.get(worker_id)
        return self._scheduler.acknowledged(worker) if worker is not None else 0

    def has_unseen(self, worker_id):
        """Whether the worker told of ends that are not durable yet."""
        worker = self._scheduler.workers.get(worker_id)
        return worker is not None and self.seen(worker_id) < worker.last_ended

    def is_silent(self, worker_id):
        """Whether the last call to a worker had no answer."""
        worker = self._scheduler.workers.get(worker_id)
        return worker is not None and worker.silent

    def lease_sent(self, worker_id, sent_at):
        """Note that a lease is on its way to a worker."""
        worker = self._scheduler.workers.get(worker_id)
        if worker is not None:
            worker.lease_sent(sent_at, LEASE_S)

    def worker_reported(self, worker_id, report, asked_at):
        """Take a worker's answer to a hold."""
        worker = self._scheduler.workers.get(worker_id)
        if worker is None:
            return
        if worker.silent or not worker.confirmed:
            self.log.info("worker answers", worker=worker_id, active=len(report.active))
        for end in report.ended:
            if end.number > worker.last_ended:
                self.log.info(
                    "task ended",
                    task=end.task,
                    run=end.run_id,
                    worker=worker_id,
                    how=end.how,
                    number=end.number,
                )
        self._act(self._scheduler.report(worker_id, report, asked_at=asked_at, now=self.now))
        if report.ended:
            self._recorder.hurry()
        self._plan_soon()

    def worker_failed(self, worker_id, exc):
        """A call to a worker had no answer."""
        worker = self._scheduler.workers.get(worker_id)
        if worker is not None and not worker.silent:
            self.log.info("worker silent", worker=worker_id, error=str(exc))
        self._scheduler.worker_silent(worker_id)
        unlisted_at = self._unlisted.get(worker_id)
        over = worker is None or self.now >= worker.lease_over_at
        if unlisted_at is not None and self.now - unlisted_at > UNLISTED_S and over:
            self.worker_gone(worker_id)
        self._plan_soon()

    def worker_gone(self, worker_id):
        """The worker's life is over."""
        self.log.info("worker gone", worker=worker_id)
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            session.close()
        self._unlisted.pop(worker_id, None)
        self._scheduler.worker_ended(worker_id, self.now)
        self._plan_soon()

    def fenced(self, worker_id):
        """A worker has seen a higher token: another home has begun."""
        self.log.warning("fenced by a worker", worker=worker_id, token=self._claimed.token)
        self._deposed()

    # Answers of workers

    def start_answered(self, action, outcome):
        """Take the answer to a start."""
        if self._scheduler is None:
            return
        if outcome != "started":
            self.log.info(
                "start not taken",
                task=action.task,
                run=action.run_id,
                worker=action.worker_id,
                why=outcome,
            )
        self._act(
            self._scheduler.start_answered(
                action.worker_id, action.task, action.run_id, outcome, self.now
            )
        )
        if outcome != "started":
            self._plan_soon()

    def stop_answered(self, action):
        """Take the answer to a stop."""
        if self._scheduler is not None:
            self._scheduler.stop_answered(action.worker_id, action.task, action.run_id, self.now)

    def pace_failed(self, action, exc):
        """Note a change of pace that was not taken."""
        self.log.info("pace not set", task=action.task, worker=action.worker_id, error=str(exc))

    # Decisions

    def _plan_soon(self):
        if self._planned is None and self._scheduler is not None:
            self._planned = self.later(0, self._plan)

    def _plan(self):
        self._planned = None
        scheduler = self._scheduler
        if scheduler is None or not self._loaded:
            return
        scheduler.n_advisers = self._advisers.n_advisers
        self._act(scheduler.plan(self.now, self.context.wall_clock()))

    def _plan_due(self):
        if self._planned is None:
            self._plan()

    def _act(self, actions):
        for action in actions:
            match action:
                case AskAdvice():
                    self._ask_advice(action)
                case StartRun():
                    self._start(action)
                case StopRun():
                    self._stop(action)
                case SetPace():
                    self._pace(action)

    def _start(self, action):
        self.log.info("start", task=action.task, run=action.run_id, worker=action.worker_id)
        session = self._sessions.get(action.worker_id)
        if session is not None:
            session.start(action).addErrback(self.fail_with)

    def _stop(self, action):
        self.log.info(
            "stop", task=action.task, run=action.run_id, worker=action.worker_id, why=action.why
        )
        session = self._sessions.get(action.worker_id)
        if session is not None:
            session.stop(action).addErrback(self.fail_with)

    def _pace(self, action):
        self.log.info("pace", task=action.task, worker=action.worker_id, percent=action.percent)
        session = self._sessions.get(action.worker_id)
        if session is not None:
            session.set_pace(action).addErrback(self.fail_with)

    def _ask_advice(self, action):
        done = self._advisers.ask(action.step, action.workers, action.length_s)
        done.addCallback(self._advised, action, self._scheduler, self.now)
        done.addErrback(self.fail_with)

    def _advised(self, advice, action, scheduler, asked_at):
        if self._scheduler is not scheduler:
            return
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
        self._plan_soon()

    # Records

    def _recorded(self, ended):
        for session in self._sessions.values():
            session.acknowledge()
        for job_id in ended:
            self.log.info("job ended", job=job_id, state=str(self._scheduler.ended.get(job_id)))
            self._fire(job_id, "ok")

    def _fire(self, job_id, outcome):
        for done in self._waiters.pop(job_id, ()):
            done.callback(JobReply(outcome=outcome, count=0))

    # Calls of entries

    def serve(self, call):
        """Answer an entry's :class:`JobCall`; the Deferred fires with a :class:`JobReply`."""
        match call.verb:
            case "accepted":
                value = decode(call.body, JobRow)
                self._add_job(value, call.version, None, inherited=False)
                self._plan_soon()
                return succeed(JobReply(outcome="ok", count=0))
            case "state":
                state = self._scheduler.state_of(call.job_id)
                outcome = str(state) if state is not None else "unknown"
                return succeed(JobReply(outcome=outcome, count=0))
            case "pending":
                count = self._scheduler.n_pending(call.queue)
                return succeed(JobReply(outcome="ok", count=count))
            case "cancel":
                return self._cancel(call.job_id)
            case "submit":
                return self._submit(call)
            case _:
                return succeed(JobReply(outcome="failed", count=0))

    def _cancel(self, job_id):
        scheduler = self._scheduler
        if job_id in scheduler.ended:
            return succeed(JobReply(outcome="ok", count=0))
        if job_id not in scheduler.jobs:
            return succeed(JobReply(outcome="unknown", count=0))
        self.log.info("job cancelled", job=job_id)
        done = Deferred()
        self._waiters.setdefault(job_id, []).append(done)
        self._act(scheduler.cancel_job(job_id, self.now))
        self._recorder.hurry()
        self._plan_soon()
        return done

    @inlineCallbacks
    def _submit(self, call):
        """Store a job for an entry that does not reach the store."""
        if self.context.store_health.bad_for_s > STORE_BAD_S:
            return JobReply(outcome="refused", count=0)
        value = decode(call.body, JobRow)
        try:
            version = yield store_job(self.context.store, value)
        except PlatformRefusedError:
            return JobReply(outcome="refused", count=0)
        except PlatformError:
            return JobReply(outcome="unsure", count=0)
        if version and self._scheduler is not None:
            self._add_job(value, version, None, inherited=False)
            self._plan_soon()
        return JobReply(outcome="ok", count=0)


def _first_error(failure):
    failure.trap(FirstError)
    return failure.value.subFailure


@inlineCallbacks
def store_job(store, value):
    """Make a job durable; return the version of its row, or 0 when it was accepted before.

    The row stays for a while after the job has ended: the same job may come again seconds later.
    """
    job_id = value.spec.job_id
    part = job_part(job_id)
    try:
        version = yield store.commit(
            [condition(JOBS, job_id, 0, part=part)], [write(JOBS, job_id, value, part=part)]
        )
    except PreconditionError:
        return 0
    return version


@inlineCallbacks
def read_stored_job(store, job_id):
    """Return a job's :class:`JobState` and its row as the store has them, or (None, None)."""
    ended = yield store.read_row(ENDED, PART, job_id)
    if ended is not None:
        return JobState(decode(ended.value, EndedJob).state), None
    end = job_id + CANCEL_MARK + "\0"
    rows, _ = yield store.read(JOBS, job_part(job_id), first=job_id, end=end)
    keys = {row.key: row for row in rows}
    if job_id + CANCEL_MARK in keys:
        return JobState.CANCELLED, None
    return (JobState.RUNNING, keys[job_id]) if job_id in keys else (None, None)


@inlineCallbacks
def cancel_stored_job(store, job_id):
    """Mark a job as cancelled without its home; return False when there is no such job."""
    state, row = yield read_stored_job(store, job_id)
    if row is not None:
        part = job_part(job_id)
        try:
            yield store.commit(
                [condition(JOBS, job_id, row.version, part=part)],
                [write(JOBS, job_id + CANCEL_MARK, True, part=part)],
            )
        except PreconditionError:
            return True
    return state is not None
