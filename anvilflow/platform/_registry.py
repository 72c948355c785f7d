"""Workers as they register themselves in the store."""

from msgspec import field

from ..exceptions import PlatformError
from ..jobs import WorkerInfo
from ..utils import decode
from ._wire import Wire


class _WireCapacity(Wire):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _WireWorker(Wire):
    """An entry. Its ``labels`` are the worker's kind and its rack, in this order."""

    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    capacity: _WireCapacity = field(default_factory=_WireCapacity)
    labels: list[str] = []
    remaining_ms: float | None = None


def decode_worker(worker_id, body):
    """Return the :class:`WorkerInfo` in an entry's value; AF401 when it is malformed."""
    wire = decode(body, _WireWorker, error=PlatformError)
    capacity = wire.capacity
    return WorkerInfo(
        worker_id=worker_id,
        address=wire.address,
        service=wire.service,
        failure_domain=wire.zone,
        kind=wire.labels[0] if wire.labels else "",
        rack=wire.labels[-1] if wire.labels else "",
        labels=tuple(wire.labels),
        cpu_milli=capacity.cpu,
        memory_mb=capacity.mem_mb,
        accelerators=capacity.gpu,
        draining=wire.state != "ready",
        leaves_in_s=wire.remaining_ms / 1000 if wire.remaining_ms is not None else None,
    )
