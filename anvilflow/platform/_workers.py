"""Commands to one incarnation of a worker."""

from typing import Annotated, Literal

from msgspec import Meta
from twisted.internet.error import ConnectionRefusedError

from ..clients import NOT_SENT, Peer
from ..exceptions import (
    AnvilflowError,
    StartTimeError,
    WorkerGoneError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from ..jobs import RunEnd, RunReport, WorkerReport
from ..utils import decode, encode
from ._start_time import decode_start_time
from ._wire import MAX_WHOLE_NUMBER, Wire

#: Reasons of a worker's refusal: the name on the wire, and the name used by the scheduler.
_REASONS = {"fence": "fenced", "old": "old", "late": "late", "room": "room", "ticket": "ticket"}


#: Largest progress that is read, as messages between instances state it. Unit: percent.
MAX_PERCENT = 2**15 - 1

#: Maximum length of a checkpoint. Unit: characters.
MAX_CHECKPOINT_CHARS = 4096

#: Names of tasks, ``JOB.OCCURRENCE.STEP.INDEX``.
_TASK_NAME = r"\A[0-9a-f]{16}(\.(0|[1-9][0-9]{0,9})){3}\Z"

_TaskName = Annotated[str, Meta(pattern=_TASK_NAME)]
_RunId = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
_Checkpoint = Annotated[str, Meta(max_length=MAX_CHECKPOINT_CHARS)]
_Clock = Annotated[float, Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _WireRun(Wire, array_like=True):
    """Row of ``active``, which may end with the load."""

    task: _TaskName
    run_id: _RunId
    checkpoint: _Checkpoint
    percent: Annotated[float, Meta(ge=0, le=MAX_PERCENT)]
    load: Annotated[float, Meta(ge=0, le=MAX_WHOLE_NUMBER)] = 0.0


class _WireEnd(Wire, array_like=True):
    """Row of ``finished``, which lists ends of every kind."""

    number: Annotated[int, Meta(ge=1, le=MAX_WHOLE_NUMBER)]
    task: _TaskName
    run_id: _RunId
    how: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    checkpoint: _Checkpoint


class _WireAnswer(Wire):
    clock_ms: _Clock


class _WireReport(_WireAnswer):
    active: list[_WireRun] = []
    finished: list[_WireEnd] = []
    born: object = None


class _WireRefusal(Wire):
    reason: str = ""


class WorkerCalls:
    """Sends commands to one incarnation of a worker under one fencing token.

    Parameters
    ----------
    http : HttpClient
    info : object
        Names the incarnation: `registry_id`, `born_ms`, `worker_id` and `address`, as in
        :class:`WorkerInfo`.
    token : int
    timeout : float
        Timeout of a command. Unit: seconds.

    Notes
    -----
    The header with the worker's id does not distinguish its incarnations. A command that reaches
    the next one does harm before its answer shows the start time: it acknowledges ends that nobody
    has read, or starts a run. Therefore, the first request over each new connection is a lease
    renewal that renews and acknowledges nothing. Commands follow once its answer has shown the
    expected start time: a connection ends with the incarnation that it leads to.

    A worker that states no start time is identified by its id alone.
    """

    def __init__(self, *, http, info, token, timeout):
        self.http = http
        self.worker_id = info.worker_id
        self.born_ms = info.born_ms
        self.token = token
        self.timeout = timeout
        self._registry_id = info.registry_id
        address = info.address
        self._base = f"http://{address}/-/"
        self._headers = {
            b"content-type": [b"application/json"],
            b"x-expect-instance": [info.registry_id.encode()],
        }
        self._peer = None if info.born_ms is None else self._make_peer()

    def _make_peer(self):
        """Return the check of the connections to the incarnation."""
        return Peer(
            name=self.worker_id,
            url=self._base + "hold",
            body=encode({"fencing-token": self.token, "last-seen": 0}),
            headers=self._headers,
            check=self._check_incarnation,
        )

    def _check_incarnation(self, result):
        """Raise an error unless the response to a first request is that of the incarnation."""
        report = _worker_report(self._decode_response(result, "hold", _WireReport))
        if report.born_ms != self.born_ms:
            raise WorkerGoneError.restarted(
                self._registry_id, report.born_ms, report.start_time_error
            )

    def renew_leases(self, *, seen, until_s, wait_s, timeout=None):
        """Renew the leases of all runs; the Deferred fires with a :class:`WorkerReport`.

        Parameters
        ----------
        seen : int
            Number of the last end received; the worker may delete the ends up to this number.
        until_s : float or None
            New end of the leases on the worker's clock; None keeps the end. Unit: seconds.
        wait_s : float
            The worker responds at the next end of a run, or after this time. Unit: seconds.
        timeout : float, default=None
            Timeout in addition to `wait_s`; None uses that of the client. Unit: seconds.
        """
        body = {"fencing-token": self.token, "last-seen": seen}
        if until_s is not None:
            body["until-ms"] = int(until_s * 1000)
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        call = self._command(
            "hold", body, self._timeout_or_default(timeout) + wait_s, _WireReport, held_s=wait_s
        )
        return call.addCallback(_worker_report)

    def start(self, action, *, until_s, timeout=None):
        """Start a run; the Deferred fires with the worker's clock. Unit: seconds.

        The call can be repeated: a worker that already has the run reports success.
        """
        body = {
            "task": action.task,
            "run-id": action.run_id,
            "spec": action.payload,
            "until-ms": int(until_s * 1000),
            "fencing-token": self.token,
        }
        if action.checkpoint:
            body["checkpoint"] = action.checkpoint
        if action.ticket:
            body["ticket"] = action.ticket
        call = self._command("run-start", body, self._timeout_or_default(timeout))
        return call.addCallback(lambda response: response.clock_ms / 1000)

    def stop(self, action, *, timeout=None):
        """Stop a run, or prevent it from starting later."""
        body = {"task": action.task, "run-id": action.run_id, "fencing-token": self.token}
        return self._command("run-stop", body, self._timeout_or_default(timeout))

    def set_pace(self, action, *, timeout=None):
        """Set the speed of a run, as a percentage of its full speed."""
        body = {
            "task": action.task,
            "run-id": action.run_id,
            "percent": action.percent,
            "fencing-token": self.token,
        }
        return self._command("pace", body, self._timeout_or_default(timeout))

    def _timeout_or_default(self, timeout):
        return self.timeout if timeout is None else timeout

    def _command(self, verb, body, timeout, kind=_WireAnswer, held_s=0.0):
        call = self.http.post(
            self._base + verb,
            encode(body),
            timeout=timeout,
            held_s=held_s,
            headers=self._headers,
            peer=self._peer,
        )
        call.addCallbacks(self._decode_response, _raise_call_error, callbackArgs=(verb, kind))
        return call

    def _decode_response(self, result, verb, kind):
        status, response = result
        match status:
            case 200:
                return decode(response, kind, error=self._malformed_answer)
            case 409:
                reason = decode(response, _WireRefusal, error=self._malformed_answer).reason
                if reason not in _REASONS:
                    raise self._malformed_answer(f"unknown reason of a refusal: {reason[:80]!r}")
                raise WorkerRefusedError(
                    f"the worker refused {verb}: {reason}", details={"reason": _REASONS[reason]}
                )
            case 421:
                raise WorkerRefusedError(
                    f"another worker answers at the address of {self._registry_id}",
                    details={"reason": "misdirected"},
                )
            case 400 | 429 | 503:
                raise WorkerRefusedError(
                    f"the worker responded with status {status} to {verb}",
                    details={"reason": "unhealthy"},
                )
            case _:
                raise WorkerUnreachableError(f"the worker responded with status {status} to {verb}")

    def _malformed_answer(self, why):
        """Return the error for an answer that cannot be read: it says nothing about the worker."""
        return WorkerUnreachableError(
            f"the answer of {self._registry_id} cannot be read: {why}",
            details={"reason": "malformed"},
        )


def _raise_call_error(failure):
    error = failure.value
    if failure.check(AnvilflowError):
        return failure
    if failure.check(*NOT_SENT):
        raise WorkerRefusedError(
            f"no connection to the worker: {error!r}",
            details={
                "reason": "unreached",
                "nobody_listens": isinstance(error, ConnectionRefusedError),
            },
        ) from error
    raise WorkerUnreachableError(f"no response from the worker: {error!r}") from error


def _worker_report(response):
    born_ms, error = None, ""
    try:
        born_ms = decode_start_time(response.born)
    except StartTimeError as exc:
        error = str(exc)
    return WorkerReport(
        clock_s=response.clock_ms / 1000,
        active=tuple(
            RunReport(
                task=row.task,
                run_id=row.run_id,
                checkpoint=row.checkpoint,
                percent=row.percent,
                load=row.load,
            )
            for row in response.active
        ),
        ended=tuple(
            RunEnd(
                number=row.number,
                task=row.task,
                run_id=row.run_id,
                how=row.how,
                checkpoint=row.checkpoint,
            )
            for row in response.finished
        ),
        born_ms=born_ms,
        start_time_error=error,
    )
