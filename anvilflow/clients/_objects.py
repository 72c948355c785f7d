"""The platform's object store."""

from urllib.parse import quote

from twisted.internet.defer import inlineCallbacks

from ..exceptions import NotFoundError, PlatformUnavailableError


class ObjectClient:
    """Puts and gets whole objects over HTTP.

    Putting the same object again changes nothing, so a put whose answer was lost is repeated.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Wait for an answer. Unit: seconds.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout

    @inlineCallbacks
    def put(self, key, body):
        """Store an object; AF402 without an answer: it may or may not be there."""
        status, _ = yield self._call("put", key, body)
        if status != 200:
            raise PlatformUnavailableError(f"the object store answered {status}")

    @inlineCallbacks
    def get(self, key):
        """Return an object's bytes; AF201 when there is none."""
        status, body = yield self._call("get", key, b"")
        match status:
            case 200:
                return body
            case 404:
                raise NotFoundError(f"object {key} does not exist")
            case _:
                raise PlatformUnavailableError(f"the object store answered {status}")

    @inlineCallbacks
    def _call(self, verb, key, body):
        url = f"http://{self.address}/{verb}/{quote(key)}"
        try:
            result = yield self.http.post(url, body, timeout=self.timeout)
        except Exception as exc:
            raise PlatformUnavailableError(f"the object store gave no answer: {exc!r}") from exc
        return result
