"""Client of the platform's object store."""

from urllib.parse import quote

from twisted.internet.defer import inlineCallbacks

from ..exceptions import NotFoundError, PlatformUnavailableError


class ObjectClient:
    """Stores and fetches whole objects over HTTP.

    Storing an object is idempotent, so a put whose response was lost can be repeated.

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
    def put(self, key, body):
        """Store an object; after AF402 the object may or may not be stored."""
        status, _ = yield self._call("put", key, body)
        if status != 200:
            raise PlatformUnavailableError(f"the object store responded with status {status}")

    @inlineCallbacks
    def get(self, key):
        """Return the bytes of an object; AF201 if the object does not exist."""
        status, body = yield self._call("get", key, b"")
        match status:
            case 200:
                return body
            case 404:
                raise NotFoundError(f"object {key} does not exist")
            case _:
                raise PlatformUnavailableError(f"the object store responded with status {status}")

    @inlineCallbacks
    def _call(self, verb, key, body):
        url = f"http://{self.address}/{verb}/{quote(key)}"
        try:
            result = yield self.http.post(url, body, timeout=self.timeout)
        except Exception as exc:
            raise PlatformUnavailableError(f"no response from the object store: {exc!r}") from exc
        return result
