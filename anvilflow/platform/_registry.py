"""Decoding of the registry entries that workers write to the store."""

import re
from typing import Annotated, Literal

from msgspec import Meta

from ..exceptions import PlatformError, StartTimeError
from ..jobs import WorkerInfo
from ..utils import decode
from ._address import check_address
from ._start_time import decode_start_time
from ._wire import Wire

#: Upper bound of each amount of a worker's capacity. Sums over all workers of a cell and products
#: with shares of them stay exact in floating point. Unit: that of the amount (milli-CPU, MB, number
#: of accelerators or of slots).
MAX_AMOUNT = 2**31 - 1

#: Upper bound of the time that a worker announces for its warm-up or departure. Unit: milliseconds.
MAX_ANNOUNCED_MS = 366 * 24 * 3600 * 1000

#: Largest magnitude of the number of an entry's write, which every JSON reader keeps exact.
MAX_SEQUENCE = 2**53 - 1

#: Longest id of a worker, that of a key of the store. Unit: bytes.
MAX_ID_BYTES = 200

#: End of an id that would equal the identity of another worker's incarnation, see
#: :func:`make_worker_id`.
_INCARNATION = re.compile(r"@[0-9]+\Z")

_NonEmptyStr = Annotated[str, Meta(min_length=1)]
_Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
_Milliseconds = Annotated[float, Meta(ge=0.0, le=MAX_ANNOUNCED_MS)]
_Sequence = Annotated[int, Meta(ge=-MAX_SEQUENCE, le=MAX_SEQUENCE)]


class _WireCapacity(Wire):
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount = 0


class _WireWorker(Wire):
    """Registry entry; ``labels`` holds the worker's kind and its rack, in this order.

    Other writers may add entries. Every field that all workers write is required, including unused
    ones: an entry without one of them does not belong to a worker.
    """

    service: _NonEmptyStr
    address: _NonEmptyStr
    zone: _NonEmptyStr
    version: str
    slots: _Amount
    state: Literal["ready", "draining"]
    sequence: _Sequence
    capacity: _WireCapacity
    labels: list[str]
    cold_remaining_ms: _Milliseconds = 0.0
    remaining_ms: _Milliseconds | None = None
    born: object = None


def decode_worker(registry_id, body):
    """Return the :class:`WorkerInfo` in a registry entry, and an error of its start time or None.

    Raises
    ------
    PlatformError
        AF401, the entry describes no worker.

    Notes
    -----
    An entry with an invalid start time (AF406) still belongs to a worker, which would otherwise get
    no tasks. It counts as one that states none.
    """
    if not can_be_worker_id(registry_id):
        raise PlatformError(f"the key cannot be the id of a worker: {registry_id[:80]!a}")
    wire = decode(body, _WireWorker, error=PlatformError)
    check_address(wire.address, "$.address")
    capacity = wire.capacity
    born_ms, error = None, None
    try:
        born_ms = decode_start_time(wire.born)
    except StartTimeError as exc:
        error = exc
    info = WorkerInfo(
        registry_id=registry_id,
        address=wire.address,
        service=wire.service,
        failure_domain=wire.zone,
        kind=wire.labels[0] if wire.labels else "",
        rack=wire.labels[-1] if wire.labels else "",
        labels=tuple(wire.labels),
        cpu_milli=capacity.cpu,
        memory_mb=capacity.mem_mb,
        accelerators=capacity.gpu,
        draining=wire.state == "draining",
        leaves_in_s=wire.remaining_ms / 1000 if wire.remaining_ms is not None else None,
        born_ms=born_ms,
    )
    return info, error


def can_be_worker_id(key):
    """Whether an entry's key can be a worker's id, which requests to the worker name.

    Other characters would be changed or refused in the head of a request, or break lines of logs.
    """
    is_text = key.isprintable() and key == key.strip()
    # Printable text has no surrogates and can be encoded.
    if not (key and is_text and len(key.encode()) <= MAX_ID_BYTES):
        return False
    return _INCARNATION.search(key) is None
