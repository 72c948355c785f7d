"""Guaranteed rates of client accounts, and the weighted order of what exceeds them."""

from math import isfinite

from msgspec import Struct

#: Weight of an account whose configured weight is not a positive number, and the largest weight
#: that is used. Unit: jobs per second.
DEFAULT_WEIGHT = 1.0
MAX_WEIGHT = 1e6

#: Time for which an account can save up its rate, and least number of jobs that it can save up.
#: A caller that sends at random times, and on average half its rate, must hardly ever exceed it.
#: Units: seconds, jobs.
DEPTH_S = 2.0
MIN_DEPTH = 4.0


class UnusableWeight(Struct, kw_only=True, frozen=True):
    """A weight that is not a positive number, and the one used instead.

    Parameters
    ----------
    account : str
    weight, used : float
    """

    account: str
    weight: float
    used: float


def usable_weight(weight):
    """Return the weight to use for a configured one. Unit: jobs per second.

    Examples
    --------
    >>> usable_weight(3.0), usable_weight(0.0), usable_weight(float("nan")), usable_weight(1e9)
    (3.0, 1.0, 1.0, 1000000.0)
    """
    if not (isfinite(weight) and weight > 0):
        return DEFAULT_WEIGHT
    return min(weight, MAX_WEIGHT)


class _Account:
    """Token bucket of an account, and its place in the order of excess.

    `tokens` are the jobs that the account may submit at once within its rate. `surplus` is what the
    full bucket could not hold while jobs beyond the rate were waiting. `finish_tag` is the virtual
    time at which the account's latest excess job would be done at the account's share.
    """

    __slots__ = ("finish_tag", "n_inherited", "surplus", "tokens", "updated_at", "weight")

    def __init__(self, *, weight, now):
        self.weight = weight
        self.tokens = self.depth
        self.surplus = 0.0
        self.updated_at = now
        self.finish_tag = 0.0
        self.n_inherited = 0

    @property
    def depth(self):
        """Most tokens that the bucket holds. Unit: jobs."""
        return max(MIN_DEPTH, DEPTH_S * self.weight)

    def refill(self, now):
        """Add the tokens due since the last call."""
        self.tokens += self.weight * max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        overflow = self.tokens - self.depth
        if overflow > 0:
            self.tokens -= overflow
            self.surplus += overflow


class RateLedger:
    """Decides which jobs are within the guaranteed rates of their accounts.

    Each account has a token bucket of `weight` jobs a second. A job that finds no token is excess;
    it takes none, so that the account's later jobs are within its rate again as soon as it sends
    less. Tokens that a full bucket cannot hold turn the oldest excess into guaranteed jobs.

    Excess has start tags as in start-time fair queueing, over accounts and by weight: the excess of
    one account never waits for more than one job of each other account of the same weight, however
    many jobs that account has sent.

    Examples
    --------
    >>> ledger = RateLedger()
    >>> [ledger.admit("a", 1.0, 0.0) for _ in range(6)]
    [True, True, True, True, False, False]
    >>> ledger.admit("b", 1.0, 0.0)
    True
    """

    __slots__ = ("_accounts", "_reported", "_unusable", "_virtual_time")

    def __init__(self):
        self._accounts = {}
        self._virtual_time = 0.0
        self._unusable = []
        self._reported = {}

    def __len__(self):
        return len(self._accounts)

    def admit(self, name, weight, now):
        """Take a token for a job that was accepted now; return whether there was one.

        Parameters
        ----------
        name : str
            Name of the account.
        weight : float
            Its configured weight; a change applies from now on. Unit: jobs per second.
        now : float
            Steady time. Unit: seconds.
        """
        account = self._account(name, weight, now)
        if account.tokens < 1.0:
            return False
        account.tokens -= 1.0
        return True

    def admit_inherited(self, name, weight, objective_s, now):
        """Return whether a job that an earlier leader accepted counts as within the rate.

        The time of its acceptance is not known. An account that keeps its rate, and is served in
        time, has at most `weight` times the objective, and the depth of its bucket, unfinished.
        The bucket itself stays full for what the account submits from now on.
        """
        account = self._account(name, weight, now)
        account.n_inherited += 1
        return account.n_inherited <= account.depth + account.weight * objective_s

    def start_tag(self, name, weight, now):
        """Return the virtual time at which the next excess job of an account may start."""
        account = self._account(name, weight, now)
        tag = max(self._virtual_time, account.finish_tag)
        account.finish_tag = tag + 1.0 / account.weight
        return tag

    def note_started(self, tag):
        """Advance the virtual time to the tag of an excess job that has begun."""
        self._virtual_time = max(self._virtual_time, tag)

    def set_weight(self, name, weight, now):
        """Use another weight of a known account from now on."""
        if name in self._accounts:
            self._account(name, weight, now)

    def take_surplus(self, n_waiting, now):
        """Return by account how many of its waiting excess jobs become guaranteed.

        Parameters
        ----------
        n_waiting : dict of str to int
            Number of waiting excess jobs of each account that has any.
        """
        if not n_waiting:
            # All excess has begun. Tags stay as they are: jobs between two steps keep theirs.
            finish_tags = (account.finish_tag for account in self._accounts.values())
            self._virtual_time = max(self._virtual_time, max(finish_tags, default=0.0))
        taken = {}
        for name, account in list(self._accounts.items()):
            account.refill(now)
            n = min(n_waiting.get(name, 0), int(account.surplus))
            if n:
                taken[name] = n
            account.surplus -= n
            if n_waiting.get(name, 0) > n:
                continue
            account.surplus = 0.0
            if account.tokens >= account.depth and account.finish_tag <= self._virtual_time:
                # A new bucket is full, too.
                del self._accounts[name]
        return taken

    def take_unusable_weights(self):
        """Return the unusable weights found since the last call, each of them once."""
        taken, self._unusable = self._unusable, []
        return taken

    def _account(self, name, weight, now):
        used = usable_weight(weight)
        if used != weight:
            self._note_unusable(name, weight, used)
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(weight=used, now=now)
            return account
        account.refill(now)
        if account.weight != used:
            account.weight = used
            account.tokens = min(account.tokens, account.depth)
        return account

    def _note_unusable(self, name, weight, used):
        # By its text, as NaN differs from itself.
        if self._reported.get(name) != repr(weight):
            self._reported[name] = repr(weight)
            self._unusable.append(UnusableWeight(account=name, weight=weight, used=used))
