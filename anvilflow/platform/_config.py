"""Decoding of the operator's configuration."""

from msgspec import field

from ..exceptions import PlatformError
from ..jobs import AdviceRules, CellConfig, Limits, Queue
from ..utils import decode
from ._wire import Wire


class _WireAdvice(Wire):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _WireRoute(Wire):
    """Route, called a queue elsewhere; ``target-latency-ms`` is not a bound on a single call."""

    name: str
    host: str = ""
    prefix: str = ""
    service: str = ""
    timeout_ms: float = 3000
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _WireAdvice | None = None


class _WireLimits(Wire):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _WireService(Wire):
    name: str


class _WireConfig(Wire):
    version: int
    services: list[_WireService] = []
    routes: list[_WireRoute] = []
    limits: _WireLimits = field(default_factory=_WireLimits)


def decode_config(body):
    """Return the :class:`CellConfig` in a row's value; AF401 if the value is malformed."""
    wire = decode(body, _WireConfig, error=PlatformError)
    limits = wire.limits
    return CellConfig(
        version=wire.version,
        queues=tuple(_queue(route) for route in wire.routes),
        services=tuple(service.name for service in wire.services),
        limits=Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
    )


def _queue(route):
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_latency_s=route.target_latency_ms / 1000,
        timeout_s=route.timeout_ms / 1000,
        advice=_advice_rules(route.advice),
    )


def _advice_rules(wire):
    if wire is None:
        return None
    return AdviceRules(
        base_s=wire.decide_ms / 1000,
        per_worker_s=wire.each_ms / 1000,
        valid_s=wire.valid_ms / 1000,
    )
