"""Check of the states shown to callers and the runs on workers against the invariants."""

from collections import Counter, defaultdict

from anvilflow.standins import find_violations

from ._callers import END_STATES

#: Time after a cancellation, and after the last fault, during which tasks of the job may still be
#: started and run: a gateway without contact to the leader stores a mark that the leader reads
#: later. Unit: seconds.
CANCEL_GRACE_S = 4.0

#: Minimum number of workers crashed by one task for its job to be shown as failed.
MIN_CRASHES_TO_FAIL = 2

#: Maximum number of starts of a task after its third crash.
MAX_STARTS_AFTER_THIRD_CRASH = 2

#: Time after a capacity reduction during which starts may still use the old capacity: the contact
#: time, one heartbeat interval of the worker, and the longest fault of the store. Unit: seconds.
CAPACITY_DELAY_S = 8.5


class InvariantChecker:
    """Collects violations of the invariants.

    Parameters
    ----------
    environment : Environment

    Notes
    -----
    `faults_ended_at` is the time at which the last fault ended. `is_over` is set at the end of the
    soak: callers then stop polling.
    """

    def __init__(self, *, environment):
        self.environment = environment
        self.is_over = False
        self.violations = []
        self.n_checked = 0
        self.faults_ended_at = 0.0
        self._old_configs = set()

    def state_shown(self, call, before):
        """Check a state shown to a caller; a final state shown `before` must not have changed."""
        self.n_checked += 1
        if before in END_STATES and call.shown != before:
            self.violations.append(f"{call.job_id} was shown as {before}, and is {call.shown}")
        if call.shown == "completed" and self._n_done(call) < call.n_tasks:
            self.violations.append(f"{call.job_id} is shown as completed, but not all is done")
        if call.shown == "cancelled" and not call.cancelled:
            self.violations.append(f"{call.job_id} is shown as cancelled, and nobody cancelled it")
        may_fail = call.how == "failed" or self._max_crashes_per_task(call) >= MIN_CRASHES_TO_FAIL
        if call.shown == "failed" and not may_fail:
            self.violations.append(f"{call.job_id} is shown as failed without cause")

    def job_not_found(self, call):
        """Record that an instance answered that an accepted job does not exist."""
        self.violations.append(f"{call.job_id} was accepted and is denied")

    def old_config_used(self, name, path, version, age_s):
        """Record that an instance uses an older version than the acknowledged one."""
        if (name, path) not in self._old_configs:
            self._old_configs.add((name, path))
            message = f"{name} does not go by version {version}, {age_s:.1f} s old: {path}"
            self.violations.append(message)

    def config_not_in_force(self, config_query, status, age_s):
        """Record an answer that only an older version allows; once per instance, path, status."""
        key = (config_query.name, config_query.path, status)
        if key not in self._old_configs:
            self._old_configs.add(key)
            self.violations.append(
                f"{config_query.name} answers {status} to {config_query.path} {age_s:.1f} s after "
                f"version {config_query.version}"
            )

    def version_regressed(self, name, path, version, status):
        """Record that a process uses an older version than it did before."""
        self.violations.append(
            f"{name} answers {status} to {path}, and had version {version} before"
        )

    def _is_start_too_late(self, call, span):
        if call.cancelled_at is None:
            return False
        return span.began_at > max(call.cancelled_at, self.faults_ended_at) + CANCEL_GRACE_S

    def _n_done(self, call):
        # An end that was once unacknowledged may have been reported later, and counts then.
        tasks = {
            span.task
            for span in self.environment.spans
            if span.how in ("done", "untold") and span.task.startswith(f"{call.job_id}.")
        }
        return len(tasks)

    def _max_crashes_per_task(self, call):
        """Return the maximum number of workers that crashed while running one task of a job."""
        crashed = Counter(
            span.task
            for span in self.environment.spans
            if span.how in ("crash", "crashed") and span.task.startswith(f"{call.job_id}.")
        )
        return max(crashed.values(), default=0)

    def _find_excess_starts(self):
        """Return a message for each task that was started too often after its third crash."""
        violations = []
        crashed_at = defaultdict(list)
        for span in self.environment.spans:
            if span.how == "crash":
                crashed_at[span.task].append(span.ended_at)
        for task, times in crashed_at.items():
            third_crash_at = times[2] if len(times) > 2 else float("inf")
            starts = [span for span in self.environment.spans if span.task == task]
            n_starts = sum(span.began_at > third_crash_at for span in starts)
            if n_starts > MAX_STARTS_AFTER_THIRD_CRASH:
                violations.append(f"{task} was started {n_starts} times after its third crash")
        return violations

    def unfinished(self, calls):
        """Return the accepted jobs that have not been shown in a final state."""
        return [
            call for call in calls if call.accepted_at is not None and call.shown not in END_STATES
        ]

    def finish(self, calls):
        """Check all jobs and runs at the end of the soak; return all violations."""
        self.is_over = True
        for call in self.unfinished(calls):
            self.violations.append(f"{call.job_id} was accepted and has not ended: {call.shown}")
        known = {call.job_id: call for call in calls}
        for span in self.environment.spans:
            call = known.get(span.task.split(".")[0])
            if call is None:
                self.violations.append(f"{span.task} was started, and nobody submitted it")
            elif call.accepted_at is None and not call.in_doubt:
                self.violations.append(f"{span.task} was started, and its job was refused")
            elif self._is_start_too_late(call, span):
                self.violations.append(f"{span.task} was started long after its job was cancelled")
            elif call.cancelled and span.ended_at is None:
                self.violations.append(f"{span.task} still runs, and its job was cancelled")
        self.violations += self._find_excess_starts()
        self.violations += self.environment.end_audit.violations()
        self.violations += find_violations(
            self.environment.spans,
            self.environment.all_workers(),
            capacity_delay_s=CAPACITY_DELAY_S,
        )
        return self.violations
