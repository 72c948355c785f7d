"""Standby tables: replicas of the leader's tables, kept by the instances next in succession."""

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, RevisionGoneError
from ..platform import REGISTRY_TABLE
from ..runtime import Part
from ._job_store import read_jobs
from ._leader_eligibility import can_lead
from ._leader_state import StoredState, find_missing, gather, max_concurrent_reads
from ._tables import ENDED, JOBS, PART, PROGRESS

#: Number of successors that follow the tables: the next leader, and the one after it.
N_STANDBYS = 2

#: Pause between reads of the tables' changes. Unit: seconds.
FOLLOW_S = 0.5

#: Pause between the checks on whether to follow, on an instance whose link and processor allow it
#: to load quickly: only a reload of the settings changes that. Unit: seconds.
IDLE_FOLLOW_S = 5.0

#: Time for which an instance that is no longer a successor keeps the tables: between two leaders no
#: order of succession is known. Unit: seconds.
RETENTION_S = 5.0

_TABLES = (JOBS, PROGRESS, ENDED, REGISTRY_TABLE)


class _Table:
    """Rows of a table as of `version`, which is None until the table has been read."""

    __slots__ = ("rows", "version")

    def __init__(self):
        self.rows = {}
        self.version = None

    def replace(self, rows, version):
        """Replace all rows by those of a complete read."""
        self.rows = {(row.part, row.key): row for row in rows}
        self.version = version

    def apply_changes(self, rows, version):
        """Apply the changes up to a version; ignore them if a later version has been applied."""
        if version < self.version:
            return
        for row in rows:
            if row.value is None:
                self.rows.pop((row.part, row.key), None)
            else:
                self.rows[row.part, row.key] = row
        self.version = version


class StandbyTablesPart(Part):
    """Replicates the tables that a new leader reads, while this instance is a successor.

    Over a narrow link, or with little CPU capacity, a new leader took seconds to read the tables.
    Meanwhile leases ended, and callers were refused. With standby tables only the changes since the
    last read are read after a claim. The claim fences the former leader, so that none of its
    records is applied later.
    """

    prefix = "warm"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._tables = {}
        self._last_followed_at = float("-inf")

    def start(self):
        """Start to follow the tables whenever this instance is one of the next successors."""
        self.context.standby_tables = self
        self.every(self._period_s, self._follow)

    def stop(self):
        """Withdraw the tables from the context."""
        self.context.standby_tables = None
        super().stop()

    @property
    def is_complete(self):
        """Whether all tables have been read."""
        return len(self._tables) == len(_TABLES)

    def _can_load_fast(self):
        settings = self.context.settings
        return can_lead(settings.link_mbps, settings.cpu_milli)

    def _period_s(self):
        return IDLE_FOLLOW_S if self._can_load_fast() else FOLLOW_S

    def _should_follow(self):
        context = self.context
        if self._can_load_fast() or context.leader is not None:
            return False
        return context.name in context.successors[:N_STANDBYS]

    @inlineCallbacks
    def _follow(self):
        if not self._should_follow():
            if self.now - self._last_followed_at > RETENTION_S:
                self._tables = {}
            return
        self._last_followed_at = self.now
        if self.context.store_health.is_failing:
            return
        try:
            if self.is_complete:
                yield self._catch_up(self._tables)
            else:
                yield self._read()
        except RevisionGoneError:
            self._tables = {}
        except PlatformError as exc:
            self.log.info("tables not followed", error=str(exc))

    @inlineCallbacks
    def _read(self):
        """Read all tables, one after another, as this is not urgent."""
        store = self.context.store
        tables = {}
        for name in _TABLES:
            table = tables[name] = _Table()
            if name == JOBS:
                rows, version = yield read_jobs(store, 1)
            else:
                part = "" if name == REGISTRY_TABLE else PART
                rows, version = yield store.read(name, part)
            table.replace(rows, version)
        self._tables = tables
        self.log.info("tables followed", rows=sum(len(table.rows) for table in tables.values()))

    @inlineCallbacks
    def _catch_up(self, tables):
        reads = [
            lambda name=name, table=table: self.context.store.follow(
                name, table.version, wait_s=0.0
            )
            for name, table in tables.items()
        ]
        changes = yield gather(reads, max_concurrent_reads(self.context.settings.link_mbps, 0))
        for table, (rows, version) in zip(tables.values(), changes, strict=True):
            table.apply_changes(rows, version)

    @inlineCallbacks
    def state(self, former):
        """Return the current :class:`StoredState`, or None if the tables are not complete.

        Parameters
        ----------
        former : LeaderRow or None
            As in :func:`read_state`.
        """
        if not self.is_complete:
            return None
        # A concurrent read of the changes may withdraw the tables, if it finds the history lost.
        tables = self._tables
        try:
            yield self._catch_up(tables)
            workers = list(tables[REGISTRY_TABLE].rows.values())
            workers_version = tables[REGISTRY_TABLE].version
            missing = yield find_missing(self.context.store, former, workers)
        except RevisionGoneError:
            self._tables = {}
            return None
        rows = {name: list(table.rows.values()) for name, table in tables.items()}
        return StoredState(
            jobs=rows[JOBS],
            jobs_version=tables[JOBS].version,
            progress=rows[PROGRESS],
            ended=rows[ENDED],
            records_version=min(tables[PROGRESS].version, tables[ENDED].version),
            workers=workers,
            workers_version=workers_version,
            missing=missing,
        )
