"""Client of a worker; the contract is in docs/CONTRACTS.md."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectError, ConnectionRefusedError

from ..exceptions import WorkerRefusedError, WorkerUnreachableError
from ..resources import Amounts
from ..utils import decode, encode
from ._http import NOT_SENT


class FinishedTask(Struct, kw_only=True):
    """A task that has ended; the worker keeps its result until the owner sends ``forget``."""

    hold_id: str
    ok: bool
    result: str


class ClaimReport(Struct, kw_only=True):
    """Response of a worker to the claim of a new owner."""

    epoch: int
    clock: float
    capacity: Amounts
    tasks: list[tuple[str, Amounts]]
    finished: list[FinishedTask]
    requests: list[tuple[str, Amounts]]


class SyncReport(Struct, kw_only=True):
    """Response of a worker to the lease renewals of its owner."""

    clock: float
    tasks: list[str]
    finished: list[FinishedTask]
    requests: list[str]


class WorkerClient:
    """Sends calls to one worker under one ownership epoch.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Timeout of a control call. Unit: seconds.

    Notes
    -----
    A refusal (HTTP 409, 429 or 503) means that the worker did nothing and raises
    :class:`WorkerRefusedError`. A missing or incomplete response raises
    :class:`WorkerUnreachableError`: the worker may or may not have acted on the call.
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
        """Renew leases, stop tasks and release results; return a :class:`SyncReport`.

        Parameters
        ----------
        renew : list of (str, float)
            Hold ids, each with the end of its lease on the worker's clock.
        stop : list of str
            Hold ids of the tasks to stop.
        forget : list of str
            Hold ids of the ended tasks whose results the worker may delete.
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
        """Run a service request; return whether it succeeded and the response body.

        The worker refuses a request that arrives after `until` on the worker's clock.
        """
        call = encode([self.epoch, request_id, workload, needs, until])
        status, body = yield self._exchange(
            self._request_url, payload, timeout, {b"x-anvilflow-call": [call]}
        )
        match status:
            case 200:
                return True, body
            case 409 | 429 | 503:
                raise WorkerRefusedError(f"the worker refused the request with status {status}")
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
                raise WorkerRefusedError(f"the worker refused {verb} with status {status}")
            case _:
                raise WorkerUnreachableError(f"the worker responded with status {status} to {verb}")

    @inlineCallbacks
    def _exchange(self, url, body, timeout, headers):
        try:
            result = yield self.http.post(url, body, timeout=timeout, headers=headers)
        except (*NOT_SENT, ConnectError, ConnectionRefusedError) as exc:
            raise WorkerRefusedError(f"the call was not sent: {exc!r}") from exc
        except Exception as exc:
            raise WorkerUnreachableError(f"no response from the worker: {exc!r}") from exc
        return result
