"""Back-offs of single steps on one worker, where long-running tasks fail again and again."""

from msgspec import Struct

#: Back-off of a step on a worker after its second failure there in a row; doubles with each
#: further one, up to the maximum. A long-running task has to run again within 6 s of its last run.
#: Unit: seconds.
FIRST_STEP_BACKOFF_S = 0.5
MAX_STEP_BACKOFF_S = 4.0

#: Failures of a step on a worker at which its back-off there begins.
FAILURES_BEFORE_STEP_BACKOFF = 2

#: Time after the end of a back-off after which the failures are forgotten. Unit: seconds.
FORGET_S = 60.0


class _StepFailures(Struct):
    """Failures in a row of one step on a worker, and the end of its back-off there."""

    count: int = 0
    retry_at: float = 0.0


class StepBackoffs:
    """Failures of long-running steps on one worker since its last success.

    A service that is broken fails wherever it runs. Its failures hold back its own starts, not
    those of others: with one back-off for all starts on a worker, a task that failed at once on
    each of eight free workers let the jobs of others wait for up to 7 s.
    """

    __slots__ = ("_failures",)

    def __init__(self):
        self._failures = {}

    def holds(self, step_key, now):
        """Whether a step's starts on the worker wait for the end of its back-off."""
        failures = self._failures.get(step_key)
        return failures is not None and now < failures.retry_at

    def note_failure(self, step_key, now):
        """Count a failure of a step; return whether it is the step's first in a row here."""
        self._forget(now)
        failures = self._failures.setdefault(step_key, _StepFailures())
        failures.count += 1
        failures.retry_at = now
        if failures.count >= FAILURES_BEFORE_STEP_BACKOFF:
            n_doublings = failures.count - FAILURES_BEFORE_STEP_BACKOFF
            failures.retry_at += _backoff_s(n_doublings)
        return failures.count == 1

    def clear(self):
        """Forget all failures: a task has ended as done on the worker."""
        self._failures.clear()

    def _forget(self, now):
        for step_key, failures in list(self._failures.items()):
            if now > failures.retry_at + FORGET_S:
                del self._failures[step_key]


def _backoff_s(n_doublings):
    """Return the duration of a back-off. Unit: seconds.

    Examples
    --------
    >>> [_backoff_s(n_doublings) for n_doublings in (0, 1, 2, 3, 4, 5000)]
    [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    """
    backoff_s = FIRST_STEP_BACKOFF_S
    for _ in range(n_doublings):
        if backoff_s >= MAX_STEP_BACKOFF_S:
            break
        backoff_s *= 2
    return min(MAX_STEP_BACKOFF_S, backoff_s)
