"""Scheduling decisions without I/O and without a clock.

The classes get events and the time as arguments. They return the messages to send and the records
to write; the caller does both.
"""

from ._allocations import AllocationIndex, WorkerAllocation
from ._fair_queue import FairQueue, QueuedItem
from ._job_coordinator import (
    AckTask,
    AskHold,
    JobCoordinator,
    RecordEnd,
    RecordIntent,
    RecordPhase,
    ReleaseHold,
    StartTask,
    StopTask,
    TaskState,
)
from ._leases import LeaseClock, lease_over_at
from ._message_age import MessageAge
from ._messages import (
    Dispatch,
    ForgetRequest,
    Hold,
    HoldGranted,
    HoldRefused,
    HoldRevoked,
    Refuse,
    RefuseReason,
    Request,
)
from ._outcomes import Outcome, can_retry
from ._owner import OwnerScheduler
from ._ownership import choose_owner, rendezvous_order, score
from ._retries import RetryBudget
from ._round_trip import RoundTrip, RoundTripSettings
from ._send_window import SendWindow

__all__ = [
    "AckTask",
    "AllocationIndex",
    "AskHold",
    "Dispatch",
    "FairQueue",
    "ForgetRequest",
    "Hold",
    "HoldGranted",
    "HoldRefused",
    "HoldRevoked",
    "JobCoordinator",
    "LeaseClock",
    "MessageAge",
    "Outcome",
    "OwnerScheduler",
    "QueuedItem",
    "RecordEnd",
    "RecordIntent",
    "RecordPhase",
    "Refuse",
    "RefuseReason",
    "ReleaseHold",
    "Request",
    "RetryBudget",
    "RoundTrip",
    "RoundTripSettings",
    "SendWindow",
    "StartTask",
    "StopTask",
    "TaskState",
    "WorkerAllocation",
    "can_retry",
    "choose_owner",
    "lease_over_at",
    "rendezvous_order",
    "score",
]
