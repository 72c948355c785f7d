"""Bodies of the calls of the HTTP API for callers, and of the answers to requests."""

from typing import Annotated

from msgspec import Meta, Struct

from ..decisions import Outcome
from ..resources import Job

MAX_DEADLINE_S = 3600


class RequestCall(Struct, kw_only=True, forbid_unknown_fields=True, repr_omit_defaults=True):
    """A service request.

    Parameters
    ----------
    customer, workload : str
    payload : str
        Passed to the target unchanged.
    deadline_s : float, default=None
        Time that the caller waits; None: the instance's default. Unit: seconds.
    idempotent : bool, default=None
        Whether the request may run more than once; None: as its workload declares.
    idempotency_key : str, default=""
        Key of a non-idempotent request. Repeating the call with the same key, at any instance,
        does not run the request again.
    """

    customer: str
    workload: str
    payload: str = ""
    deadline_s: Annotated[float, Meta(gt=0, le=MAX_DEADLINE_S)] | None = None
    idempotent: bool | None = None
    idempotency_key: Annotated[str, Meta(max_length=128, pattern="^[A-Za-z0-9_.:-]*$")] = ""


class RequestAnswer(Struct, kw_only=True, omit_defaults=True):
    """Outcome of a request."""

    request_id: str
    outcome: str
    result: str = ""
    code: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    waited_s: float = 0.0
    replayed: bool = False


class JobCall(Struct, kw_only=True, forbid_unknown_fields=True, repr_omit_defaults=True):
    """A job to be submitted."""

    name: str
    customer: str
    workload: str
    tasks: list[str]

    def to_job(self):
        """Return the job as a resource."""
        return Job(name=self.name, customer=self.customer, workload=self.workload, tasks=self.tasks)


def not_run_answer(request_id, reason, retry_after, *, code="AF302"):
    """Return the answer for a request that certainly did not run."""
    return RequestAnswer(
        request_id=request_id,
        outcome=Outcome.NOT_RUN.value,
        code=code,
        reason=reason,
        retry_after_s=retry_after,
    )


def unknown_answer(request_id, reason):
    """Return the answer for a request that may or may not have run."""
    return RequestAnswer(
        request_id=request_id, outcome=Outcome.UNKNOWN.value, code="AF412", reason=reason
    )
