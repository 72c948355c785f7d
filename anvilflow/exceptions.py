"""Exceptions of anvilflow, each with a stable error code.

Codes are grouped by hundreds: 1xx settings and declarations, 2xx resource API, 3xx requests and
jobs, 4xx the platform and the workers, 5xx messages between instances, 6xx the process.
"""

__all__ = [
    "AccountLimitError",
    "AccountWeightError",
    "AnvilflowError",
    "CallError",
    "ConflictError",
    "DeclarationError",
    "EntryFaultError",
    "FrameError",
    "InvalidDurationError",
    "JobGoneError",
    "JobIdTakenError",
    "NotFoundError",
    "NotReadyError",
    "OverloadedError",
    "PartError",
    "PeerTimeoutError",
    "PlatformError",
    "PlatformRefusedError",
    "PlatformUnavailableError",
    "PreconditionError",
    "ReportError",
    "RequestError",
    "RevisionGoneError",
    "SettingsError",
    "SlowWriteError",
    "StartTimeError",
    "TaskCrashesWorkersError",
    "TooLargeError",
    "UnauthorizedError",
    "UnknownOutcomeError",
    "UnprovenConfigError",
    "WorkerFaultError",
    "WorkerGoneError",
    "WorkerRefusedError",
    "WorkerUnreachableError",
]


class AnvilflowError(Exception):
    """Base class of all exceptions with an error code.

    Parameters
    ----------
    message : str
        The failure and the allowed values, in one line.
    details : dict, default=None
        Values for use by programs, for example the current revision.
    """

    code = "AF000"
    http_status = 500
    exit_status = 1

    def __init__(self, message, *, details=None):
        super().__init__(message)
        self.message = message
        self.details = details

    def to_dict(self):
        """Return the error as the JSON object that every API uses in its responses."""
        body = {"code": self.code, "message": self.message}
        if self.details:
            body["details"] = self.details
        return body

    def __str__(self):
        return f"{self.code} {self.message}"


class SettingsError(AnvilflowError):
    """A settings file is missing, malformed or inconsistent."""

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
    """The resource has changed since the revision that the write was based on."""

    code = "AF202"
    http_status = 409
    exit_status = 6


class RevisionGoneError(AnvilflowError):
    """The revision to resume from is no longer kept: list again and watch from the new revision."""

    code = "AF203"
    http_status = 410
    exit_status = 7


class NotReadyError(AnvilflowError):
    """The instance is not ready to serve, for example because it has no configuration yet."""

    code = "AF204"
    http_status = 503
    exit_status = 8


class UnprovenConfigError(NotReadyError):
    """Whether an API key is still in force is not known: this instance is cut off from the store.

    Send the call again over a new connection, which may reach another instance.
    """

    code = "AF205"


class CallError(AnvilflowError):
    """A call is malformed: it has an unknown field, a wrong type or a value out of range."""

    code = "AF301"
    http_status = 400
    exit_status = 4


class JobGoneError(AnvilflowError):
    """The job does not exist: it was never accepted, or its state is no longer kept."""

    code = "AF304"
    http_status = 410
    exit_status = 5


class UnknownOutcomeError(AnvilflowError):
    """A job may or may not have been accepted: send it again with the same id."""

    code = "AF305"
    http_status = 504
    exit_status = 9


class RequestError(AnvilflowError):
    """A request was certainly not run."""

    code = "AF302"
    http_status = 503
    exit_status = 9


class OverloadedError(RequestError):
    """A job was not accepted: it would start too late to end in time."""

    code = "AF306"


class TaskCrashesWorkersError(AnvilflowError):
    """A job failed: one of its tasks repeatedly crashed the workers that ran it."""

    code = "AF307"
    http_status = 409
    exit_status = 9


class JobIdTakenError(AnvilflowError):
    """A job was not accepted: another account has a job with this id."""

    code = "AF310"
    http_status = 409
    exit_status = 6


class UnauthorizedError(AnvilflowError):
    """A call has no API key, a malformed one, or one that no account has."""

    code = "AF308"
    http_status = 401
    exit_status = 4


class AccountLimitError(RequestError):
    """A job was not accepted: one of its tasks or gangs exceeds its account's maximum by itself."""

    code = "AF309"
    http_status = 429


class TooLargeError(AnvilflowError):
    """The body of a request or reply exceeds the stated limit."""

    code = "AF303"
    http_status = 413
    exit_status = 4


class PlatformError(AnvilflowError):
    """The table service, object store or membership service returned an error."""

    code = "AF401"
    http_status = 502
    exit_status = 10


class PlatformUnavailableError(PlatformError):
    """The platform did not respond: a write may or may not have taken effect."""

    code = "AF402"
    http_status = 503


class PlatformRefusedError(PlatformUnavailableError):
    """The platform was not reached or refused the call: a write certainly had no effect."""

    code = "AF404"


class SlowWriteError(PlatformError):
    """The store responds, but not yet to this write: it may or may not take effect."""

    code = "AF405"
    http_status = 504


class StartTimeError(PlatformError):
    """A worker's start time is invalid, so that its incarnations cannot be distinguished."""

    code = "AF406"


class InvalidDurationError(PlatformError):
    """A stated or measured duration of a task is not a positive number and is ignored."""

    code = "AF407"


class AccountWeightError(PlatformError):
    """An account's weight is not a positive number: the default weight is used."""

    code = "AF408"


class EntryFaultError(PlatformError):
    """The decoding of a registry entry raised an unexpected error; the entry is set aside."""

    code = "AF409"


class PreconditionError(PlatformError):
    """A transaction was rejected because a condition on a row was not met."""

    code = "AF403"
    http_status = 409


class WorkerRefusedError(AnvilflowError):
    """A worker refused a call and ran nothing."""

    code = "AF411"
    http_status = 503


class WorkerGoneError(WorkerRefusedError):
    """The worker has started again under its id: runs of the former incarnation have ended."""

    code = "AF413"

    @classmethod
    def restarted(cls, registry_id, born_ms, reason=""):
        """Return the error for a worker that has started again under its id.

        `born_ms` is the start time that it states now, None if it states no valid one.
        """
        message = f"{registry_id} has started again, its start time is {born_ms}"
        return cls(f"{message}: {reason}" if reason else message, details={"born_ms": born_ms})


class WorkerUnreachableError(AnvilflowError):
    """A worker did not respond: the call may or may not take effect."""

    code = "AF412"
    http_status = 504


class WorkerFaultError(WorkerUnreachableError):
    """A call to a worker raised an unexpected error: it may or may not take effect."""

    code = "AF415"


class PayloadGoneError(AnvilflowError):
    """The payload of a job is missing from the store: none of its tasks can start."""

    code = "AF414"


class FrameError(AnvilflowError):
    """A frame from another instance is malformed or exceeds the size limit."""

    code = "AF501"


class ReportError(AnvilflowError):
    """A report of the leader holds values that cannot be true; they are ignored."""

    code = "AF503"


class PeerTimeoutError(AnvilflowError):
    """Another instance did not respond: the requested operation may or may not take effect."""

    code = "AF502"
    http_status = 504


class PartError(AnvilflowError):
    """A part of the process failed repeatedly, so the process exits."""

    code = "AF601"
    exit_status = 12
