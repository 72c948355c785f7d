"""How many jobs of each queue wait, as an instance knows it without asking the leader."""

from collections import Counter

from msgspec import Struct
from twisted.internet.defer import Deferred, DeferredLock, TimeoutError, inlineCallbacks

from ..exceptions import NotReadyError, PlatformError, RevisionGoneError
from ..utils import decode
from ._job_store import read_jobs
from ._tables import CANCEL_MARK, JOBS, JobRow

#: Period in which the leader tells what waits, with a beat: after 0.6 s at the latest. Unit:
#: seconds.
PENDING_HEARTBEAT_S = 0.4

#: Age up to which a count is good for an answer; with the period above it is less than the two
#: seconds old that callers were promised. Unit: seconds.
MAX_AGE_S = 1.3

#: Time without a word of a leader after which the counts are given up. One that is out of reach
#: from here may live and begin jobs, which go on being counted as if they waited. Unit: seconds.
MAX_UNRESPONSIVE_S = 10.0

#: Time without an answer of the store after which it is not asked: longer than the time limit of
#: one call, since one answer that was lost says nothing about the store. Unit: seconds.
STORE_AWAY_S = 1.0

#: Parts of the table of jobs that are read at the same time where its history is gone.
READINGS_AT_ONCE = 8

#: Longest wait of a caller for the first word of a leader, as after the end of all instances: half
#: of the time for which callers wait. Unit: seconds.
FIRST_WORD_S = 1.5


class PendingCounts(Struct, kw_only=True):
    """What a leader tells: jobs of which nothing has begun, by queue; those of none are left out.

    `version` is the newest of the table of jobs that the leader knows. An entry tells it of a job
    in milliseconds; up to the feed's version, those of the last second would be counted twice.
    """

    counts: dict[str, int]
    version: int


class PendingJobs:
    """Counts of jobs of which nothing has begun, by queue.

    The configuration alone says whether a queue is served; the leader knows how many of its jobs
    wait. Asked for each answer, its loss would make all other instances refuse every queue until
    there is another one, as if they did not know it. Nothing begins without a leader: what it told
    last, and the jobs that were accepted since, are the count until then.

    Parameters
    ----------
    context : CellContext
    """

    def __init__(self, *, context):
        self.context = context
        self._counts = None
        self._version = 0
        self._known_at = 0.0
        self._told_at = 0.0
        self._lock = DeferredLock()
        self._waiters = []

    @property
    def is_known(self):
        """Whether a leader has told what waits."""
        return self._counts is not None

    @property
    def is_fresh(self):
        """Whether the counts are new enough for an answer."""
        return self.is_known and self.context.clock.seconds() - self._known_at <= MAX_AGE_S

    def told(self, waiting):
        """Take what a leader tells."""
        self._counts = Counter(waiting.counts)
        self._version = waiting.version
        self._known_at = self._told_at = self.context.clock.seconds()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def count(self, queue):
        """Return how many jobs of a queue wait."""
        return self._counts[queue]

    @inlineCallbacks
    def await_first(self):
        """Wait until a leader has told for the first time.

        Raises
        ------
        NotReadyError
            AF204, when none has in time, or none can begin since the store is away.
        """
        if self.is_known:
            return
        self._check_store()
        waiter = Deferred()
        self._waiters.append(waiter)
        waiter.addTimeout(FIRST_WORD_S, self.context.clock)
        try:
            yield waiter
        except TimeoutError as exc:
            self._waiters.remove(waiter)
            raise _not_known("no home has told yet") from exc

    @inlineCallbacks
    def refresh(self):
        """Count what was accepted since the leader told; one reading for all who ask meanwhile.

        Raises
        ------
        NotReadyError
            AF204, when neither a leader nor the store tells.
        """
        yield self._lock.run(self._refresh_if_old)

    @inlineCallbacks
    def _refresh_if_old(self):
        if self.is_fresh:
            return
        requested_at, version = self.context.clock.seconds(), self._version
        if requested_at - self._told_at > MAX_UNRESPONSIVE_S:
            raise _not_known("no home has told for too long")
        self._check_store()
        try:
            rows, newest = yield self._read_since(version)
            accepted = _accepted(rows)
        except PlatformError as exc:
            raise _not_known(str(exc)) from exc
        if self._version != version:
            # A leader has told meanwhile, and knows of these jobs.
            return
        self._counts.update(accepted)
        self._version = newest
        self._known_at = requested_at

    @inlineCallbacks
    def _read_since(self, version):
        """Return the rows of jobs that came after a version, and the version of the reading.

        Where the store has dropped its history it still has the rows themselves.
        """
        store = self.context.store
        try:
            found = yield store.follow(JOBS, version, wait_s=0.0)
        except RevisionGoneError:
            rows, newest = yield read_jobs(store, READINGS_AT_ONCE)
            found = [row for row in rows if row.version > version], newest
        return found

    def _check_store(self):
        if self.context.store_health.failing_for_s > STORE_AWAY_S:
            raise _not_known("neither a home nor the store tells")


def _accepted(rows):
    """Return the queue of each job that may wait among rows of the table of jobs."""
    values = [row.value for row in rows if row.value and not row.key.endswith(CANCEL_MARK)]
    jobs = [decode(value, JobRow, error=PlatformError) for value in values]
    return [job.queue.name for job in jobs if job.spec.steps]


def _not_known(why):
    return NotReadyError(f"how many jobs wait is not known: {why}", details={"retry_after_s": 1})
