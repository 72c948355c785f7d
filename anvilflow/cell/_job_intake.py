"""Intake of stored and newly accepted jobs by the leader."""

from enum import StrEnum

from ..exceptions import PlatformError
from ..jobs import EndedJob, JobRecord, JobState
from ..platform import JOB_ID
from ..utils import decode
from ._job_store import decode_ended_job
from ._tables import CANCEL_MARK, JobRow

#: Time after the end of a job after which all its runs have certainly ended: a lease, the time that
#: a stop takes, and a difference between the clocks of two leaders. Unit: seconds.
MAX_LEFTOVER_S = 15.0


class JobSource(StrEnum):
    """How the leader learned of a job."""

    TABLES = "tables"
    FEED = "feed"
    REPORT = "report"
    SUBMIT = "submit"


class JobIntake:
    """Passes accepted jobs and cancel marks to the scheduler.

    Parameters
    ----------
    context : CellContext
    log : Logger
    scheduler : Scheduler
    garbage_collector : GarbageCollector
    relay_dispatcher : RelayDispatcher
        Is notified which gateway keeps the payload of each job.

    Notes
    -----
    A gateway's report of an accepted job may arrive long after the job has ended and its rows were
    removed. The store's versions tell such a report from news: rows are removed only after the
    job's end is durable, and the leader knows every job whose row was in the table when it read
    the table. Therefore a job that it does not know is over if the reported row is older than that
    read.
    """

    def __init__(self, *, context, log, scheduler, garbage_collector, relay_dispatcher):
        self.context = context
        self.log = log
        self.scheduler = scheduler
        self.garbage_collector = garbage_collector
        self.relay_dispatcher = relay_dispatcher
        self._version = 0
        self._read_version = 0
        self._removal_versions = {}
        self._unreadable_job_ids = set()

    @property
    def version(self):
        """Newest version of the jobs table that this leader has seen."""
        return self._version

    @property
    def read_version(self):
        """Version through which this leader has read the jobs table."""
        return self._read_version

    def table_read(self, version):
        """Note that the jobs table has been read through `version`."""
        self._read_version = max(self._read_version, version)
        self._removal_versions = {
            job_id: removed_at
            for job_id, removed_at in self._removal_versions.items()
            if removed_at > self._read_version
        }
        self._advance_version(version)

    def rows_removed(self, job_ids, version):
        """Note that the transaction `version` has removed the rows of these ended jobs."""
        self._removal_versions.update(dict.fromkeys(job_ids, version))

    def _advance_version(self, version):
        self._version = max(self._version, version)

    def _now(self):
        return self.context.clock.seconds()

    def load_state(self, state):
        """Add the stored jobs when a leader begins; return the stops of cancelled jobs.

        Parameters
        ----------
        state : StoredState
        """
        self.table_read(state.jobs_version)
        progress = {row.key: self._decode_row(row, JobRecord) for row in state.progress}
        for row in state.ended:
            value = self._decode_row(row, EndedJob)
            if value is not None:
                self.scheduler.drop_job(
                    row.key, JobState(value.state), self._now(), owner=value.account
                )
                self.garbage_collector.add(row.key, value.ended_at)
                if self.context.wall_clock() - value.ended_at < MAX_LEFTOVER_S:
                    self.scheduler.usage.add_leftover(value.account, value.held)
        marks = [row for row in state.jobs if row.key.endswith(CANCEL_MARK)]
        for row in state.jobs:
            if not row.key.endswith(CANCEL_MARK):
                self._add_row(row, progress.get(row.key), JobSource.TABLES)
        return [action for row in marks for action in self.process_row(row)]

    def process_row(self, row):
        """Process a row that is new since the leader began; return the stops of a cancelled job."""
        if row.value is None:
            return []
        if not row.key.endswith(CANCEL_MARK):
            self._add_row(row, None, JobSource.FEED)
            return []
        job_id = row.key.removesuffix(CANCEL_MARK)
        if job_id not in self.scheduler.jobs:
            return []
        self.log.info("job cancelled by an entry", job=job_id)
        return self.scheduler.cancel_job(job_id, self._now())

    def _decode_row(self, row, value_type):
        """Return a row's decoded value, or None if it cannot be decoded.

        The job of such a row is not run: without the row's content, tasks that are already done
        could run again. An exception here would stop each successive leader on the same row.
        """
        try:
            if not JOB_ID.match(row.key):
                raise PlatformError(f"the key is not a job's id: {row.key[:80]!r}")
            if value_type is EndedJob:
                return decode_ended_job(row.value)
            value = decode(row.value, value_type, error=PlatformError)
            if value_type is JobRow and value.spec.job_id != row.key:
                raise PlatformError(f"the row is that of job {value.spec.job_id[:80]!r}")
        except PlatformError as exc:
            self._note_unreadable(row, exc)
            return None
        return value

    def _note_unreadable(self, row, error):
        self._unreadable_job_ids.add(row.key)
        self.log.warning("row not understood", table=row.table, job=row.key, error=str(error))

    def _is_removed(self, job_id, version):
        """Whether a row of an unknown job has been removed since it was written at `version`."""
        return version <= max(self._read_version, self._removal_versions.get(job_id, 0))

    def add_reported(self, value, version, source):
        """Add a job by a gateway's report or after a submit; return whether its row still exists.

        Parameters
        ----------
        value : JobRow
        version : int
            Version that the store gave the job's row when it was written.
        source : JobSource
        """
        job_id = value.spec.job_id
        if not self.scheduler.has_job(job_id) and self._is_removed(job_id, version):
            self.context.meters.count("late_reports")
            self.log.info(
                "report of a removed job",
                job=job_id,
                version=version,
                source=source,
                read_version=self._read_version,
            )
            return False
        self._add(value, version, source)
        return True

    def _add_row(self, row, record, source):
        if self.scheduler.has_job(row.key):
            # Most rows that a new leader reads belong to jobs that have ended.
            self._advance_version(row.version)
            return
        if row.version <= self._removal_versions.get(row.key, 0):
            # The read began before the row was removed.
            return
        is_unreadable = row.key in self._unreadable_job_ids
        value = None if is_unreadable else self._decode_row(row, JobRow)
        if value is not None and record is not None and not record.fits(value.spec):
            self._note_unreadable(row, "the record of its progress is that of another job")
            value = None
        if value is None:
            self._advance_version(row.version)
            return
        self._add(value, row.version, source, record)

    def _add(self, value, version, source, record=None):
        """Add a job to the scheduler, unless the scheduler has it already."""
        self._advance_version(version)
        added = self.scheduler.add_job(
            value.spec,
            value.queue,
            version=version,
            now=self._now(),
            wall_now=self.context.wall_clock(),
            record=record,
            config_version=value.config_version,
            account=value.account,
        )
        if added:
            self.relay_dispatcher.note_gateway(value.spec.job_id, value.entry)
            self.log.info(
                "job taken on",
                job=value.spec.job_id,
                queue=value.queue.name,
                account=value.owner,
                version=version,
                source=source,
                read_version=self._read_version,
                inherited=self.scheduler.jobs[value.spec.job_id].inherited,
                tasks=sum(step.n_tasks for step in value.spec.steps),
            )
