"""Identity of a worker's incarnation."""


def make_worker_id(registry_id, born_ms):
    """Return the identity of a worker's incarnation.

    A worker may start again under its id in the registry. Its incarnations differ in their start
    times; where none is stated, the id in the registry alone is the identity.

    Examples
    --------
    >>> make_worker_id("i-7f3a", 1700000000123)
    'i-7f3a@1700000000123'
    >>> make_worker_id("i-7f3a", None)
    'i-7f3a'
    """
    return registry_id if born_ms is None else f"{registry_id}@{born_ms}"
