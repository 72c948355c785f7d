"""Outcomes of requests, and which of them allow a retry."""

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request as reported to its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


def can_retry(outcome, *, idempotent):
    """Whether a request with this outcome may be sent to another target.

    A request that may have run could run twice if it is sent again, which is safe only if it is
    idempotent. A request that certainly did not run can always be sent again.
    """
    match outcome:
        case Outcome.NOT_RUN:
            return True
        case Outcome.UNKNOWN:
            return idempotent
        case _:
            return False
