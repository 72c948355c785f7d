"""Client accounts, and the digests of their API keys."""

import hashlib
from collections import defaultdict

from msgspec import Struct

#: Names of the resources in the order of :func:`demand_of`.
RESOURCE_NAMES = ("cpu_milli", "memory_mb", "accelerators")


class ClientAccount(Struct, kw_only=True, frozen=True, omit_defaults=True):
    """An account of the cell, without its keys.

    Parameters
    ----------
    name : str
    weight : float, default=1.0
        Rate that the account is guaranteed when all capacity is in use; what it submits beyond is
        served by weight. Unit: jobs per second.
    max_cpu_milli, max_memory_mb, max_accelerators : int, default=0
        Resources that the account's runs may occupy in total; 0: no limit. Units: thousandths of a
        core, megabytes, devices.
    """

    name: str
    weight: float = 1.0
    max_cpu_milli: int = 0
    max_memory_mb: int = 0
    max_accelerators: int = 0

    @property
    def maxima(self):
        """The three limits, in the order of :func:`demand_of`."""
        return (self.max_cpu_milli, self.max_memory_mb, self.max_accelerators)

    def n_allowed(self, step, used=(0, 0, 0)):
        """Return how many tasks of a step the account's maximum allows beside what is in use.

        Parameters
        ----------
        step : StepSpec
        used : tuple of int, default=(0, 0, 0)
            Resources that the account occupies already, in the order of :func:`demand_of`.

        Examples
        --------
        >>> from anvilflow.jobs import StepSpec
        >>> account = ClientAccount(name="a", max_cpu_milli=4000)
        >>> account.n_allowed(StepSpec(n_tasks=9, cpu_milli=1500), used=(500, 0, 0))
        2
        """
        n_allowed = step.n_tasks
        for maximum, taken, demand in zip(self.maxima, used, demand_of(step), strict=True):
            if maximum and demand:
                n_allowed = min(n_allowed, (maximum - taken) // demand)
        return max(0, n_allowed)

    def can_ever_run(self, step):
        """Whether one task of a step, or all tasks of a gang, are within the account's maximum."""
        return self.n_allowed(step) >= (step.n_tasks if step.gang else 1)


def may_access(owner, caller):
    """Whether a caller may know of a job and change it.

    Parameters
    ----------
    owner : str
        Name of the job's account; empty: none.
    caller : str or None
        Name of the calling account; empty: a call without a key. None: the caller was checked
        elsewhere.

    Examples
    --------
    >>> may_access("a", "b"), may_access("a", ""), may_access("", "b")
    (False, False, True)
    """
    return caller is None or not owner or owner == caller


def demand_of(step):
    """Return the processor, memory and accelerators of one task of a step.

    Background tasks count in full, although they only use what other tasks leave.
    """
    return (step.cpu_milli, step.memory_mb, step.accelerators)


def key_digest(key):
    """Return the digest under which an API key is kept and compared."""
    return hashlib.sha256(key.encode()).digest()


def add_demands(one, other):
    """Return the sum of two amounts in the order of :func:`demand_of`; None counts as nothing."""
    if one is None or other is None:
        return one or other or (0, 0, 0)
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])


class ApiKeys:
    """Owners of the API keys of one configuration, by digest.

    Parameters
    ----------
    keys_by_account : iterable of (str, iterable of str)
        Each account's name and keys.

    Notes
    -----
    A key that several accounts have identifies none of them. `ambiguous_owners` are the names of
    such accounts.
    """

    __slots__ = ("_owners", "ambiguous_owners")

    def __init__(self, keys_by_account=()):
        owners = defaultdict(set)
        for account, keys in keys_by_account:
            for key in keys:
                owners[key_digest(key)].add(account)
        self._owners = {
            digest: next(iter(each)) for digest, each in owners.items() if len(each) == 1
        }
        self.ambiguous_owners = sorted(
            {name for each in owners.values() if len(each) > 1 for name in each}
        )

    def __eq__(self, other):
        return isinstance(other, ApiKeys) and self._owners == other._owners

    def __hash__(self):
        return hash(frozenset(self._owners))

    def __len__(self):
        return len(self._owners)

    def __repr__(self):
        return f"<ApiKeys: {len(self)}>"

    def owner_of(self, key):
        """Return the name of the account that a key identifies, or None."""
        return self._owners.get(key_digest(key))
