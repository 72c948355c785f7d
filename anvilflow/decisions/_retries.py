"""Budget that prevents retries from amplifying an overload."""


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries allowed per first attempt, on average.
    burst : float, default=10.0
        Maximum number of tokens.

    Notes
    -----
    The same scheme as the retry budgets of Finagle and Envoy. A limit of retries per request
    multiplies the load of a failing cell by that limit. A budget adds at most `ratio` of the load.
    """

    __slots__ = ("_tokens", "burst", "ratio")

    def __init__(self, *, ratio=0.1, burst=10.0):
        self.ratio = ratio
        self.burst = burst
        self._tokens = burst

    @property
    def tokens(self):
        """Number of tokens left."""
        return self._tokens

    def earn(self):
        """Record a first attempt, which adds `ratio` tokens."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self):
        """Take one token for a retry; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
