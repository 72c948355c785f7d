"""Assignment of workers to owners, and of customers' jobs to coordinators.

Rendezvous hashing (Thaler and Ravishankar, 1998): every instance computes the assignment by itself
from the list of live instances. When an instance leaves, only the keys assigned to it move.
"""

import xxhash


def score(instance, key):
    """Return the rendezvous score of `instance` for `key`, the same on every machine."""
    return xxhash.xxh64_intdigest(f"{instance}\x00{key}".encode())


def rendezvous_order(instances, key):
    """Return the instances by preference for `key`, most preferred first."""
    return sorted(instances, key=lambda instance: (-score(instance, key), instance))


def choose_owner(instances, key):
    """Return the instance that `key` is assigned to, or None if there are no instances.

    Examples
    --------
    >>> choose_owner(["a1", "a2", "a3"], "w-07") in {"a1", "a2", "a3"}
    True
    >>> choose_owner([], "w-07") is None
    True
    """
    if not instances:
        return None
    return max(instances, key=lambda instance: (score(instance, key), instance))
