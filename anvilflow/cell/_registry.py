"""What has left the registry of workers since the former home wrote about it."""

from twisted.internet.defer import inlineCallbacks

from ..exceptions import RevisionGoneError
from ..platform import REGISTRY_TABLE


@inlineCallbacks
def find_missing(store, former):
    """Return the ids of workers that have left since, or None when that is no longer known.

    Entries lapse while the store is away, and the home that holds the workers cannot say so: their
    tasks run on, on workers that the next home would not even look for.

    Parameters
    ----------
    store : StoreClient
    former : HomeRow or None
        The former home's row; None: there was none.
    """
    if former is None:
        return frozenset()
    if not former.registry_version:
        return None
    try:
        rows, _ = yield store.follow(REGISTRY_TABLE, former.registry_version, wait_s=0.0)
    except RevisionGoneError:
        return None
    missing = set()
    for row in rows:
        if row.value is None:
            missing.add(row.key)
        else:
            missing.discard(row.key)
    return frozenset(missing)
