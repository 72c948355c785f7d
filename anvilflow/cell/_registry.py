"""What a leader makes of the entries in the workers' registry."""

from ..exceptions import PlatformError
from ..platform import decode_worker


def is_worker_entry(row, config):
    """Whether an entry can be read and is of a service that is configured.

    Parameters
    ----------
    row : Row
    config : CellConfig or None
        None: any service may be.
    """
    if row.value is None:
        return False
    try:
        info = decode_worker(row.key, row.value)
    except PlatformError:
        return False
    return config is None or config.has_service(info.service)


class Registry:
    """Reads entries; puts those aside that name no worker.

    Other programs write there, too: fields are missing or of another type, or the bytes cannot be
    read. Held like a worker, such an entry would keep a new leader waiting for the leases of
    nobody.

    Parameters
    ----------
    log : Logger
    scheduler : Scheduler
    """

    def __init__(self, *, log, scheduler):
        self.log = log
        self.scheduler = scheduler
        self._aside = {}

    @property
    def rows_aside(self):
        """The entries that name no worker, to be read again when the configuration changes."""
        return list(self._aside.values())

    def read(self, row):
        """Return the :class:`WorkerInfo` of an entry, or None when it names no worker."""
        try:
            info = decode_worker(row.key, row.value)
        except PlatformError as exc:
            return self._put_aside(row, str(exc))
        if not self._is_used(info.service):
            return self._put_aside(row, f"no queue has the service {info.service!r}")
        if self._aside.pop(row.key, None) is not None:
            self.log.info("worker's entry understood again", worker=row.key)
        return info

    def removed(self, key):
        """Note that an entry is gone."""
        self._aside.pop(key, None)
        self.scheduler.nameless.discard(key)

    def _is_used(self, service):
        """Whether tasks may run on a worker of the service: of a removed queue they run to the end.

        What such a queue has running would be started twice by a leader that did not look.
        """
        scheduler = self.scheduler
        if scheduler.config is None or scheduler.config.has_service(service):
            return True
        return any(job.queue.service == service for job in scheduler.jobs.values())

    def _put_aside(self, row, why):
        # Once: the other writer may repeat it each second.
        if row.key not in self._aside:
            self.log.warning("worker's entry not understood", worker=row.key, error=why)
        self._aside[row.key] = row
        if row.key not in self.scheduler.workers:
            self.scheduler.nameless.add(row.key)
        return None
