"""Schema of a settings file, with the unit, default and range of each key."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

MAX_COUNT = 1_000_000


class _Section(
    Struct, kw_only=True, forbid_unknown_fields=True, repr_omit_defaults=True, frozen=True
):
    """Base class of all sections; unknown keys are errors."""


class InstanceSettings(_Section, frozen=True):
    """Identity and location of the instance."""

    name: Annotated[str, Meta(description="Name of the instance, unique in the cell.")]
    failure_domain: Annotated[str, Meta(description="Failure domain the instance runs in.")]
    region: Annotated[str, Meta(description="Region the failure domain belongs to.")] = "local"


class ListenSettings(_Section, frozen=True):
    """Addresses that the process listens on, each ``IP:PORT``."""

    callers: Annotated[str, Meta(description="Callers' API.")]
    operators: Annotated[str, Meta(description="Operators' resource API, metrics and dump.")]
    peers: Annotated[str, Meta(description="Connections from other instances.")]


class PlatformSettings(_Section, frozen=True):
    """Addresses of the platform's services, each ``IP:PORT``."""

    table: Annotated[str, Meta(description="Transactional table service.")]
    objects: Annotated[str, Meta(description="Object store.")]
    membership: Annotated[str, Meta(description="List of live and leaving instances.")]


class LimitSettings(_Section, frozen=True):
    """Limits on sizes, connections and work in progress."""

    body_bytes: Annotated[
        int,
        Meta(
            ge=1024,
            le=MAX_COUNT,
            description="Largest body of a request or an answer. Unit: bytes.",
        ),
    ] = 262_144
    caller_connections: Annotated[
        int, Meta(ge=1, le=MAX_COUNT, description="Open callers' connections.")
    ] = 2_000
    requests_in_flight: Annotated[
        int, Meta(ge=1, le=MAX_COUNT, description="Requests at one entry instance at once.")
    ] = 4_000
    peer_queue: Annotated[
        int, Meta(ge=16, le=MAX_COUNT, description="Messages waiting to be sent to one instance.")
    ] = 20_000
    tasks_per_job: Annotated[int, Meta(ge=1, le=MAX_COUNT, description="Tasks of one job.")] = (
        20_000
    )
    holds_per_customer: Annotated[
        int,
        Meta(
            ge=1,
            le=MAX_COUNT,
            description="Tasks of one customer for which places are asked at once.",
        ),
    ] = 64


class TimingSettings(_Section, frozen=True):
    """Periods, time-outs and deadlines."""

    heartbeat_s: Annotated[
        float, Meta(ge=0.02, le=5, description="Between heartbeats to a peer. Unit: seconds.")
    ] = 0.25
    suspect_s: Annotated[
        float,
        Meta(ge=0.1, le=60, description="Silence after which a peer is suspected. Unit: seconds."),
    ] = 1.5
    membership_poll_s: Annotated[
        float,
        Meta(ge=0.05, le=60, description="Between reads of the membership list. Unit: seconds."),
    ] = 1.0
    config_poll_s: Annotated[
        float,
        Meta(
            ge=0.05,
            le=60,
            description="Between reads of the configuration revision. Unit: seconds.",
        ),
    ] = 2.0
    worker_sync_s: Annotated[
        float,
        Meta(
            ge=0.05, le=30, description="Between reports and renewals of one worker. Unit: seconds."
        ),
    ] = 0.5
    idle_sync_s: Annotated[
        float,
        Meta(ge=0.05, le=30, description="The same for a worker without tasks. Unit: seconds."),
    ] = 2.0
    worker_timeout_s: Annotated[
        float,
        Meta(
            ge=0.1,
            le=60,
            description="Wait for a worker's answer to a control call. Unit: seconds.",
        ),
    ] = 2.0
    platform_timeout_s: Annotated[
        float, Meta(ge=0.1, le=60, description="Wait for the platform's answer. Unit: seconds.")
    ] = 2.0
    default_deadline_s: Annotated[
        float,
        Meta(ge=0.05, le=600, description="Deadline of a request that names none. Unit: seconds."),
    ] = 10.0
    hold_s: Annotated[
        float,
        Meta(
            ge=0.2,
            le=60,
            description="Longest wait of a task's hold before it is asked anew. Unit: seconds.",
        ),
    ] = 3.0
    drain_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description="Longest wait for work in progress at shutdown. Unit: seconds.",
        ),
    ] = 30.0


class LeaseSettings(_Section, frozen=True):
    """Leases of tasks on workers."""

    task_s: Annotated[
        float, Meta(ge=1, le=3600, description="Lease of a running task. Unit: seconds.")
    ] = 15.0
    clock_drift: Annotated[
        float, Meta(ge=0, le=0.1, description="Largest rate by which two clocks differ.")
    ] = 0.01


class StoreSettings(_Section, frozen=True):
    """Writes of task and job records to the store."""

    commit_s: Annotated[
        float, Meta(ge=0, le=5, description="Least time between two commits. Unit: seconds.")
    ] = 0.05
    records_per_commit: Annotated[
        int, Meta(ge=1, le=1000, description="Records in one transaction.")
    ] = 200
    backoff_max_s: Annotated[
        float,
        Meta(
            ge=0.1, le=60, description="Longest wait between attempts in an outage. Unit: seconds."
        ),
    ] = 2.0


class LogSettings(_Section, frozen=True):
    """Logs on standard error."""

    level: Literal["debug", "info", "notice", "warning", "error"] = "info"


class Settings(_Section, frozen=True):
    """All settings of one daemon."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    lease: LeaseSettings = LeaseSettings()
    store: StoreSettings = StoreSettings()
    log: LogSettings = LogSettings()
