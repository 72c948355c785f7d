"""Which live instance owns a worker or is coordinator of a customer's jobs.

Rendezvous hashing (Thaler and Ravishankar, 1998): every instance works the answer out alone from
the list of live instances, and when one instance leaves only what it had moves.
"""

import xxhash


def score(instance, key):
    """Return the weight of `instance` for `key`, the same on every machine."""
    return xxhash.xxh64_intdigest(f"{instance}\x00{key}".encode())


def rendezvous_order(instances, key):
    """Return the instances, the one that should have `key` first."""
    return sorted(instances, key=lambda instance: (-score(instance, key), instance))


def choose_owner(instances, key):
    """Return the instance that should have `key`, or None when there is none.

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
