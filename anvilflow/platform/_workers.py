"""Orders to one life of a worker."""

from twisted.internet.error import ConnectionRefusedError

from ..clients import NOT_SENT
from ..exceptions import WorkerGoneError, WorkerRefusedError, WorkerUnreachableError
from ..jobs import RunEnd, RunReport, WorkerReport
from ..utils import decode, encode
from ._wire import Wire

#: What a refusal's reason on the wire says of the worker, in our terms.
_REASONS = {"fence": "fenced", "old": "old", "late": "late", "room": "room", "ticket": "ticket"}


class _WireReport(Wire):
    """``finished`` lists ends of every kind; a row of ``active`` may end with the load."""

    clock_ms: float = 0
    active: list[list] = []
    finished: list[list] = []
    reason: str = ""


class WorkerCalls:
    """Calls to a worker under one fencing token.

    Parameters
    ----------
    http : HttpClient
    worker_id, address : str
    token : int
    timeout : float
        Wait for the answer to an order. Unit: seconds.
    """

    def __init__(self, *, http, worker_id, address, token, timeout):
        self.http = http
        self.worker_id = worker_id
        self.token = token
        self.timeout = timeout
        self._base = f"http://{address}/-/"
        self._headers = {
            b"content-type": [b"application/json"],
            b"x-expect-instance": [worker_id.encode()],
        }

    def renew_leases(self, *, seen, until_s, wait_s, timeout=None):
        """Renew the lease of all that runs; the Deferred fires with a :class:`WorkerReport`.

        Parameters
        ----------
        seen : int
            Number up to which the worker may forget ends.
        until_s : float or None
            End of the lease on the worker's clock; None leaves it as it is. Unit: seconds.
        wait_s : float
            The worker answers at the next end, or after this time. Unit: seconds.
        timeout : float, default=None
            Wait for the answer beyond that time, in place of the client's own. Unit: seconds.
        """
        body = {"fencing-token": self.token, "last-seen": seen}
        if until_s is not None:
            body["until-ms"] = int(until_s * 1000)
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        call = self._command("hold", body, self._wait(timeout) + wait_s, held_s=wait_s)
        return call.addCallback(_report)

    def start(self, action, *, until_s, timeout=None):
        """Start a run; the Deferred fires with the worker's clock. Unit: seconds.

        It may be called again: a worker that has the run already says so.
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
        call = self._command("run-start", body, self._wait(timeout))
        return call.addCallback(lambda answer: answer.clock_ms / 1000)

    def stop(self, action, *, timeout=None):
        """Stop a run, or bar it from starting later."""
        body = {"task": action.task, "run-id": action.run_id, "fencing-token": self.token}
        return self._command("run-stop", body, self._wait(timeout))

    def set_pace(self, action, *, timeout=None):
        """Let a run work at a share of its speed."""
        body = {
            "task": action.task,
            "run-id": action.run_id,
            "percent": action.percent,
            "fencing-token": self.token,
        }
        return self._command("pace", body, self._wait(timeout))

    def _wait(self, timeout):
        return self.timeout if timeout is None else timeout

    def _command(self, verb, body, timeout, held_s=0.0):
        call = self.http.post(
            self._base + verb, encode(body), timeout=timeout, held_s=held_s, headers=self._headers
        )
        call.addCallbacks(self._answered, _unanswered, callbackArgs=(verb,))
        return call

    def _answered(self, result, verb):
        status, answer = result
        match status:
            case 200:
                return decode(answer, _WireReport, error=WorkerUnreachableError)
            case 409:
                reason = decode(answer, _WireReport, error=WorkerUnreachableError).reason
                raise WorkerRefusedError(
                    f"the worker refused {verb}: {reason}",
                    details={"reason": _REASONS.get(reason, reason)},
                )
            case 421:
                raise WorkerGoneError(f"{self.worker_id} is no longer at its address")
            case 400 | 429 | 503:
                raise WorkerRefusedError(
                    f"the worker answered {status} to {verb}", details={"reason": "unhealthy"}
                )
            case _:
                raise WorkerUnreachableError(f"the worker answered {status} to {verb}")


def _unanswered(failure):
    error = failure.value
    if failure.check(*NOT_SENT):
        raise WorkerRefusedError(
            f"the worker was not reached: {error!r}",
            details={
                "reason": "unreached",
                "nobody_listens": isinstance(error, ConnectionRefusedError),
            },
        ) from error
    raise WorkerUnreachableError(f"no answer: {error!r}") from error


def _report(answer):
    return WorkerReport(
        clock_s=answer.clock_ms / 1000,
        active=tuple(_run(row) for row in answer.active),
        ended=tuple(_end(row) for row in answer.finished),
    )


def _run(row):
    task, run_id, checkpoint, percent, *rest = row
    return RunReport(
        task=task,
        run_id=run_id,
        checkpoint=checkpoint,
        percent=float(percent),
        load=float(rest[0]) if rest else 0.0,
    )


def _end(row):
    number, task, run_id, how, checkpoint = row
    return RunEnd(number=number, task=task, run_id=run_id, how=how, checkpoint=checkpoint)
