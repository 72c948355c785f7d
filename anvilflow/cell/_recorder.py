"""Makes the progress of jobs durable, many changes in one transaction."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, PlatformRefusedError, PreconditionError
from ..jobs import make_handover
from ..utils import decode, jitter
from ._context import StoreHealth
from ._outcome import Outcome
from ._tables import (
    HOME,
    HOME_KEY,
    MAX_ROW_BYTES,
    PART,
    PROGRESS,
    HomeRow,
    condition,
    ended_write,
    write,
)

#: Least time between two transactions, so that ends of several tasks share one. While an end is
#: not durable the worker tells of it again and again, so it is not heard at once of the next one:
#: each wait here is one that the next end may have, too. Unit: seconds.
GATHER_S = 0.015

#: The same for a home that is about to stop: its successor's claim has to come between two of them.
#: Unit: seconds.
LEAVING_GATHER_S = 0.1

#: The same for a home that is short of link or processor: ends of a worker that come meanwhile are
#: told in one answer, and each record is a call. Unit: seconds.
SHORT_GATHER_S = 0.05

#: Period of writes without anything to record: they show instances that do not reach the home that
#: it lives. A take-over waits for two of them, and they cost 7 of the store's 800 calls a second.
#: Unit: seconds.
BEAT_S = 0.15

#: Jobs in one transaction at the most. A call holds 100 entries; a job that ends takes two, and the
#: home's row two. In a slow store a transaction takes 0.7 s, and a burst ends 45 jobs a second.
JOBS_PER_COMMIT = 45

#: Records in one transaction at the most, but for one that is larger by itself. A call holds 1 MB;
#: records are a third larger on the wire, and the home's row has up to 64 kB. A call over that was
#: refused, and made again for ever: nothing was recorded any more. Unit: bytes.
BYTES_PER_COMMIT = 600_000

#: Entries of the registry that name no worker in the home's row at the most, some 2 kB of it. After
#: a change of one that is left out a new home waits for the leases of nobody, 3.8 s.
MAX_NAMELESS = 100

#: Shorter waits than this are over: the clock does not tell them from none. Unit: seconds.
_TICK_S = 1e-4

#: Longest wait for the answer to a transaction. Unit: seconds.
LONGEST_WRITE_S = 2.0

#: Least and longest time after which an answer is doubted, and how many of the last answer's times
#: it is between them. A home that the store does not reach is found by it: in 0.8 s, with the
#: reading that follows. Unit: seconds.
MIN_TIMEOUT_S = 0.3
MAX_TIMEOUT_S = 1.0
TIMEOUT_ANSWERS = 4
READ_TIMEOUT_S = 0.5

#: Times its lag by which an instance that is short of processor waits for longer: an answer that is
#: there waits for its turn to be read, as the call waited to be written.
LAG_TIMES = 3

#: Wait after a call without an answer. Unit: seconds.
AGAIN_S = 0.15


class Recorder:
    """Writes records under the home's row.

    Every transaction is made on the condition that the home's row is as the last one left it, and
    writes the row anew. So a former home writes nothing, and a transaction without an answer that
    is carried out seconds later does nothing: the row has moved on by then.

    Parameters
    ----------
    context : CellContext
    claimed : Claimed
    scheduler : Scheduler
    on_recorded : callable
        Called after each transaction with the jobs that have ended in it.
    on_deposed : callable
    on_confirmed : callable
        Called with the time at which a call was sent that showed that this is the home.

    Notes
    -----
    `reach` tells whether the store answers this recorder at all. Other calls of the instance do not
    count: a part of the store that is full of jobs refuses an entry, and a home that took this for
    an outage gave its place away again and again.
    """

    def __init__(self, *, context, claimed, scheduler, on_recorded, on_deposed, on_confirmed):
        self.context = context
        self.scheduler = scheduler
        self.on_recorded = on_recorded
        self.on_deposed = on_deposed
        self.on_confirmed = on_confirmed
        self.stopped = False
        self.n_commits = 0
        self._row_version = claimed.row_version
        self._term = claimed.term
        self._handover = frozenset()
        self._written = set()
        self.reach = StoreHealth(clock=context.clock)
        self._doubt_s = answer_timeout(context.store_health.answer_s)
        self._wake = None

    def note_progress_rows(self, job_ids):
        """Note jobs that have a row of progress, which has to be removed at their end."""
        self._written.update(job_ids)

    def close(self):
        """Write no more."""
        self.stopped = True
        self.hurry()

    def hurry(self):
        """Write now what is due."""
        if self._wake is not None and self._wake.active():
            self._wake.reset(0)

    @inlineCallbacks
    def run(self):
        """Write what is due, until closed."""
        wrote_at = self.context.clock.seconds()
        while not self.stopped:
            now = self.context.clock.seconds()
            due = self._due()
            wait = (self._gather_s() if due else BEAT_S) - (now - wrote_at)
            if wait <= _TICK_S:
                wrote_at = now
                yield self._commit(due)
            else:
                yield self._sleep(wait)

    def _gather_s(self):
        """Return the least time between two transactions. Unit: seconds."""
        if self.context.leaving:
            return LEAVING_GATHER_S
        return SHORT_GATHER_S if self.context.is_carried else GATHER_S

    def _sleep(self, delay):
        clock = self.context.clock
        sleeping = deferLater(clock, 3600.0, lambda: None)
        sleeping.addErrback(lambda _: None)
        self._wake = clock.callLater(delay, sleeping.cancel)
        return sleeping

    def _due(self):
        dirty = self.scheduler.dirty_jobs()
        dirty.sort(key=lambda job: not job.is_ended)
        return dirty[:JOBS_PER_COMMIT]

    @inlineCallbacks
    def _commit(self, jobs):
        snapshot = self._take(jobs)
        conditions = [condition(HOME, HOME_KEY, self._row_version)]
        writes = [write(HOME, HOME_KEY, self._make_row())]
        writes += [item for _, _, items in snapshot for item in items]
        yield self._repeat(conditions, writes, snapshot)

    def _take(self, jobs):
        """Return the jobs that fit into one transaction, each with its change and its writes."""
        snapshot = []
        n_bytes = 0
        for job in jobs:
            writes = self._writes(job)
            n_bytes += sum(len(item.value or b"") for item in writes)
            if snapshot and n_bytes > BYTES_PER_COMMIT:
                break
            snapshot.append((job, job.change, writes))
        return snapshot

    def _make_row(self):
        handover = make_handover(self.scheduler, self.context.clock.seconds())
        nameless = sorted(self.scheduler.nameless)[:MAX_NAMELESS]
        # Those that become workers get no task, either, before a row without them is durable.
        self._handover = frozenset([worker.info.worker_id for worker in handover] + nameless)
        for worker in handover:
            self.scheduler.workers[worker.info.worker_id].in_handover = True
        grace_period = self.scheduler.grace_period
        is_over = grace_period.is_over(self.context.clock.seconds())
        # What this home does not know of the workers yet, the next one must not take for known.
        is_known = is_over or grace_period.is_known
        missing = [] if is_over else sorted(grace_period.missing)
        return HomeRow(
            holder=self.context.name,
            incarnation=self.context.incarnation,
            address=self.context.settings.listen.peers_address,
            term=self._term,
            handover=handover,
            registry_version=self.scheduler.registry_version if is_known else 0,
            n_workers=len(self.scheduler.workers) + len(missing),
            missing=missing,
            nameless=nameless,
        )

    @inlineCallbacks
    def _repeat(self, conditions, writes, snapshot):
        """Make a transaction until it is known what became of it.

        One without an answer may have been done. Made again under the same condition it is done
        once: if the row has moved on and still has our name, the first one did it.
        """
        unsure = False
        clock = self.context.clock
        while not self.stopped:
            began = clock.seconds()
            commit = self.context.store.commit(conditions, writes, timeout=LONGEST_WRITE_S)
            writing = Outcome(commit)
            row = yield self._watch(writing)
            if row is not None:
                self._refused(row, snapshot, True)
                return
            if not writing.is_known:
                unsure = True
                continue
            try:
                version = writing.get()
            except PreconditionError as exc:
                self._answered()
                rows = {(row.table, row.key): row for row in exc.details["rows"]}
                self._refused(rows.get((HOME, HOME_KEY)), snapshot, unsure)
                return
            except PlatformError as exc:
                unsure = unsure or not isinstance(exc, PlatformRefusedError)
                row = yield self._read_row()
                if self._has_moved(row):
                    self._refused(row, snapshot, unsure)
                    return
                yield self._sleep(jitter(self.context.random_state, AGAIN_S))
                continue
            self._answered()
            answer_s = clock.seconds() - began
            self.context.store_health.answer_s = answer_s
            self._doubt_s = answer_timeout(answer_s)
            self.on_confirmed(began)
            self.scheduler.grace_period.row_written(version, began)
            self._done(snapshot, version)
            return

    @inlineCallbacks
    def _watch(self, writing):
        """Wait for the answer to a transaction; return the home's row if that shows its fate.

        While the answer is out the row is read: a store that does not reach this instance is found
        in 0.6 s so, and one that is only slow is not given the same transaction twice. One that
        answers again after an outage has lost the answer; then the transaction is given up.
        """
        while not self.stopped:
            yield writing.wait(self.context.clock, self._doubt_s + self._late_s)
            if writing.is_known:
                return None
            was_away = self.reach.is_bad
            row = yield self._read_row()
            if self._has_moved(row):
                return row
            if row is not None and was_away:
                return None
        return None

    @property
    def _late_s(self):
        """How much later answers may be for want of processor here. Unit: seconds."""
        return LAG_TIMES * self.context.lag.lag_s

    def _has_moved(self, row):
        return row is not None and row.version != self._row_version

    @inlineCallbacks
    def _read_row(self):
        """Read the home's row; return None when that fails.

        Writes whose answers are lost and a store that does not reach this instance look alike; only
        in the second case another home would do better.
        """
        began = self.context.clock.seconds()
        try:
            row = yield self.context.store.read_row(
                HOME, PART, HOME_KEY, timeout=max(READ_TIMEOUT_S, self._doubt_s) + self._late_s
            )
        except PlatformError:
            self.reach.bad()
            self.context.store_health.bad()
            return None
        self._answered()
        if row is not None and row.version == self._row_version:
            self.on_confirmed(began)
        return row

    def _answered(self):
        self.reach.good()
        self.context.store_health.good()

    def _done(self, snapshot, version):
        self.n_commits += 1
        self._row_version = version
        self.scheduler.note_handover(self._handover)
        now = self.context.clock.seconds()
        ended = []
        for job, change, _ in snapshot:
            if job.changed_at is not None:
                self.context.meters.record_duration("record", now - job.changed_at)
            # A job that ended while this was on its way is not durable by it.
            if self.scheduler.recorded(job.job_id, change, now):
                self._written.discard(job.job_id)
                ended.append(job)
        if not self.stopped:
            self.on_recorded(ended)

    def _refused(self, home, snapshot, unsure):
        """Take the home's row as it is found: the last write did it, or another home."""
        holder = None
        if home is not None and home.value:
            holder = decode(home.value, HomeRow, error=PlatformError)
        if holder is None or holder.incarnation != self.context.incarnation:
            self.stopped = True
            self.on_deposed()
        elif unsure:
            self._done(snapshot, home.version)
        else:
            self._row_version = home.version

    def _writes(self, job):
        job_id = job.job_id
        if not job.is_ended:
            self._written.add(job_id)
            return [_progress_write(job)]
        writes = [ended_write(job_id, job.state, self.context.wall_clock())]
        if job_id in self._written:
            writes.append(write(PROGRESS, job_id, None))
        return writes


def _progress_write(job):
    """Return the write of a job's progress.

    2,200 checkpoints fill a row. One over its size was refused for ever, and with it all that the
    home records. Left out they cost the next home the work since their tasks began;
    what is done or has failed, which decides what may run, is kept.
    """
    record = job.to_record()
    item = write(PROGRESS, job.job_id, record)
    if len(item.value) <= MAX_ROW_BYTES:
        return item
    record.checkpoints = {}
    return write(PROGRESS, job.job_id, record)


def answer_timeout(answer_s):
    """Return how long a transaction is waited for when the last answer took `answer_s`."""
    return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_ANSWERS * answer_s))
