"""Client of the platform's transactional table service."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PlatformUnavailableError, PreconditionError
from ..utils import decode_lenient


class Row(Struct, kw_only=True):
    """A row as read; version 0 means that the row does not exist."""

    key: str
    version: int
    value: object


class Condition(Struct, kw_only=True):
    """Version that a row must have; 0 means that the row must not exist."""

    key: str
    version: int


class Write(Struct, kw_only=True):
    """New value of a row; None deletes the row."""

    key: str
    value: object


class TableClient:
    """Reads rows and commits conditional transactions over HTTP.

    Parameters
    ----------
    http : HttpClient
    address : Address
    timeout : float
        Timeout of a call. Unit: seconds.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout
        self.n_reads = 0
        self.n_commits = 0
        self.n_written = 0

    @inlineCallbacks
    def read(self, keys):
        """Return the rows at `keys`, in the order of `keys`."""
        self.n_reads += 1
        response = yield self._call("read", {"keys": list(keys)})
        rows = [
            Row(key=key, version=version, value=value) for key, version, value in response["rows"]
        ]
        return rows

    @inlineCallbacks
    def scan(self, prefix, *, after="", limit=500):
        """Return up to `limit` rows whose keys start with `prefix` and follow `after`, sorted."""
        self.n_reads += 1
        response = yield self._call("scan", {"prefix": prefix, "after": after, "limit": limit})
        return [
            Row(key=key, version=version, value=value) for key, version, value in response["rows"]
        ]

    @inlineCallbacks
    def scan_all(self, prefix):
        """Return all rows with keys that start with `prefix`, read page by page."""
        rows = []
        page = yield self.scan(prefix)
        while page:
            rows += page
            page = yield self.scan(prefix, after=page[-1].key)
        return rows

    @inlineCallbacks
    def commit(self, conditions, writes):
        """Write all rows or none; return the version of the transaction.

        Raises
        ------
        PreconditionError
            AF403: a condition was not met and nothing was written.
        PlatformUnavailableError
            AF402: there was no response; the writes may or may not have taken effect.
        """
        self.n_commits += 1
        self.n_written += len(writes)
        response = yield self._call(
            "commit",
            {
                "conditions": [[item.key, item.version] for item in conditions],
                "writes": [[item.key, item.value] for item in writes],
            },
        )
        return response["version"]

    @inlineCallbacks
    def _call(self, verb, value):
        url = f"http://{self.address}/{verb}"
        try:
            status, body = yield self.http.post_json(url, value, timeout=self.timeout)
        except Exception as exc:
            raise PlatformUnavailableError(f"no response from the table: {exc!r}") from exc
        match status:
            case 200:
                return decode_lenient(body)
            case 409:
                raise PreconditionError("a row has changed", details=decode_lenient(body))
            case 429 | 500 | 502 | 503 | 504:
                raise PlatformUnavailableError(f"the table responded with status {status}")
            case _:
                raise PlatformError(f"the table responded with status {status}")
