"""The shape of a settings file, with unit, default and range of every key."""

from typing import Annotated, Literal

from msgspec import Meta, Struct


def _seconds(description, *, ge, le):
    return Annotated[float, Meta(ge=ge, le=le, description=f"{description} Unit: seconds.")]


def _count(description, *, ge=1, le=1_000_000):
    return Annotated[int, Meta(ge=ge, le=le, description=description)]


class _Section(
    Struct, kw_only=True, forbid_unknown_fields=True, repr_omit_defaults=True, frozen=True
):
    """Base of all sections: an unknown key is an error, not ignored."""


class InstanceSettings(_Section):
    """Who the process is."""

    name: Annotated[str, Meta(description="Name of the instance, unique in the cell.")]
    failure_domain: Annotated[str, Meta(description="Failure domain the instance runs in.")]
    region: Annotated[str, Meta(description="Region the failure domain belongs to.")] = "local"


class ListenSettings(_Section):
    """Addresses the process listens on, each ``IP:PORT``."""

    callers: Annotated[str, Meta(description="Callers' API.")]
    operators: Annotated[str, Meta(description="Operators' resource API, metrics and dump.")]
    peers: Annotated[str, Meta(description="Connections from other instances.")]


class PlatformSettings(_Section):
    """Addresses of the platform's services, each ``IP:PORT``."""

    table: Annotated[str, Meta(description="Transactional table service.")]
    membership: Annotated[str, Meta(description="List of live and leaving instances.")]


class LimitSettings(_Section):
    """Bounds on what the process accepts and keeps."""

    body_bytes: _count("Largest body of a request or an answer. Unit: bytes.", ge=1024) = 262_144
    caller_connections: _count("Open callers' connections.") = 2_000
    requests_in_flight: _count("Requests at one entry instance at once.") = 4_000
    peer_queue: _count("Messages waiting to be sent to one instance.", ge=16) = 20_000
    tasks_per_job: _count("Tasks of one job.") = 20_000
    holds_per_customer: _count("Tasks of one customer for which places are asked at once.") = 64


class TimingSettings(_Section):
    """How often the process acts on its own, and how long it waits."""

    heartbeat_s: _seconds("Between heartbeats to a peer.", ge=0.02, le=5) = 0.25
    suspect_s: _seconds("Silence after which a peer is suspected.", ge=0.1, le=60) = 1.0
    membership_poll_s: _seconds("Between reads of the membership list.", ge=0.05, le=60) = 0.5
    config_poll_s: _seconds("Between reads of the configuration revision.", ge=0.05, le=60) = 1.0
    worker_sync_s: _seconds("Between reports and renewals of one worker.", ge=0.05, le=30) = 0.5
    worker_timeout_s: _seconds("Wait for a worker's answer to a control call.", ge=0.1, le=60) = 2.0
    platform_timeout_s: _seconds("Wait for the platform's answer.", ge=0.1, le=60) = 2.0
    default_deadline_s: _seconds("Deadline of a request that names none.", ge=0.05, le=600) = 10.0
    hold_s: _seconds("Longest wait of a task's hold before it is asked anew.", ge=0.2, le=60) = 3.0
    drain_s: _seconds("Longest wait for work in progress at shutdown.", ge=0, le=3600) = 30.0


class LeaseSettings(_Section):
    """Leases of tasks on workers."""

    task_s: _seconds("Lease of a running task.", ge=1, le=3600) = 15.0
    clock_drift: Annotated[
        float, Meta(ge=0, le=0.1, description="Largest rate by which two clocks differ.")
    ] = 0.01


class StoreSettings(_Section):
    """How task and job records are written."""

    commit_s: _seconds("Least time between two commits.", ge=0, le=5) = 0.05
    records_per_commit: _count("Records in one transaction.", le=1000) = 200
    backoff_max_s: _seconds("Longest wait between attempts in an outage.", ge=0.1, le=60) = 2.0


class LogSettings(_Section):
    """Logs on standard error."""

    level: Literal["debug", "info", "notice", "warning", "error"] = "info"


class Settings(_Section):
    """All settings of one daemon."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    lease: LeaseSettings = LeaseSettings()
    store: StoreSettings = StoreSettings()
    log: LogSettings = LogSettings()
