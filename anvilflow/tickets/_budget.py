"""Division of the instances that make advice requests between short and long ones."""

from math import ceil, exp, sqrt

#: Windows over which the demand for short requests is averaged; the larger result counts. The first
#: follows a burst before the long requests in progress have ended, the second keeps callers free
#: between the bursts of irregular clients. Unit: seconds.
WINDOWS_S = (1.0, 10.0)

#: Standard deviations of the number of short requests in progress for which callers are kept free,
#: in addition to their mean. With two, the mean wait stays below the duration of one request while
#: the demand doubles, as it does before long requests in progress have ended.
N_DEVIATIONS = 2.0

#: Number of short requests in progress, on average, below which no caller is kept free. Short
#: requests then come so rarely that the next caller to become free serves them.
MIN_DEMAND = 0.02

#: Time without measurements at a new leader, during which a fixed share applies. Unit: seconds.
WARM_UP_S = 2.0

#: Time within which deferred short requests should all have been sent. The callers of quick steps
#: expect the step's first start after a quarter of a second. Unit: seconds.
BACKLOG_S = 0.1

#: Share of the callers that may make long requests whatever the demand for short ones, so that less
#: urgent work does not stop altogether.
MIN_LONG_SHARE = 0.25


class CallerBudget:
    """Decides how many instances may make long requests at the same time.

    As many are kept free as the measured demand for short requests needs: its mean, which is the
    arrival rate times the duration, and a margin for bursts.

    Parameters
    ----------
    now : float
        Time at which the measurement begins. Unit: seconds.

    Examples
    --------
    >>> budget = CallerBudget(now=0.0)
    >>> budget.n_long(10, now=1.0, initial_share=0.6)
    6
    >>> budget.n_long(10, now=3.0, initial_share=0.6)
    10
    """

    __slots__ = ("_began_at", "_demands", "_noted_at")

    def __init__(self, *, now):
        self._began_at = now
        self._noted_at = now
        self._demands = [0.0 for _ in WINDOWS_S]

    def note_short_request(self, duration_s, now):
        """Count a short request that is sent. Unit of `duration_s`: seconds."""
        self._decay(now)
        for index, window_s in enumerate(WINDOWS_S):
            self._demands[index] += duration_s / window_s

    def demand(self, now):
        """Return the number of short requests that are in progress on average."""
        self._decay(now)
        return max(self._demands)

    def n_long(self, n_callers, now, *, initial_share, backlog_s=0.0):
        """Return how many of the callers may make long requests.

        Parameters
        ----------
        n_callers : int
            Instances that answer.
        now : float
        initial_share : float
            Share of the callers that may make long requests before the demand is measured.
        backlog_s : float, default=0
            Total duration of the short requests that wait for a caller. Unit: seconds.
        """
        if now - self._began_at < WARM_UP_S:
            return max(1, min(n_callers, int(initial_share * n_callers)))
        demand = self.demand(now) + backlog_s / BACKLOG_S
        if demand < MIN_DEMAND:
            return max(1, n_callers)
        n_kept = ceil(demand + N_DEVIATIONS * sqrt(demand))
        return max(1, int(MIN_LONG_SHARE * n_callers), n_callers - n_kept)

    def _decay(self, now):
        elapsed_s = max(0.0, now - self._noted_at)
        self._noted_at = max(now, self._noted_at)
        for index, window_s in enumerate(WINDOWS_S):
            self._demands[index] *= exp(-elapsed_s / window_s)
