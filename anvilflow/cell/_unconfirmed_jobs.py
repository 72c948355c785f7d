"""Reports of accepted jobs to the leader, until the leader knows of them."""

from collections import OrderedDict

from ..exceptions import AnvilflowError, NotReadyError
from ..utils import encode

#: Timeout of a report, as of the other short calls to the leader. Unit: seconds.
REPORT_TIMEOUT_S = 0.4

#: Number of jobs that are kept for the next leader. While there is no leader the list grows with
#: every accepted job; the next leader finds those that are left out in the table.
MAX_UNCONFIRMED_JOBS = 2000

#: The leader's outcomes after which a job is not reported again.
_SETTLED_OUTCOMES = frozenset({"ok", "gone"})


class _UnconfirmedJob:
    """A job that the leader may not know of.

    `is_unsent` is whether no leader has taken the last report.
    """

    __slots__ = ("is_unsent", "value", "version")

    def __init__(self, *, value, version):
        self.value = value
        self.version = version
        self.is_unsent = False


class UnconfirmedJobs:
    """Reports the jobs that this instance accepts to the leader.

    Parameters
    ----------
    context : CellContext
    log : Logger

    Notes
    -----
    The leader also finds the jobs in the feed of the table of jobs, but up to a second later. A job
    is kept until the leader has confirmed it, or has read the table through the version of the
    job's row: from then on a report would tell it nothing.
    """

    def __init__(self, *, context, log):
        self.context = context
        self.log = log
        self._jobs = OrderedDict()

    def __len__(self):
        return len(self._jobs)

    def add(self, value, version):
        """Report a job whose row has been written at `version`."""
        self._jobs[value.spec.job_id] = job = _UnconfirmedJob(value=value, version=version)
        while len(self._jobs) > MAX_UNCONFIRMED_JOBS:
            self._jobs.popitem(last=False)
        self._report(job)

    def report_all(self):
        """Report all jobs to a new leader, which may have read the table before they were in it."""
        if self._jobs:
            self.log.info("unconfirmed jobs reported", n_jobs=len(self._jobs))
        for job in list(self._jobs.values()):
            self._report(job)

    def table_read(self, version):
        """Drop the jobs that a leader has read from the table; repeat the unsent reports of others.

        Parameters
        ----------
        version : int
            Version through which the leader has read the table of jobs.
        """
        for job_id, job in list(self._jobs.items()):
            if job.version <= version:
                del self._jobs[job_id]
            elif job.is_unsent:
                self._report(job)
        self._update_gauge()

    def _report(self, job):
        job.is_unsent = False
        done = self.context.links.call_leader(
            REPORT_TIMEOUT_S,
            verb="accepted",
            job_id=job.value.spec.job_id,
            queue=job.value.queue.name,
            version=job.version,
            body=encode(job.value),
        )
        done.addCallback(self._answered, job)
        done.addErrback(self._failed, job)
        done.addBoth(lambda _: self._update_gauge())

    def _answered(self, reply, job):
        job_id = job.value.spec.job_id
        if reply.outcome in _SETTLED_OUTCOMES:
            self._jobs.pop(job_id, None)
        else:
            job.is_unsent = True
        if reply.outcome != "ok":
            self.log.info("job not confirmed", job=job_id, outcome=reply.outcome)

    def _failed(self, failure, job):
        failure.trap(AnvilflowError)
        job.is_unsent = failure.check(NotReadyError) is not None
        self.log.info("home not told", job=job.value.spec.job_id, error=str(failure.value))

    def _update_gauge(self):
        self.context.meters.set_gauge("unconfirmed_jobs", len(self._jobs))
