"""Durable records of the progress of jobs, many changes in one transaction."""

from collections import deque
from itertools import islice

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, PreconditionError
from ..utils import jitter
from ._answer_timeout import answer_timeout
from ._context import StoreHealth
from ._leader_row import make_leader_row
from ._leader_row_store import WriteOutcome, find_leader_row
from ._pending_result import PendingResult
from ._tables import (
    ENDED,
    MAX_ROW_BYTES,
    PROGRESS,
    ended_write,
    write,
)

#: Least time between two transactions, so that the ends of several tasks share one. Until an end is
#: durable the worker keeps reporting it, and the leader does not receive the next end immediately:
#: a wait here may delay the next end by as much. Unit: seconds.
MIN_COMMIT_INTERVAL_S = 0.015

#: The same for a leader that is about to stop: its successor's claim has to be made between two of
#: the transactions. Unit: seconds.
LEAVING_COMMIT_INTERVAL_S = 0.1

#: The same for a leader that is short of link or processor: a worker reports the ends of that time
#: in one answer, and each transaction costs a call. Unit: seconds.
CONSTRAINED_COMMIT_INTERVAL_S = 0.05

#: Period of transactions when there is nothing to record: they show instances that cannot reach the
#: leader that it is running. A take-over waits for two of them, and they cost 7 of the store's 800
#: calls a second. Unit: seconds.
HEARTBEAT_S = 0.15

#: Most jobs in one transaction. A call holds 100 conditions and writes; an ended job takes two, and
#: the leader's row two. In a slow store a transaction takes 0.7 s, and in a burst 45 jobs end a
#: second.
JOBS_PER_COMMIT = 45

#: Largest number of conditions and writes in one transaction, a limit of the platform.
MAX_ENTRIES = 100

#: Number of these that the leader's row takes: a condition and a write.
LEADER_ROW_ENTRIES = 2

#: Most final states of removed jobs in one transaction, so that they do not delay its records.
REMOVALS_PER_COMMIT = 20

#: Largest total of the records in one transaction, unless a single record is larger. A call holds
#: 1 MB; records are a third larger on the wire, and the leader's row has up to 64 kB. A larger call
#: was refused and repeated forever, so that nothing was recorded any more. Unit: bytes.
BYTES_PER_COMMIT = 600_000

#: Remaining waits shorter than this count as over: the clock cannot distinguish them from zero.
#: Unit: seconds.
_CLOCK_TOLERANCE_S = 1e-4

#: Timeout of a transaction. Unit: seconds.
COMMIT_TIMEOUT_S = 2.0

#: Least timeout of the read of the leader's row while a transaction has no answer. With the time
#: before that read, it detects in 0.8 s that the leader cannot reach the store. Unit: seconds.
READ_TIMEOUT_S = 0.5

#: Multiple of its lag by which an instance that is short of processor extends these timeouts: an
#: answer that has arrived waits to be read, as the call waited to be written.
LAG_ALLOWANCE_FACTOR = 3

#: Delay before a failed transaction is repeated. Unit: seconds.
RETRY_DELAY_S = 0.15


class _Batch(Struct, kw_only=True):
    """Content of one transaction.

    `records` are the jobs, each with its change number and writes. `removed_ids` are the jobs whose
    final states it removes.
    """

    records: list
    removed_ids: list[str]


