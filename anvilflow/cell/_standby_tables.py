"""Tables of the cell, followed by the instances that come next as its leader."""

from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, RevisionGoneError
from ..platform import REGISTRY_TABLE
from ..runtime import Part
from ._job_store import read_jobs
from ._leader_eligibility import can_lead
from ._leader_state import StoredState, find_missing, gather, max_concurrent_reads
from ._registry import is_worker_entry
from ._tables import ENDED, JOBS, PART, PROGRESS

#: Successors that follow the tables: the next leader, and the one after it.
N_STANDBYS = 2

#: Pause between readings of what has changed. Unit: seconds.
PERIOD_S = 0.5

#: Pause between looks at whether to follow where link and processor have room: only settings that
#: are read anew change that. Unit: seconds.
IDLE_PERIOD_S = 5.0

#: Time for which the tables are kept by an instance that is no successor any more: between two
#: leaders there is no order. Unit: seconds.
KEPT_S = 5.0

_TABLES = (JOBS, PROGRESS, ENDED, REGISTRY_TABLE)


class _Table:
    """Rows of a table as of a version; nothing while it has not been read."""

    __slots__ = ("rows", "version")

    def __init__(self):
        self.rows = {}
        self.version = None

    def read(self, rows, version):
        """Take the whole table."""
        self.rows = {(row.part, row.key): row for row in rows}
        self.version = version

    def changed(self, rows, version):
        """Take the changes up to a version; an answer that is overtaken by a later one is old."""
        if version < self.version:
            return
        for row in rows:
            if row.value is None:
                self.rows.pop((row.part, row.key), None)
            else:
                self.rows[row.part, row.key] = row
        self.version = version


class StandbyTablesPart(Part):
    """Follows the tables that a leader reads when it begins, while this instance is a successor.

    Over a narrow link, and with little processor, a new leader read them for seconds. Leases ended
    meanwhile, and callers were refused. After a claim only what has changed since is read; the
    claim fences the former leader, so that nothing of its records comes later.
    """

    prefix = "warm"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._tables = {}
        self._wanted_at = float("-inf")

    def start(self):
        """Follow the tables whenever this instance is one of the next leaders."""
        self.context.standby_tables = self
        self.every(self._period_s, self._follow)

    def stop(self):
        """Forget them."""
        self.context.standby_tables = None
        super().stop()

    @property
    def is_complete(self):
        """Whether all tables have been read."""
        return len(self._tables) == len(_TABLES)

    def _has_room(self):
        settings = self.context.settings
        return can_lead(settings.link_mbps, settings.cpu_milli)

    def _period_s(self):
        return IDLE_PERIOD_S if self._has_room() else PERIOD_S

    def _is_wanted(self):
        context = self.context
        if self._has_room() or context.leader is not None:
            return False
        return context.name in context.successors[:N_STANDBYS]

    @inlineCallbacks
    def _follow(self):
        if not self._is_wanted():
            if self.now - self._wanted_at > KEPT_S:
                self._tables = {}
            return
        self._wanted_at = self.now
        if self.context.store_health.is_bad:
            return
        try:
            if self.is_complete:
                yield self._catch_up()
            else:
                yield self._read()
        except RevisionGoneError:
            self._tables = {}
        except PlatformError as exc:
            self.log.info("tables not followed", error=str(exc))

    @inlineCallbacks
    def _read(self):
        """Read all tables, one after the other: this is in no hurry."""
        store = self.context.store
        tables = {}
        for name in _TABLES:
            table = tables[name] = _Table()
            if name == JOBS:
                rows, version = yield read_jobs(store, 1)
            else:
                part = "" if name == REGISTRY_TABLE else PART
                rows, version = yield store.read(name, part)
            table.read(rows, version)
        self._tables = tables
        self.log.info("tables followed", rows=sum(len(table.rows) for table in tables.values()))

    @inlineCallbacks
    def _catch_up(self):
        tables = dict(self._tables)
        reads = [
            lambda name=name, table=table: self.context.store.follow(
                name, table.version, wait_s=0.0
            )
            for name, table in tables.items()
        ]
        changes = yield gather(reads, max_concurrent_reads(self.context.settings.link_mbps, 0))
        for table, (rows, version) in zip(tables.values(), changes, strict=True):
            table.changed(rows, version)

    @inlineCallbacks
    def state(self, former, config):
        """Return the :class:`StoredState` as it is now, or None where the tables are not followed.

        Parameters
        ----------
        former : LeaderRow or None
        config : CellConfig or None
            As in :func:`read_state`.
        """
        if not self.is_complete:
            return None
        try:
            yield self._catch_up()
            missing = yield find_missing(self.context.store, former, config)
        except RevisionGoneError:
            self._tables = {}
            return None
        rows = {name: list(table.rows.values()) for name, table in self._tables.items()}
        workers = rows[REGISTRY_TABLE]
        if missing is not None:
            missing -= {row.key for row in workers if is_worker_entry(row, config)}
        return StoredState(
            jobs=rows[JOBS],
            jobs_version=self._tables[JOBS].version,
            progress=rows[PROGRESS],
            ended=rows[ENDED],
            workers=workers,
            workers_version=self._tables[REGISTRY_TABLE].version,
            missing=missing,
        )
