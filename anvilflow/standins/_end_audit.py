"""Audit of acknowledged ends: what a worker has dropped must be in the store by then."""

from ..cell._tables import ENDED, JOBS, PROGRESS, JobRow
from ..jobs import JobRecord
from ..utils import decode


class EndAudit:
    """Compares the ends that leaders acknowledge to workers with the log of the store.

    Parameters
    ----------
    store : MetadataStore

    Notes
    -----
    A violation is one of these:

    - an end `done` was acknowledged while the store counted neither its task as done nor its job
      as ended;
    - a later record of the job no longer counts the task as done;
    - progress of a job was recorded after its end.

    The last two show a leader that did not know what the store had. Ends of gangs, speculative or
    long-running steps, repeated jobs and jobs without a row are not judged, nor are ends listed
    before the worker's lease expired: their acknowledgement does not count any more.
    """

    def __init__(self, *, store):
        self.store = store
        self._n_entries_read = 0
        self._job_rows = {}
        self._progress = {}
        self._ended_jobs = set()
        self._stored_tasks = {}
        self._violations = []

    def violations(self):
        """Return a text for each violation found so far."""
        self._read_log()
        return list(self._violations)

    def ends_dropped(self, worker, ends):
        """Judge the ends that a worker drops because a leader has acknowledged them.

        Parameters
        ----------
        worker : PlatformWorker
        ends : list of list
            Entries of the worker's `finished`.
        """
        self._read_log()
        for _, task, run_id, how, _ in ends:
            if how == "done" and (task, run_id) not in worker.unacknowledged_ends:
                self._judge(worker, task, run_id)

    def _judge(self, worker, task, run_id):
        job_id, occurrence, step, index = task.split(".")
        if job_id in self._ended_jobs or not self._is_judged(job_id, int(step)):
            return
        place = f"{occurrence}.{step}", int(index)
        if _is_done(self._progress.get(job_id), *place):
            self._stored_tasks.setdefault(job_id, set()).add(place)
        else:
            run = f"{task} run {run_id} on {worker.worker_id}"
            self._note(f"{run} is acknowledged and not in the store")

    def _is_judged(self, job_id, step):
        body = self._job_rows.get(job_id)
        if body is None:
            return False
        spec = decode(body, JobRow).spec
        if spec.n_occurrences:
            return False
        rules = spec.steps[step]
        return not (rules.gang or rules.speculative or rules.long_running)

    def _read_log(self):
        """Follow the store's log to its end."""
        log = self.store.log
        while self._n_entries_read < len(log):
            _, _, table, _, key, value = log[self._n_entries_read]
            self._n_entries_read += 1
            if value is None:
                continue
            if table == JOBS:
                # Later writes of the row shorten it.
                self._job_rows.setdefault(key, value)
            elif table == PROGRESS:
                self._progress_written(key, value)
            elif table == ENDED:
                self._ended_jobs.add(key)

    def _progress_written(self, job_id, body):
        if job_id in self._ended_jobs:
            self._note(f"progress of {job_id} is recorded after its end")
        record = self._progress[job_id] = decode(body, JobRecord)
        tasks = self._stored_tasks.get(job_id, set())
        for key, index in sorted(tasks):
            if not _is_done(record, key, index):
                tasks.discard((key, index))
                self._note(f"{job_id}.{key}.{index} was stored and is missing from a later record")

    def _note(self, text):
        self._violations.append(f"{text}, at {self.store.clock.seconds():.3f}")


def _is_done(record, key, index):
    """Whether a job's record counts a task of the step `key` as done."""
    if record is None:
        return False
    return key in record.done_steps or index in record.done_tasks.get(key, ())
