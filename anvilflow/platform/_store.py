"""The platform's metadata store: versioned rows, conditional transactions, feeds."""

import base64
from urllib.parse import urlencode

from msgspec import Struct, field
from twisted.internet.defer import inlineCallbacks

from ..clients import NOT_SENT
from ..exceptions import (
    PlatformError,
    PlatformRefusedError,
    PlatformUnavailableError,
    PreconditionError,
    RevisionGoneError,
)
from ..utils import decode, encode

#: The feed's answer may come this much after its wait. Unit: seconds.
FEED_GRACE_S = 1.0

#: Rows of one page; the platform's own limit.
PAGE_ROWS = 500


class Row(Struct, kw_only=True):
    """A row as read; `value` is None for a row that was removed."""

    table: str
    part: str
    key: str
    version: int
    value: bytes | None


class RowCondition(Struct, kw_only=True):
    """The row must have this version; 0: it must not exist."""

    table: str
    part: str
    key: str
    version: int


class RowWrite(Struct, kw_only=True):
    """A row's new value; None removes it."""

    table: str
    part: str
    key: str
    value: bytes | None


class _WireRow(Struct):
    """A row on the wire; ``ver`` is its version, ``tombstone`` marks one that was removed."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False

    def to_row(self):
        """Return the row in our terms."""
        value = None if self.tombstone else base64.b64decode(self.value)
        return Row(table=self.table, part=self.part, key=self.key, version=self.ver, value=value)


class _Answer(Struct):
    rows: list[_WireRow] = []
    ver: int = 0
    now_ms: int = field(default=0, name="now-ms")
    truncated: bool = False


def _nothing():
    """Take no notice."""


def _brings_rows(status):
    """Whether an answer's status says that what was asked for follows.

    A refusal brings nothing. Taken for the beginning of a change it broke off the reading that did
    bring it, four times a second where the feed was refused.
    """
    return status == 200


class StoreClient:
    """Calls to the store.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Wait for an answer to begin, and longest pause in it. Unit: seconds.

    Notes
    -----
    The operator decides how large a configuration is, and callers how many jobs there are: over a
    link of 5 Mbit/s a whole answer takes seconds. A limit on all of it would be passed by each try
    anew; one on its pauses still finds a connection that has gone silent.

    :class:`PlatformRefusedError` says that nothing was done. :class:`PlatformUnavailableError` says
    that a write may have been done, or may be done seconds later.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout
        self.n_reads = 0
        self.n_writes = 0

    @inlineCallbacks
    def commit(self, conditions, writes, *, timeout=None):
        """Write all or nothing; return the new version of every row written.

        Parameters
        ----------
        conditions : list of RowCondition
        writes : list of RowWrite
        timeout : float, default=None
            Wait for the answer, in place of the client's own. Unit: seconds.

        Raises
        ------
        PreconditionError
            AF403; its ``details["rows"]`` are the rows of the conditions as they are.
        """
        self.n_writes += 1
        body = {
            "expected-rev": [_wire_condition(item) for item in conditions],
            "writes": [_wire_write(item) for item in writes if item.value is not None],
            "remove": [_wire_key(item) for item in writes if item.value is None],
        }
        wait = self.timeout if timeout is None else timeout
        status, answer = yield self._call(b"POST", "rows-tx", encode(body), wait)
        if status == 412:
            rows = [row.to_row() for row in decode(answer, _Answer, error=PlatformError).rows]
            raise PreconditionError("a row has changed", details={"rows": rows})
        _check_done(status)
        return decode(answer, _Answer, error=PlatformUnavailableError).ver

    @inlineCallbacks
    def read(self, table, part, *, first="", end="", timeout=None, on_begin=_nothing):
        """Return the rows of a part from key `first` up to `end`, and the newest version.

        Read page by page; the version is that of the first page, so that a feed that goes on from
        there misses nothing that changed between the pages. `on_begin` is called when a page
        begins to arrive.
        """
        rows = []
        version = None
        while True:
            self.n_reads += 1
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if first:
                query["from"] = first
            if end:
                query["target"] = end
            path = f"rows-get?{urlencode(query)}"
            wait = self.timeout if timeout is None else timeout
            status, body = yield self._call(b"GET", path, b"", wait, on_begin)
            _check_done(status)
            answer = decode(body, _Answer, error=PlatformUnavailableError)
            version = answer.ver if version is None else version
            rows += [row.to_row() for row in answer.rows]
            if not answer.truncated or not answer.rows:
                return rows, version
            first = answer.rows[-1].key + "\0"

    @inlineCallbacks
    def read_row(self, table, part, key, *, timeout=None):
        """Return one row, or None when there is none."""
        rows, _ = yield self.read(table, part, first=key, end=key + "\0", timeout=timeout)
        return rows[0] if rows else None

    @inlineCallbacks
    def follow(self, table, version, *, wait_s, answer_s=None, on_begin=_nothing):
        """Return the changes of a table after `version`, and the version to go on from.

        Parameters
        ----------
        table : str
        version : int
        wait_s : float
            Longest wait for a change. Unit: seconds.
        answer_s : float, default=None
            Time after that wait in which the answer has to begin, in place of the client's own with
            a grace. Unit: seconds.
        on_begin : callable
            Called when rows begin to arrive.

        Raises
        ------
        RevisionGoneError
            AF203, when the store has dropped that much of its history: read the table again.
        """
        self.n_reads += 1
        query = urlencode({"table": table, "after": version, "wait-ms": int(wait_s * 1000)})
        answer_s = self.timeout + FEED_GRACE_S if answer_s is None else answer_s
        status, body = yield self._call(
            b"GET", f"rows-feed?{query}", b"", wait_s + answer_s, on_begin, held_s=wait_s
        )
        if status == 410:
            raise RevisionGoneError(f"changes of {table} after {version} are no longer kept")
        _check_done(status)
        answer = decode(body, _Answer, error=PlatformUnavailableError)
        return [row.to_row() for row in answer.rows], answer.ver

    @inlineCallbacks
    def _call(self, method, path, body, timeout, on_begin=_nothing, held_s=0.0):
        url = f"http://{self.address}/-/{path}"
        headers = {b"content-type": [b"application/json"]} if body else None
        try:
            result = yield self.http.call(
                method,
                url,
                body,
                timeout=timeout,
                held_s=held_s,
                idle_timeout=self.timeout,
                on_begin=lambda status: on_begin() if _brings_rows(status) else None,
                headers=headers,
            )
        except NOT_SENT as exc:
            raise PlatformRefusedError(f"the store was not reached: {exc!r}") from exc
        except Exception as exc:
            raise PlatformUnavailableError(f"the store gave no answer: {exc!r}") from exc
        return result


def _check_done(status):
    match status:
        case 200:
            return
        case 429 | 503:
            raise PlatformRefusedError(f"the store answered {status}: nothing was done")
        case 400 | 403 | 404 | 413:
            raise PlatformError(f"the store answered {status}")
        case _:
            raise PlatformUnavailableError(f"the store answered {status}")


def _wire_key(item):
    return {"table": item.table, "part": item.part, "key": item.key}


def _wire_condition(item):
    return {**_wire_key(item), "ver": item.version}


def _wire_write(item):
    return {**_wire_key(item), "value": base64.b64encode(item.value).decode("ascii")}
