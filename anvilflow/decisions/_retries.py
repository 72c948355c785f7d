"""A budget that keeps retries from amplifying an overload."""


class RetryBudget:
    """Tokens that first attempts earn and retries spend.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries allowed per first attempt, in the long run.
    burst : float, default=10.0
        Most tokens that are kept.

    Notes
    -----
    The scheme of Finagle's and Envoy's retry budgets. Retries limited per request multiply the
    load of a failing cell by the limit; limited by a budget they add `ratio` of it at most.
    """

    __slots__ = ("_tokens", "burst", "ratio")

    def __init__(self, *, ratio=0.1, burst=10.0):
        self.ratio = ratio
        self.burst = burst
        self._tokens = burst

    @property
    def tokens(self):
        """Tokens left."""
        return self._tokens

    def earn(self):
        """Note a first attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self):
        """Take a token for a retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