class Recorder:
    """Writes the records of jobs in transactions that are fenced by the leader's row.

    Every transaction is made on the condition that the leader's row is as the last one left it, and
    writes the row again. So a former leader writes nothing, and a transaction without an answer
    that is carried out seconds later has no effect: the row has a newer version by then.

    Parameters
    ----------
    context : CellContext
    log : Logger
    claimed : Claimed
    scheduler : Scheduler
    on_recorded : callable
        Called after each transaction with the jobs whose ends it has made durable.
    on_removed : callable
        Called with the id of each job whose final state has been removed.
    on_deposed : callable
        Called when the leader's row has another write than the last one of this recorder.
    on_confirmed : callable
        Called with the time at which a call was sent that confirmed that this is the leader.

    Notes
    -----
    `own_store_health` tracks whether the store answers this recorder. Other calls of the instance
    do not count: a part of the store that is full of jobs refuses the writes of a gateway, and a
    leader that took this for an outage asked for a take-over again and again.
    """

    def __init__(
        self, *, context, log, claimed, scheduler, on_recorded, on_removed, on_deposed, on_confirmed
    ):
        self.context = context
        self.log = log
        self.scheduler = scheduler
        self.on_recorded = on_recorded
        self.on_removed = on_removed
        self.on_deposed = on_deposed
        self.on_confirmed = on_confirmed
        self.stopped = False
        self.n_commits = 0
        self._row_version = claimed.row_version
        self._term = claimed.term
        self._handover = frozenset()
        self._registry_version = 0
        self._progress_job_ids = set()
        self._removable_ids = deque()
        self.own_store_health = StoreHealth(clock=context.clock)
        self._answer_timeout_s = answer_timeout(context.store_health.answer_s)
        self._wake = None

    @property
    def row_version(self):
        """Version of the leader's row after this leader's last known write of it."""
        return self._row_version

    def note_progress_rows(self, job_ids):
        """Note jobs that have a progress row, which must be removed when they end."""
        self._progress_job_ids.update(job_ids)

    def remove_final_states(self, job_ids):
        """Remove the final states of jobs with the next transactions."""
        self._removable_ids.extend(job_ids)

    def close(self):
        """Stop writing."""
        self.stopped = True
        self.trigger()

    def trigger(self):
        """Write the pending records at the next opportunity."""
        if self._wake is not None and self._wake.active():
            self._wake.reset(0)

    @inlineCallbacks
    def run(self):
        """Write pending records until closed."""
        last_commit_at = self.context.clock.seconds()
        while not self.stopped:
            now = self.context.clock.seconds()
            due = self._due_jobs()
            wait = (self._commit_interval_s() if due else HEARTBEAT_S) - (now - last_commit_at)
            if wait <= _CLOCK_TOLERANCE_S:
                last_commit_at = now
                yield self._commit(due)
            else:
                yield self._sleep(wait)

    def _commit_interval_s(self):
        """Return the least time between two transactions. Unit: seconds."""
        if self.context.leaving:
            return LEAVING_COMMIT_INTERVAL_S
        return CONSTRAINED_COMMIT_INTERVAL_S if self.context.uses_relays else MIN_COMMIT_INTERVAL_S

    def _sleep(self, delay):
        clock = self.context.clock
        sleeping = deferLater(clock, 3600.0, lambda: None)
        sleeping.addErrback(lambda _: None)
        self._wake = clock.callLater(delay, sleeping.cancel)
        return sleeping

    def _due_jobs(self):
        dirty = self.scheduler.dirty_jobs()
        dirty.sort(key=lambda job: not job.is_ended)
        return dirty[:JOBS_PER_COMMIT]

    @inlineCallbacks
    def _commit(self, jobs):
        records = self._make_records(jobs)
        writes = [item for _, _, items in records for item in items]
        n_removals = min(REMOVALS_PER_COMMIT, MAX_ENTRIES - LEADER_ROW_ENTRIES - len(writes))
        removed_ids = list(islice(self._removable_ids, n_removals))
        writes += [write(ENDED, job_id, None) for job_id in removed_ids]
        batch = _Batch(records=records, removed_ids=removed_ids)
        row_write = self.context.leader_row.prepare(self._make_row(), self._row_version)
        yield self._commit_until_settled(row_write, writes, batch)

    def _make_records(self, jobs):
        """Return the jobs that fit in one transaction, each with its change number and writes."""
        records = []
        n_bytes = 0
        for job in jobs:
            writes = self._writes(job)
            n_bytes += sum(len(item.value or b"") for item in writes)
            if records and n_bytes > BYTES_PER_COMMIT:
                break
            records.append((job, job.change, writes))
        return records

    def _make_row(self):
        row = make_leader_row(context=self.context, scheduler=self.scheduler, term=self._term)
        # If an entry in `nameless` becomes that of a worker, the worker gets no task until a row
        # without the entry is durable.
        worker_ids = [worker.info.worker_id for worker in row.handover]
        self._handover = frozenset(worker_ids + row.nameless)
        self._registry_version = self.scheduler.registry_version
        for worker_id in worker_ids:
            self.scheduler.workers[worker_id].in_handover = True
        return row

    @inlineCallbacks
    def _commit_until_settled(self, row_write, writes, batch):
        """Repeat a transaction until its outcome is known, or this recorder is closed.

        A transaction without an answer may have been committed. Repeated under the same condition
        it takes effect only once.
        """
        clock = self.context.clock
        while not self.stopped:
            began = clock.seconds()
            commit = self.context.leader_row.commit(row_write, writes, timeout=COMMIT_TIMEOUT_S)
            writing = PendingResult(commit)
            row = yield self._wait_for_answer(writing)
            if self.stopped:
                return
            if row is not None:
                self._leader_row_changed(row_write, row, batch, known_by="read")
                return
            if not writing.is_known:
                continue
            try:
                version = writing.get()
            except PreconditionError as exc:
                self._store_answered()
                row = find_leader_row(exc.details["rows"])
                self._leader_row_changed(row_write, row, batch, known_by="refusal")
                return
            except PlatformError:
                row = yield self._read_row()
                if self.stopped:
                    return
                if self._has_changed(row):
                    self._leader_row_changed(row_write, row, batch, known_by="read")
                    return
                yield self._sleep(jitter(self.context.random_state, RETRY_DELAY_S))
                continue
            self._store_answered()
            answer_s = clock.seconds() - began
            self.context.store_health.answer_s = answer_s
            self._answer_timeout_s = answer_timeout(answer_s)
            self.on_confirmed(began)
            self.scheduler.grace_period.row_written(version, began)
            self._committed(batch, version, known_by="answer")
            return

    @inlineCallbacks
    def _wait_for_answer(self, writing):
        """Wait for the answer to a transaction; return the leader's row if it has changed.

        While the answer is pending the row is read. This detects in 0.6 s a store that this
        instance cannot reach, and a store that is only slow does not get the same transaction
        twice. When the store answers again after an outage, the answer is lost; the wait then ends
        without an outcome.
        """
        while not self.stopped:
            yield writing.wait(self.context.clock, self._answer_timeout_s + self._extra_wait_s)
            if writing.is_known:
                return None
            was_unreachable = self.own_store_health.is_failing
            row = yield self._read_row()
            if self._has_changed(row):
                return row
            if row is not None and was_unreachable:
                return None
        return None

    @property
    def _extra_wait_s(self):
        """Allowance for answers that are late because of this process's lag. Unit: seconds."""
        return LAG_ALLOWANCE_FACTOR * self.context.lag.lag_s

    def _has_changed(self, row):
        return row is not None and row.version != self._row_version

    @inlineCallbacks
    def _read_row(self):
        """Read the leader's row; return None if the read fails.

        Without the read, writes whose answers are lost look the same as a store that this instance
        cannot reach. Only in the second case would another leader do better.
        """
        began = self.context.clock.seconds()
        try:
            timeout = max(READ_TIMEOUT_S, self._answer_timeout_s) + self._extra_wait_s
            row = yield self.context.leader_row.read(timeout=timeout)
        except PlatformError:
            self.own_store_health.record_failure()
            self.context.store_health.record_failure()
            return None
        self._store_answered()
        if row is not None and row.version == self._row_version:
            self.on_confirmed(began)
        return row

    def _store_answered(self):
        self.own_store_health.record_answer()
        self.context.store_health.record_answer()

    def _committed(self, batch, version, *, known_by):
        self.n_commits += 1
        if batch.records or known_by != "answer":
            self.log.info(
                "records durable",
                term=self._term,
                version=version,
                known_by=known_by,
                jobs={job.job_id: change for job, change, _ in batch.records},
            )
        self._row_version = version
        self.scheduler.note_leader_row(self._handover, self._registry_version)
        now = self.context.clock.seconds()
        ended = []
        for job, change, _ in batch.records:
            if job.changed_at is not None:
                self.context.meters.record_duration("record", now - job.changed_at)
            # If a job ended while the transaction was in flight, its end is not durable yet.
            if self.scheduler.recorded(job.job_id, change, now):
                self._progress_job_ids.discard(job.job_id)
                ended.append(job)
        for job_id in batch.removed_ids:
            self._removable_ids.popleft()
            self.on_removed(job_id)
        self.on_recorded(ended)

    def _leader_row_changed(self, row_write, row, batch, *, known_by):
        """Handle a leader's row that has changed since this recorder last wrote it."""
        outcome = row_write.outcome(row)
        self.context.meters.count("records_without_answer", str(outcome))
        if outcome is WriteOutcome.COMMITTED:
            self._committed(batch, row.version, known_by=known_by)
        else:
            self.log.info(
                "records superseded",
                term=self._term,
                version=row.version if row is not None else 0,
                known_by=known_by,
                jobs={job.job_id: change for job, change, _ in batch.records},
            )
            self.stopped = True
            self.on_deposed()

    def _writes(self, job):
        job_id = job.job_id
        if not job.is_ended:
            self._progress_job_ids.add(job_id)
            return [_progress_write(job)]
        held = self.scheduler.held_by(job) if job.owner else (0, 0, 0)
        writes = [ended_write(job, self.context.wall_clock(), held=held)]
        if job_id in self._progress_job_ids:
            writes.append(write(PROGRESS, job_id, None))
        return writes


def _progress_write(job):
    """Return the write of a job's progress, without its checkpoints if the row would be too large.

    A row has space for 2,200 checkpoints. A record over the size of a row was refused forever, and
    with it everything that the leader records. Without the checkpoints the next leader loses the
    work since the tasks began; done tasks and failures, which decide what may run, are kept.
    """
    record = job.to_record()
    item = write(PROGRESS, job.job_id, record)
    if len(item.value) <= MAX_ROW_BYTES:
        return item
    record.checkpoints = {}
    return write(PROGRESS, job.job_id, record)
