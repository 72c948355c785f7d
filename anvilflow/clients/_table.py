"""The platform's transactional table service."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PlatformUnavailableError, PreconditionError
from ..utils import decode_lenient


class Row(Struct, kw_only=True):
    """A row as read; version 0 stands for no row."""

    key: str
    version: int
    value: object


class Condition(Struct, kw_only=True):
    """A row must have this version; 0: must not exist."""

    key: str
    version: int


class Write(Struct, kw_only=True):
    """A row's new value; None deletes it."""

    key: str
    value: object


class TableClient:
    """Reads and conditional transactions over HTTP.

    Parameters
    ----------
    http : HttpClient
    address : Address
    timeout : float
        Wait for an answer. Unit: seconds.
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
        """Return the rows at `keys`, in their order."""
        self.n_reads += 1
        answer = yield self._call("read", {"keys": list(keys)})
        rows = [
            Row(key=key, version=version, value=value) for key, version, value in answer["rows"]
        ]
        return rows

    @inlineCallbacks
    def scan(self, prefix, *, after="", limit=500):
        """Return the rows whose key starts with `prefix` and comes after `after`, sorted."""
        self.n_reads += 1
        answer = yield self._call("scan", {"prefix": prefix, "after": after, "limit": limit})
        return [
            Row(key=key, version=version, value=value) for key, version, value in answer["rows"]
        ]

    @inlineCallbacks
    def scan_all(self, prefix):
        """Return all rows whose key starts with `prefix`, read page by page."""
        rows = []
        page = yield self.scan(prefix)
        while page:
            rows += page
            page = yield self.scan(prefix, after=page[-1].key)
        return rows

    @inlineCallbacks
    def commit(self, conditions, writes):
        """Write all or nothing.

        Raises
        ------
        PreconditionError
            AF403: a condition did not hold, nothing was written.
        PlatformUnavailableError
            AF402: no answer; the writes may or may not have taken effect.
        """
        self.n_commits += 1
        self.n_written += len(writes)
        answer = yield self._call(
            "commit",
            {
                "conditions": [[item.key, item.version] for item in conditions],
                "writes": [[item.key, item.value] for item in writes],
            },
        )
        return answer["version"]

    @inlineCallbacks
    def _call(self, verb, value):
        url = f"http://{self.address}/{verb}"
        try:
            status, body = yield self.http.post_json(url, value, timeout=self.timeout)
        except Exception as exc:
            raise PlatformUnavailableError(f"the table gave no answer: {exc!r}") from exc
        match status:
            case 200:
                return decode_lenient(body)
            case 409:
                raise PreconditionError("a row has changed", details=decode_lenient(body))
            case 429 | 500 | 502 | 503 | 504:
                raise PlatformUnavailableError(f"the table answered {status}")
            case _:
                raise PlatformError(f"the table answered {status}")
