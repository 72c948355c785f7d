"""What the owner's decisions take in and give out."""

from enum import StrEnum

from msgspec import Struct

from ..resources import Amounts


class RefuseReason(StrEnum):
    """Why a request was certainly not run, or a hold not granted."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_WORKER = "no_worker"
    FITS_NOWHERE = "fits_nowhere"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Request(Struct, kw_only=True):
    """A service request that waits for a place.

    Parameters
    ----------
    request_id : str
    customer, workload : str
    needs : Amounts
    run_time : float
        Expected run time. Unit: seconds.
    deadline : float
        Time on the owner's clock after which the caller no longer waits. Unit: seconds.
    weight : int
        The customer's priority.
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
    """A place asked for one attempt of a task.

    Parameters
    ----------
    hold_id : str
        ``CUSTOMER/JOB/INDEX/ATTEMPT``: unique for an attempt.
    customer : str
    needs : Amounts
    age : int
        Revision at which the job was submitted: a total order over all jobs of the cell.
    gang : bool
    weight : int
    """

    hold_id: str
    customer: str
    needs: Amounts
    age: int
    gang: bool = False
    weight: int = 100


class Dispatch(Struct, kw_only=True):
    """Send the request to the worker now."""

    request: Request
    worker: str


class Refuse(Struct, kw_only=True):
    """Answer that the request was not run; the caller may come back after `retry_after` s."""

    request_id: str
    reason: RefuseReason
    retry_after: float


class ForgetRequest(Struct, kw_only=True):
    """The request is no longer known; its place is free."""

    request_id: str


class HoldGranted(Struct, kw_only=True):
    """A place is held on the worker."""

    hold: Hold
    worker: str


class HoldRefused(Struct, kw_only=True):
    """No place is held, nor will be."""

    hold: Hold
    reason: RefuseReason


class HoldRevoked(Struct, kw_only=True):
    """A held place was given to an older job or ran out."""

    hold: Hold
    worker: str
