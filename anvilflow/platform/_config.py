"""Decoding of the operator's configuration."""

from typing import Annotated

from msgspec import Meta, field

from ..exceptions import PlatformError
from ..jobs import AdviceRules, ApiKeys, CellConfig, ClientAccount, Limits, Queue
from ..utils import decode
from ._wire import MAX_WHOLE_NUMBER, Wire

_Name = Annotated[str, Meta(min_length=1, max_length=200)]
_Weight = Annotated[float, Meta(ge=0.0, le=1e6)]
_Amount = Annotated[int, Meta(ge=0, le=2**50)]

#: Largest priority, of either sign, and largest number of attempts and of bytes, which messages
#: between instances and reads of bodies have as 32-bit numbers.
_MAX_COUNT = 2**31 - 1

#: Longest duration that a configuration may state: ten years. Unit: milliseconds.
_MAX_DURATION_MS = 10 * 365 * 86_400_000

_Priority = Annotated[int, Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]
_Count = Annotated[int, Meta(ge=0, le=_MAX_COUNT)]
_Duration = Annotated[float, Meta(ge=0, le=_MAX_DURATION_MS)]


class _WireAdvice(Wire):
    decide_ms: _Duration = 0.0
    each_ms: _Duration = 0.0
    valid_ms: _Duration = 0.0


class _WireRoute(Wire):
    """Route, called a queue elsewhere; ``target-latency-ms`` is not a bound on a single call."""

    name: str
    host: str = ""
    prefix: str = ""
    service: str = ""
    timeout_ms: _Duration = 3000
    target_latency_ms: _Duration = 0
    priority: _Priority = 0
    max_attempts: _Count = 1
    stretch: _Weight = 1.0
    advice: _WireAdvice | None = None
    public: bool = False


class _WireLimits(Wire):
    max_header_bytes: _Count = 16384
    max_body_bytes: _Count = 262144
    header_timeout_ms: _Duration = 3000
    idle_timeout_ms: _Duration = 15000


class _WireService(Wire):
    name: str


class _WireMaximum(Wire):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _WireTenant(Wire):
    name: _Name
    api_keys: list[str] = []
    weight: _Weight = 1.0
    maximum: _WireMaximum = field(default_factory=_WireMaximum)


class _WireConfig(Wire):
    version: Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
    services: list[_WireService] = []
    routes: list[_WireRoute] = []
    limits: _WireLimits = field(default_factory=_WireLimits)
    tenants: list[_WireTenant] | None = None


def decode_config(body):
    """Return the :class:`CellConfig` in a row's value; AF401 if the value is malformed."""
    wire = decode(body, _WireConfig, error=PlatformError)
    limits = wire.limits
    tenants = wire.tenants or ()
    _check_names(tenants)
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
        accounts=None if wire.tenants is None else tuple(_account(tenant) for tenant in tenants),
        keys=ApiKeys((tenant.name, tenant.api_keys) for tenant in tenants),
    )


def _check_names(tenants):
    names = set()
    for tenant in tenants:
        if tenant.name in names:
            raise PlatformError(f"tenants: the name {tenant.name!r} is given twice")
        names.add(tenant.name)


def _account(wire):
    return ClientAccount(
        name=wire.name,
        weight=wire.weight,
        max_cpu_milli=wire.maximum.cpu,
        max_memory_mb=wire.maximum.mem_mb,
        max_accelerators=wire.maximum.gpu,
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
        public=route.public,
    )


def _advice_rules(wire):
    if wire is None:
        return None
    return AdviceRules(
        base_s=wire.decide_ms / 1000,
        per_worker_s=wire.each_ms / 1000,
        valid_s=wire.valid_ms / 1000,
    )
