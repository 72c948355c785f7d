"""How a request ends, and whether it may be sent again."""

from enum import StrEnum


class Outcome(StrEnum):
    """What a caller is told about its request."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


def can_retry(outcome, *, idempotent):
    """Whether a request with this outcome may be sent to another target.

    Sending again a request that may have run could run it twice, which only an idempotent one
    stands. One that certainly did not run can always be sent again.
    """
    match outcome:
        case Outcome.NOT_RUN:
            return True
        case Outcome.UNKNOWN:
            return idempotent
        case _:
            return False
