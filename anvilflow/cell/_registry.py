"""Decoding of the entries in the workers' registry."""

from ..exceptions import PlatformError
from ..platform import can_be_worker_id, decode_worker

#: Longest part of a text of an entry in the log. Unit: characters.
MAX_LOGGED_TEXT = 200


def names_worker(row):
    """Whether an entry can be decoded as that of a worker, of any service.

    An entry whose decoding raises an unexpected error may be that of a worker with tasks.
    """
    try:
        decode_worker(row.key, row.value)
    except PlatformError:
        return False
    except Exception:
        return True
    return True


class Registry:
    """Decodes registry entries and sets aside those that name no worker.

    Other programs write to the registry, too: fields are missing or of another type, or the bytes
    cannot be decoded. Treated like a worker, such an entry would make a new leader wait for leases
    that no worker has.

    Parameters
    ----------
    log : Logger
    scheduler : Scheduler
    faults : FaultIsolation
    """

    def __init__(self, *, log, scheduler, faults):
        self.log = log
        self.faults = faults
        self.scheduler = scheduler
        self._ignored_rows = {}
        self._invalid_start_times = set()

    @property
    def ignored_rows(self):
        """Entries that name no worker, to be read again when the configuration changes."""
        return list(self._ignored_rows.values())

    def read(self, row):
        """Return the :class:`WorkerInfo` of an entry, or None if the entry names no worker."""
        try:
            info, error = self.faults.decode_entry(row)
        except PlatformError as exc:
            return self._ignore(row, str(exc))
        self.log_start_time(row.key, error)
        if not self._is_used(info):
            return self._ignore(row, f"no queue has the service {info.service!r}")
        if self._ignored_rows.pop(row.key, None) is not None:
            self.log.info("worker's entry understood again", worker=row.key)
        return info

    def log_start_time(self, key, error):
        """Log that an entry's start time cannot be used, once until it can; None: it can."""
        if error is None:
            self._invalid_start_times.discard(key)
        elif key not in self._invalid_start_times:
            self._invalid_start_times.add(key)
            self.log.warning("worker's start time not understood", worker=key, error=str(error))

    def removed(self, key):
        """Note that an entry has been removed."""
        self._ignored_rows.pop(key, None)
        self._invalid_start_times.discard(key)
        self.scheduler.nameless.discard(key)

    def _is_used(self, info):
        """Whether tasks may run on a worker.

        Tasks of a removed queue run to their end, also where their job's queue has another service
        by now. A leader that ignored the workers of the former service would start these tasks a
        second time.
        """
        scheduler = self.scheduler
        if scheduler.config is None or scheduler.config.has_service(info.service):
            return True
        if info.registry_id in scheduler.grace_period.missing:
            return True
        return any(job.queue.service == info.service for job in scheduler.jobs.values())

    def _ignore(self, row, why):
        # Logged once per entry: the other program may write it again each second.
        if row.key not in self._ignored_rows:
            self.log.warning(
                "worker's entry not understood",
                worker=row.key[:MAX_LOGGED_TEXT],
                error=why[:MAX_LOGGED_TEXT],
            )
        self._ignored_rows[row.key] = row
        if can_be_worker_id(row.key) and self.scheduler.find_incarnation(row.key) is None:
            self.scheduler.nameless.add(row.key)
        return None
