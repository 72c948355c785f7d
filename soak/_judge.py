"""Checks what callers and workers saw against what the system promises."""

from collections import Counter, defaultdict

from anvilflow.standins import find_violations

from ._callers import ENDS

#: Time for which a cancelled job's tasks may still run and be started, after everything works
#: again: an entry without a leader leaves a mark that the leader finds. Unit: seconds.
CANCEL_S = 4.0

#: Crashed workers of one task from which on its job may be shown as failed.
MIN_CRASHES_TO_FAIL = 2

#: Maximum number of starts of a task after its third crash.
MAX_STARTS_AFTER_THIRD_CRASH = 2

#: Time after a capacity reduction during which starts may still use the old capacity: the contact
#: time, one heartbeat interval of the worker, and the longest fault of the store. Unit: seconds.
CAPACITY_DELAY_S = 8.5


class Judge:
    """Collects what is broken.

    Parameters
    ----------
    world : World

    Notes
    -----
    `calm_at` is the time at which the last fault ended.
    """

    def __init__(self, *, world):
        self.world = world
        self.over = False
        self.broken = []
        self.n_checked = 0
        self.calm_at = 0.0
        self._old_configs = set()

    def state_shown(self, call, before):
        """Check a state that a caller was told, and that one told `before` had not ended."""
        self.n_checked += 1
        if before in ENDS and call.shown != before:
            self.broken.append(f"{call.job_id} was shown as {before}, and is {call.shown}")
        if call.shown == "completed" and self._n_done(call) < call.n_tasks:
            self.broken.append(f"{call.job_id} is shown as completed, but not all is done")
        if call.shown == "cancelled" and not call.cancelled:
            self.broken.append(f"{call.job_id} is shown as cancelled, and nobody cancelled it")
        may_fail = call.how == "failed" or self._max_crashes_per_task(call) >= MIN_CRASHES_TO_FAIL
        if call.shown == "failed" and not may_fail:
            self.broken.append(f"{call.job_id} is shown as failed without cause")

    def job_denied(self, call):
        """Note that an accepted job was said not to exist."""
        self.broken.append(f"{call.job_id} was accepted and is denied")

    def old_config_used(self, name, path, version, age_s):
        """Note that an instance goes by an older version than the one acknowledged."""
        if (name, path) not in self._old_configs:
            self._old_configs.add((name, path))
            said = f"{name} does not go by version {version}, {age_s:.1f} s old: {path}"
            self.broken.append(said)

    def config_not_in_force(self, question, status, age_s):
        """Note an answer that only an older version allows, once an instance, path and status."""
        key = (question.name, question.path, status)
        if key not in self._old_configs:
            self._old_configs.add(key)
            self.broken.append(
                f"{question.name} answers {status} to {question.path} {age_s:.1f} s after "
                f"version {question.version}"
            )

    def went_back(self, name, path, version, status):
        """Note that a process goes by an older version than before."""
        self.broken.append(f"{name} answers {status} to {path}, and had version {version} before")

    def _is_start_too_late(self, call, span):
        if call.cancelled_at is None:
            return False
        return span.began_at > max(call.cancelled_at, self.calm_at) + CANCEL_S

    def _n_done(self, call):
        # What was untold at some time may have been told later, and then counts.
        tasks = {
            span.task
            for span in self.world.spans
            if span.how in ("done", "untold") and span.task.startswith(f"{call.job_id}.")
        }
        return len(tasks)

    def _max_crashes_per_task(self, call):
        """Return the maximum number of workers that crashed while running one task of a job."""
        crashed = Counter(
            span.task
            for span in self.world.spans
            if span.how in ("crash", "crashed") and span.task.startswith(f"{call.job_id}.")
        )
        return max(crashed.values(), default=0)

    def _find_excess_starts(self):
        """Return a message for each task that was started too often after its third crash."""
        broken = []
        crashed_at = defaultdict(list)
        for span in self.world.spans:
            if span.how == "crash":
                crashed_at[span.task].append(span.ended_at)
        for task, times in crashed_at.items():
            third_crash_at = times[2] if len(times) > 2 else float("inf")
            starts = [span for span in self.world.spans if span.task == task]
            n_starts = sum(span.began_at > third_crash_at for span in starts)
            if n_starts > MAX_STARTS_AFTER_THIRD_CRASH:
                broken.append(f"{task} was started {n_starts} times after its third crash")
        return broken

    def unfinished(self, calls):
        """Return the accepted jobs whose end has not been shown."""
        return [call for call in calls if call.accepted_at is not None and call.shown not in ENDS]

    def finish(self, calls):
        """Check everything at the end; return what is broken."""
        self.over = True
        for call in self.unfinished(calls):
            self.broken.append(f"{call.job_id} was accepted and has not ended: {call.shown}")
        known = {call.job_id: call for call in calls}
        for span in self.world.spans:
            call = known.get(span.task.split(".")[0])
            if call is None:
                self.broken.append(f"{span.task} was started, and nobody submitted it")
            elif call.accepted_at is None and not call.in_doubt:
                self.broken.append(f"{span.task} was started, and its job was refused")
            elif self._is_start_too_late(call, span):
                self.broken.append(f"{span.task} was started long after its job was cancelled")
            elif call.cancelled and span.ended_at is None:
                self.broken.append(f"{span.task} still runs, and its job was cancelled")
        self.broken += self._find_excess_starts()
        self.broken += find_violations(
            self.world.spans, self.world.workers, capacity_delay_s=CAPACITY_DELAY_S
        )
        return self.broken
