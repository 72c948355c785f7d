"""Counts of pending jobs by queue, which each instance keeps to answer without the leader."""

from collections import Counter

from msgspec import Struct
from twisted.internet.defer import Deferred, DeferredLock, TimeoutError, inlineCallbacks

from ..exceptions import NotReadyError, PlatformError, RevisionGoneError
from ..utils import decode
from ._job_store import read_jobs
from ._tables import CANCEL_MARK, JOBS, JobRow

#: Period in which the leader reports the counts. Reports are sent with heartbeats, so that two of
#: them are at most 0.6 s apart. Unit: seconds.
PENDING_REPORT_PERIOD_S = 0.4

#: Age up to which a count is used for an answer. Together with the period above, a count that a
#: client receives is less than two seconds old, as clients are guaranteed. Unit: seconds.
MAX_AGE_S = 1.3

#: Time without a leader's report after which the counts are no longer used. A leader that this
#: instance does not reach may still run and begin jobs, which would be counted as pending here.
#: Unit: seconds.
MAX_UNRESPONSIVE_S = 10.0

#: Time without an answer of the store after which it is not read. Longer than the timeout of one
#: call, since a single lost answer does not show that the store is unavailable. Unit: seconds.
STORE_UNAVAILABLE_S = 1.0

#: Number of parts of the jobs table that are read at the same time if its history is dropped.
MAX_CONCURRENT_READS = 8

#: Longest wait of a call for a leader's first report, for example after a restart of all instances:
#: half of the time for which clients wait. Unit: seconds.
FIRST_REPORT_TIMEOUT_S = 1.5


class PendingCounts(Struct, kw_only=True):
    """A leader's report: the number of jobs that have not begun, by queue; zeros are left out.

    `version` is the newest version of the jobs table that the leader knows of. It may be newer than
    that of the leader's feed, as gateways report their jobs to the leader within milliseconds: with
    the feed's version, jobs of the last second would be counted twice.
    """

    counts: dict[str, int]
    version: int


class PendingJobs:
    """Counts of jobs that have not begun, by queue.

    The configuration alone determines whether a queue is served; the leader knows how many of its
    jobs are pending. If each answer needed a call to the leader, its loss would make all other
    instances refuse every queue until the next leader begins, as if the queues were unknown. No job
    begins without a leader, so until then the counts are those of the last report plus the jobs
    accepted since.

    Parameters
    ----------
    context : CellContext
    """

    def __init__(self, *, context):
        self.context = context
        self._counts = None
        self._version = 0
        self._counted_at = 0.0
        self._reported_at = 0.0
        self._lock = DeferredLock()
        self._waiters = []

    @property
    def is_known(self):
        """Whether a leader has reported counts."""
        return self._counts is not None

    @property
    def is_fresh(self):
        """Whether the counts are recent enough for an answer."""
        return self.is_known and self.context.clock.seconds() - self._counted_at <= MAX_AGE_S

    def record_report(self, report):
        """Replace the counts by those of a leader's report."""
        self._counts = Counter(report.counts)
        self._version = report.version
        self._counted_at = self._reported_at = self.context.clock.seconds()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def count(self, queue):
        """Return the number of pending jobs of a queue."""
        return self._counts[queue]

    @inlineCallbacks
    def await_first_report(self):
        """Wait for the first report of a leader.

        Raises
        ------
        NotReadyError
            AF204: no report arrived in time, or no leader can begin without the store.
        """
        if self.is_known:
            return
        self._check_store()
        waiter = Deferred()
        self._waiters.append(waiter)
        waiter.addTimeout(FIRST_REPORT_TIMEOUT_S, self.context.clock)
        try:
            yield waiter
        except TimeoutError as exc:
            self._waiters.remove(waiter)
            raise _unknown_count("no leader has reported yet") from exc

    @inlineCallbacks
    def refresh(self):
        """Add the jobs accepted since the last report, if the counts are too old.

        Concurrent calls share one read of the store.

        Raises
        ------
        NotReadyError
            AF204: neither a leader nor the store responds.
        """
        yield self._lock.run(self._refresh_if_old)

    @inlineCallbacks
    def _refresh_if_old(self):
        if self.is_fresh:
            return
        requested_at, version = self.context.clock.seconds(), self._version
        if requested_at - self._reported_at > MAX_UNRESPONSIVE_S:
            raise _unknown_count("no leader has reported for too long")
        self._check_store()
        try:
            rows, newest = yield self._read_since(version)
            accepted = _queues_of_accepted_jobs(rows)
        except PlatformError as exc:
            raise _unknown_count(str(exc)) from exc
        if self._version != version:
            # A leader's report has arrived in the meantime; it includes these jobs.
            return
        self._counts.update(accepted)
        self._version = newest
        self._counted_at = requested_at

    @inlineCallbacks
    def _read_since(self, version):
        """Return the rows of jobs that are newer than a version, and the version read up to.

        If the store has dropped the history since then, the table itself is read.
        """
        store = self.context.store
        try:
            found = yield store.follow(JOBS, version, wait_s=0.0)
        except RevisionGoneError:
            rows, newest = yield read_jobs(store, MAX_CONCURRENT_READS)
            found = [row for row in rows if row.version > version], newest
        return found

    def _check_store(self):
        if self.context.store_health.failing_for_s > STORE_UNAVAILABLE_S:
            raise _unknown_count("neither a leader nor the store responds")


def _queues_of_accepted_jobs(rows):
    """Return the queue of each job that may be pending, from rows of the jobs table."""
    values = [row.value for row in rows if row.value and not row.key.endswith(CANCEL_MARK)]
    jobs = map(_decode_job_row, values)
    return [job.queue.name for job in jobs if job is not None and job.spec.steps]


def _decode_job_row(value):
    """Return a job's row, or None if it cannot be decoded: the leader does not begin such a job."""
    try:
        return decode(value, JobRow, error=PlatformError)
    except PlatformError:
        return None


def _unknown_count(why):
    return NotReadyError(f"how many jobs wait is not known: {why}", details={"retry_after_s": 1})
