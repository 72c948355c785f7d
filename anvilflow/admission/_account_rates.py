"""Jobs of client accounts, counted against their guaranteed rates."""

from ..shares import usable_weight

#: Time over which an account may send its jobs unevenly and stay within its rate. Unit: seconds.
BURST_S = 5.0

#: Time since its last job beyond the rate for which an account counts as exceeding it. Unit:
#: seconds.
EXCESS_S = 5.0

#: Time between two searches for accounts that need not be kept. Unit: seconds.
PRUNE_INTERVAL_S = 5.0


class AccountRates:
    """Counts jobs by account; each account may have its weight in jobs per second.

    Parameters
    ----------
    min_burst : float, default=2.0
        Number of jobs that an account with a low rate may send at once.

    Notes
    -----
    Rates that are not positive numbers are replaced, see :func:`anvilflow.shares.usable_weight`.
    Accounts that have all of their tokens are dropped: a new account has them, too.
    """

    def __init__(self, *, min_burst=2.0):
        self.min_burst = min_burst
        self._tokens = {}
        self._exceeded_at = {}
        self._pruned_at = float("-inf")

    def __len__(self):
        return len(self._tokens)

    def take(self, account, per_s, now):
        """Count a job of an account; return whether the job is within the account's rate.

        Parameters
        ----------
        account : str
        per_s : float
            Guaranteed rate. Unit: jobs per second.
        now : float
            Steady time. Unit: seconds.
        """
        self._prune(now)
        tokens = self._tokens_at(account, per_s, now)
        is_within = tokens >= 1.0
        self._tokens[account] = (tokens - is_within, now, per_s)
        if not is_within:
            self.note_exceeded(account, now)
        return is_within

    def note_exceeded(self, account, now):
        """Note that an account has sent a job beyond its rate."""
        self._exceeded_at[account] = now

    def allows(self, account, per_s, now):
        """Whether one more job of an account would be within its rate."""
        return self._tokens_at(account, per_s, now) >= 1.0

    def exceeding(self, now):
        """Return the names of the accounts that have sent jobs beyond their rates recently."""
        self._exceeded_at = {
            name: at for name, at in self._exceeded_at.items() if now - at <= EXCESS_S
        }
        return sorted(self._exceeded_at)

    def _tokens_at(self, account, per_s, now):
        rate = usable_weight(per_s)
        burst = self._burst(rate)
        tokens, at, _ = self._tokens.get(account, (burst, now, per_s))
        return min(burst, tokens + rate * max(0.0, now - at))

    def _burst(self, rate):
        return max(self.min_burst, BURST_S * rate)

    def _prune(self, now):
        if now - self._pruned_at < PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        self._tokens = {
            name: value
            for name, value in self._tokens.items()
            if self._tokens_at(name, value[2], now) < self._burst(usable_weight(value[2]))
        }
