"""Calls to one worker; the contract is in docs/CONTRACTS.md."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectError, ConnectionRefusedError

from ..exceptions import WorkerRefusedError, WorkerUnreachableError
from ..resources import Amounts
from ..utils import decode, encode
from ._http import NOT_SENT


class FinishedTask(Struct, kw_only=True):
    """A task that ended and whose result the worker keeps until told to forget it."""

    hold_id: str
    ok: bool
    result: str


class ClaimReport(Struct, kw_only=True):
    """A worker's answer to its new owner."""

    epoch: int
    clock: float
    capacity: Amounts
    tasks: list[tuple[str, Amounts]]
    finished: list[FinishedTask]
    requests: list[tuple[str, Amounts]]


class SyncReport(Struct, kw_only=True):
    """A worker's answer to its owner's renewals."""

    clock: float
    tasks: list[str]
    finished: list[FinishedTask]
    requests: list[str]


class WorkerClient:
    """Calls to one worker under one ownership epoch.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Wait for the answer to a control call. Unit: seconds.

    Notes
    -----
    A refusal (HTTP 409, 429 or 503) says that the worker did nothing: it raises
    :class:`WorkerRefusedError`. No answer, or half of one, raises
    :class:`WorkerUnreachableError`: what was sent may or may not run.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.timeout = timeout
        self.epoch = 0
        self._base = f"http://{address}"
        self._request_url = f"{self._base}/request"

    @inlineCallbacks
    def claim(self, owner):
        """Become the worker's owner under a new epoch; return a :class:`ClaimReport`."""
        body = yield self._control("claim", {"owner": owner})
        report = decode(body, ClaimReport, error=WorkerUnreachableError)
        self.epoch = report.epoch
        return report

    @inlineCallbacks
    def sync(self, *, renew, stop, forget):
        """Renew leases, stop and forget tasks; return a :class:`SyncReport`.

        Parameters
        ----------
        renew : list of (str, float)
            Holds and the moment on the worker's clock up to which each may run.
        stop, forget : list of str
            Holds.
        """
        body = yield self._control("sync", {"renew": renew, "stop": stop, "forget": forget})
        return decode(body, SyncReport, error=WorkerUnreachableError)

    @inlineCallbacks
    def start(self, *, hold_id, needs, until, workload, payload):
        """Start a task under a lease that ends at `until` on the worker's clock."""
        yield self._control(
            "start",
            {
                "hold_id": hold_id,
                "needs": needs,
                "until": until,
                "workload": workload,
                "payload": payload,
            },
        )

    @inlineCallbacks
    def request(self, *, request_id, workload, needs, payload, until, timeout):
        """Run a service request; return whether it succeeded and the answer's bytes.

        The worker refuses it when it arrives after `until` on the worker's clock.
        """
        call = encode([self.epoch, request_id, workload, needs, until])
        status, body = yield self._exchange(
            self._request_url, payload, timeout, {b"x-anvilflow-call": [call]}
        )
        match status:
            case 200:
                return True, body
            case 409 | 429 | 503:
                raise WorkerRefusedError(f"the worker refused: {status}")
            case _:
                return False, body

    @inlineCallbacks
    def _control(self, verb, value):
        value["epoch"] = self.epoch
        url = f"{self._base}/{verb}"
        status, body = yield self._exchange(url, encode(value), self.timeout, None)
        match status:
            case 200:
                return body
            case 409 | 429 | 503:
                raise WorkerRefusedError(f"the worker refused {verb}: {status}")
            case _:
                raise WorkerUnreachableError(f"the worker answered {status} to {verb}")

    @inlineCallbacks
    def _exchange(self, url, body, timeout, headers):
        try:
            result = yield self.http.post(url, body, timeout=timeout, headers=headers)
        except (*NOT_SENT, ConnectError, ConnectionRefusedError) as exc:
            raise WorkerRefusedError(f"nothing was sent: {exc!r}") from exc
        except Exception as exc:
            raise WorkerUnreachableError(f"no answer: {exc!r}") from exc
        return result
