"""Inputs and outputs of the owner's scheduling decisions.

A hold is the reservation of a place (capacity on one worker) for one attempt of a task. The
coordinator of a customer's jobs requests it from the owner of some workers, and starts the attempt
in it once it is granted.
"""

from enum import StrEnum

from msgspec import Struct

from ..resources import Amounts


class RefuseReason(StrEnum):
    """Reason why a request was certainly not run, or why a hold was not granted."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_WORKER = "no_worker"
    FITS_NOWHERE = "fits_nowhere"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Request(Struct, kw_only=True):
    """A service request to be placed on a worker.

    Parameters
    ----------
    request_id : str
    customer, workload : str
    needs : Amounts
    run_time : float
        Expected run time. Unit: seconds.
    deadline : float
        Time on the owner's clock after which the caller no longer waits. Unit: seconds.
    weight : int, default=100
        The customer's priority.
    queue_limit : int, default=256
        Number of queued requests of the customer from which on further requests are refused.
    customer_share : float, default=0.75
        Share of the slots not used by tasks that the customer's requests may take.
    """

    request_id: str
    customer: str
    workload: str
    needs: Amounts
    run_time: float
    deadline: float
    weight: int = 100
    queue_limit: int = 256
    customer_share: float = 0.75


class Hold(Struct, kw_only=True):
    """A reservation of a place for one attempt of a task, requested or granted.

    Parameters
    ----------
    hold_id : str
        ``CUSTOMER/JOB/INDEX/ATTEMPT``, unique per attempt.
    customer : str
    needs : Amounts
    age : int
        Revision at which the job was submitted, which gives a total order over all jobs of the
        cell. A smaller number is an older job.
    gang : bool, default=False
        Whether the job is a gang job: its tasks start together or not at all.
    weight : int, default=100
        The customer's priority.
    """

    hold_id: str
    customer: str
    needs: Amounts
    age: int
    gang: bool = False
    weight: int = 100


class Dispatch(Struct, kw_only=True):
    """Instruction to send the request to the worker now."""

    request: Request
    worker: str


class Refuse(Struct, kw_only=True):
    """Answer that the request was not run; the caller may retry after `retry_after` seconds."""

    request_id: str
    reason: RefuseReason
    retry_after: float


class ForgetRequest(Struct, kw_only=True):
    """Notice that the request is no longer tracked and its place is free."""

    request_id: str


class HoldGranted(Struct, kw_only=True):
    """Answer that a place on the worker is reserved for the hold."""

    hold: Hold
    worker: str


class HoldRefused(Struct, kw_only=True):
    """Answer that no place is reserved, and that the hold is no longer queued."""

    hold: Hold
    reason: RefuseReason


class HoldRevoked(Struct, kw_only=True):
    """Notice that a granted hold ended before its task was started.

    The place went to an older gang job, the hold expired, or its worker was removed or closed.
    """

    hold: Hold
    worker: str
