"""Every failure that anvilflow reports, each with a stable code.

Codes are grouped by hundreds: 1xx settings and declarations, 2xx resource API, 3xx requests and
jobs, 4xx the platform and the workers, 5xx messages between instances, 6xx the process itself.
"""

__all__ = [
    "AnvilflowError",
    "CallError",
    "ConflictError",
    "DeclarationError",
    "FrameError",
    "JobGoneError",
    "NotFoundError",
    "NotReadyError",
    "OverloadedError",
    "PartError",
    "PeerTimeoutError",
    "PlatformError",
    "PlatformRefusedError",
    "PlatformUnavailableError",
    "PreconditionError",
    "RequestError",
    "RevisionGoneError",
    "SettingsError",
    "SlowWriteError",
    "TaskCrashesWorkersError",
    "TooLargeError",
    "UnknownOutcomeError",
    "WorkerGoneError",
    "WorkerRefusedError",
    "WorkerUnreachableError",
]


class AnvilflowError(Exception):
    """Base of all coded failures.

    Parameters
    ----------
    message : str
        What went wrong and what is allowed, in one line.
    details : dict, default=None
        Values that a program may act on, for example the current revision.
    """

    code = "AF000"
    http_status = 500
    exit_status = 1

    def __init__(self, message, *, details=None):
        super().__init__(message)
        self.message = message
        self.details = details

    def to_dict(self):
        """Return the error as the JSON object that every API answers with."""
        body = {"code": self.code, "message": self.message}
        if self.details:
            body["details"] = self.details
        return body

    def __str__(self):
        return f"{self.code} {self.message}"


class SettingsError(AnvilflowError):
    """A settings file is missing, malformed or contradicts itself."""

    code = "AF101"
    exit_status = 3


class DeclarationError(AnvilflowError):
    """A declared resource is malformed or out of range."""

    code = "AF102"
    http_status = 400
    exit_status = 4


class NotFoundError(AnvilflowError):
    """The named resource does not exist."""

    code = "AF201"
    http_status = 404
    exit_status = 5


class ConflictError(AnvilflowError):
    """The resource changed since the revision that the write was based on."""

    code = "AF202"
    http_status = 409
    exit_status = 6


class RevisionGoneError(AnvilflowError):
    """The revision to resume from is no longer kept: list again and watch from there."""

    code = "AF203"
    http_status = 410
    exit_status = 7


class NotReadyError(AnvilflowError):
    """The instance cannot serve yet, for example it has not seen a configuration."""

    code = "AF204"
    http_status = 503
    exit_status = 8


class CallError(AnvilflowError):
    """A call is malformed: unknown field, wrong type or out of range."""

    code = "AF301"
    http_status = 400
    exit_status = 4


class JobGoneError(AnvilflowError):
    """There is no such job: it was never accepted, or its state is no longer kept."""

    code = "AF304"
    http_status = 410
    exit_status = 5


class UnknownOutcomeError(AnvilflowError):
    """A job may or may not have been accepted: send it again under the same id."""

    code = "AF305"
    http_status = 504
    exit_status = 9


class RequestError(AnvilflowError):
    """A request was certainly not run."""

    code = "AF302"
    http_status = 503
    exit_status = 9


class OverloadedError(RequestError):
    """A job was not accepted: it would begin too late to be done when it should be."""

    code = "AF306"


class TaskCrashesWorkersError(AnvilflowError):
    """A job failed: one of its tasks repeatedly crashes the workers that run it."""

    code = "AF307"
    http_status = 409
    exit_status = 9


class TooLargeError(AnvilflowError):
    """A body is over the stated limit."""

    code = "AF303"
    http_status = 413
    exit_status = 4


class PlatformError(AnvilflowError):
    """The table, object store or membership list answered with an error."""

    code = "AF401"
    http_status = 502
    exit_status = 10


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer: a write may or may not have taken effect."""

    code = "AF402"
    http_status = 503


class PlatformRefusedError(PlatformUnavailableError):
    """The platform was not reached, or refused the call: a write certainly had no effect."""

    code = "AF404"


class SlowWriteError(PlatformError):
    """The store answers, but a write has no answer yet: it may or may not take effect."""

    code = "AF405"
    http_status = 504


class PreconditionError(PlatformError):
    """A transaction was refused because a condition on a row did not hold."""

    code = "AF403"
    http_status = 409


class WorkerRefusedError(AnvilflowError):
    """A worker refused a call before running anything."""

    code = "AF411"
    http_status = 503


class WorkerGoneError(WorkerRefusedError):
    """Another life of the worker is at its address: what ran in the former one has ended."""

    code = "AF413"


class WorkerUnreachableError(AnvilflowError):
    """A worker gave no answer: what was sent may or may not run."""

    code = "AF412"
    http_status = 504


class PayloadGoneError(AnvilflowError):
    """A job's row names a payload that the store does not have: none of its tasks can start."""

    code = "AF414"


class FrameError(AnvilflowError):
    """A frame from another instance is malformed or over the size limit."""

    code = "AF501"


class PeerTimeoutError(AnvilflowError):
    """Another instance gave no answer: what it was asked to do may happen."""

    code = "AF502"
    http_status = 504


class PartError(AnvilflowError):
    """A part of the process kept failing and the process gives up."""

    code = "AF601"
    exit_status = 12
