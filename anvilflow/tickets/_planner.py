"""State of the requests that a leader holds: those in progress and the demand for short ones."""

from ._budget import CallerBudget
from ._in_progress import RequestsInProgress

#: Maximum number of short requests in progress for each instance that makes no long one. The second
#: is already there when the first ends; more would be answered out of the order of urgency.
MAX_SHORT_PER_INSTANCE = 2


class TicketPlanner:
    """Decides how many requests of each kind may be sent now.

    A new leader begins with an empty one: nothing that it holds is needed to be correct.
    `long_planned_at` is the time of the last decision on long requests.

    Parameters
    ----------
    now : float
        Unit: seconds.
    """

    __slots__ = ("_budget", "_requests", "long_planned_at", "n_long_allowed")

    def __init__(self, *, now):
        self._budget = CallerBudget(now=now)
        self._requests = RequestsInProgress()
        self.n_long_allowed = 0
        self.long_planned_at = float("-inf")

    def sent(self, key, *, duration_s, is_long, now):
        """Note a request for the step called `key`; return its number, from 1.

        Unit of `duration_s`: seconds.
        """
        if not is_long:
            self._budget.note_short_request(duration_s, now)
        return self._requests.sent(key, duration_s=duration_s, is_long=is_long, now=now)

    def answered(self, key, number=0):
        """Note that a request for a step was answered or failed: the oldest if `number` is 0."""
        self._requests.answered(key, number)

    def drop_overdue(self, now):
        """Drop the requests that are overdue; return the steps that may ask again."""
        return self._requests.drop_overdue(now)

    def n_free_short(self, n_callers, now):
        """Return how many short requests may be sent now.

        Instances that make long requests are not counted: short ones would wait there.
        """
        n_idle = max(1, n_callers - self._requests.count(is_long=True, now=now))
        n_short = self._requests.count(is_long=False, now=now)
        return max(0, MAX_SHORT_PER_INSTANCE * n_idle - n_short)

    def n_free_long(self, n_callers, now, *, initial_share, backlog_s):
        """Return how many long requests may be sent now; see :meth:`CallerBudget.n_long`."""
        self.n_long_allowed = self._budget.n_long(
            n_callers, now, initial_share=initial_share, backlog_s=backlog_s
        )
        return max(0, self.n_long_allowed - self._requests.count(is_long=True, now=now))
