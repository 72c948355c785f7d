"""Client of the advice service, which returns the workers that a queue's policy allows."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PlatformUnavailableError
from ..utils import decode, encode
from ._wire import Wire


class Advice(Struct, kw_only=True):
    """Tickets by allowed worker, and the time for which they are valid. Unit: seconds."""

    tickets: dict[str, str]
    valid_s: float


class _WireAdvice(Wire):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0


class AdviceClient:
    """Requests advice from the advice service.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Timeout of a call. Unit: seconds.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout

    @inlineCallbacks
    def ask(self, step, workers):
        """Return the :class:`Advice` for a step and a list of workers."""
        body = encode({"step": step, "workers": workers})
        headers = {b"content-type": [b"application/json"]}
        url = f"http://{self.address}/-/advise"
        try:
            status, response = yield self.http.post(
                url, body, timeout=self.timeout, headers=headers
            )
        except Exception as exc:
            raise PlatformUnavailableError(f"no response from the advice service: {exc!r}") from exc
        if status != 200:
            raise PlatformUnavailableError(f"the advice service responded with status {status}")
        wire = decode(response, _WireAdvice, error=PlatformError)
        return Advice(tickets=dict(wire.good), valid_s=wire.valid_ms / 1000)
