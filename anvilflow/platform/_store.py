"""Client of the metadata store: versioned rows, conditional transactions and change feeds."""

import base64
from collections import Counter
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

#: Additional time for the response of a feed after its wait. Unit: seconds.
FEED_GRACE_S = 1.0

#: Maximum number of rows of a page, a limit of the platform.
PAGE_ROWS = 500


class Row(Struct, kw_only=True):
    """A row as read; `value` is None if the row was removed."""

    table: str
    part: str
    key: str
    version: int
    value: bytes | None


class RowCondition(Struct, kw_only=True):
    """Version that a row must have; 0 means that the row must not exist."""

    table: str
    part: str
    key: str
    version: int


class RowWrite(Struct, kw_only=True):
    """New value of a row; None removes the row."""

    table: str
    part: str
    key: str
    value: bytes | None


class _WireRow(Struct):
    """Row on the wire; ``ver`` is its version, ``tombstone`` marks a removed row."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False

    def to_row(self):
        """Return the row as a :class:`Row`."""
        value = None if self.tombstone else _decode_value(self.value)
        return Row(table=self.table, part=self.part, key=self.key, version=self.ver, value=value)


def _decode_value(text):
    """Return the bytes in a row's value; none where it is not base64.

    The reader of the row then refuses its content, as it does that of any malformed row. An error
    here would fail each read of the whole table.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


class _WireResponse(Struct):
    rows: list[_WireRow] = []
    ver: int = 0
    now_ms: int = field(default=0, name="now-ms")
    truncated: bool = False


def _no_op():
    """Do nothing."""


def _has_rows(status):
    """Whether a response with this status contains rows.

    A refusal contains none. Taken for the beginning of a change, each refusal of a feed, four a
    second, would abort the read that does return the change.
    """
    return status == 200


class StoreClient:
    """Reads, writes and follows rows of the store over HTTP.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Timeout until the response begins, and longest pause in the response. Unit: seconds.

    Notes
    -----
    The operator determines the size of the configuration, and clients the number of jobs: over a
    link of 5 Mbit/s a complete response takes seconds. Every attempt would exceed a timeout for the
    whole response; a timeout for its pauses still detects a connection that delivers nothing.

    `calls` counts the calls by kind and table; a transaction counts under its last row's table.

    :class:`PlatformRefusedError` means that nothing was done. :class:`PlatformUnavailableError`
    means that a write may have taken effect, or may take effect seconds later.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout
        self.calls = Counter()

    @property
    def n_reads(self):
        """Number of reads and feeds so far."""
        return sum(n for (kind, _), n in self.calls.items() if kind != "write")

    @property
    def n_writes(self):
        """Number of transactions so far."""
        return sum(n for (kind, _), n in self.calls.items() if kind == "write")

    @inlineCallbacks
    def commit(self, conditions, writes, *, timeout=None):
        """Write all rows or none; return the new version of the written rows.

        Parameters
        ----------
        conditions : list of RowCondition
        writes : list of RowWrite
        timeout : float, default=None
            Timeout of the call; None uses that of the client. Unit: seconds.

        Raises
        ------
        PreconditionError
            AF403; its ``details["rows"]`` are the current rows of the conditions.
        """
        self.calls["write", (writes or conditions)[-1].table] += 1
        body = {
            "expected-rev": [_wire_condition(item) for item in conditions],
            "writes": [_wire_write(item) for item in writes if item.value is not None],
            "remove": [_wire_key(item) for item in writes if item.value is None],
        }
        wait = self.timeout if timeout is None else timeout
        status, response = yield self._call(b"POST", "rows-tx", encode(body), wait)
        if status == 412:
            rows = [
                row.to_row() for row in decode(response, _WireResponse, error=PlatformError).rows
            ]
            raise PreconditionError("a row has changed", details={"rows": rows})
        _check_done(status)
        return decode(response, _WireResponse, error=PlatformUnavailableError).ver

    @inlineCallbacks
    def read(self, table, part, *, first="", end="", timeout=None, on_begin=_no_op):
        """Return the rows of a part from key `first` up to `end`, and the newest version.

        The rows are read page by page. The version is that of the first page, so that a feed that
        continues from it includes all changes made between the pages. `on_begin` is called when a
        page begins to arrive.
        """
        rows = []
        version = None
        while True:
            self.calls["read", table] += 1
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if first:
                query["from"] = first
            if end:
                query["target"] = end
            path = f"rows-get?{urlencode(query)}"
            wait = self.timeout if timeout is None else timeout
            status, body = yield self._call(b"GET", path, b"", wait, on_begin)
            _check_done(status)
            response = decode(body, _WireResponse, error=PlatformUnavailableError)
            version = response.ver if version is None else version
            rows += [row.to_row() for row in response.rows]
            if not response.truncated or not response.rows:
                return rows, version
            first = response.rows[-1].key + "\0"

    @inlineCallbacks
    def read_row(self, table, part, key, *, timeout=None):
        """Return the row at `key`, or None if it does not exist."""
        rows, _ = yield self.read(table, part, first=key, end=key + "\0", timeout=timeout)
        return rows[0] if rows else None

    @inlineCallbacks
    def follow(self, table, version, *, wait_s, answer_s=None, on_begin=_no_op):
        """Return the changes of a table after `version`, and the version to continue from.

        Parameters
        ----------
        table : str
        version : int
        wait_s : float
            Longest wait for a change. Unit: seconds.
        answer_s : float, default=None
            Time after that wait within which the response must begin; None uses the timeout of the
            client plus ``FEED_GRACE_S``. Unit: seconds.
        on_begin : callable
            Called when rows begin to arrive.

        Raises
        ------
        RevisionGoneError
            AF203, if the store no longer keeps the changes after `version`: read the table again.
        """
        self.calls["follow", table] += 1
        query = urlencode({"table": table, "after": version, "wait-ms": int(wait_s * 1000)})
        answer_s = self.timeout + FEED_GRACE_S if answer_s is None else answer_s
        status, body = yield self._call(
            b"GET", f"rows-feed?{query}", b"", wait_s + answer_s, on_begin, held_s=wait_s
        )
        if status == 410:
            raise RevisionGoneError(f"changes of {table} after {version} are no longer kept")
        _check_done(status)
        response = decode(body, _WireResponse, error=PlatformUnavailableError)
        return [row.to_row() for row in response.rows], response.ver

    @inlineCallbacks
    def _call(self, method, path, body, timeout, on_begin=_no_op, held_s=0.0):
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
                on_begin=lambda status: on_begin() if _has_rows(status) else None,
                headers=headers,
            )
        except NOT_SENT as exc:
            raise PlatformRefusedError(f"no connection to the store: {exc!r}") from exc
        except Exception as exc:
            raise PlatformUnavailableError(f"no response from the store: {exc!r}") from exc
        return result


def _check_done(status):
    match status:
        case 200:
            return
        case 429 | 503:
            raise PlatformRefusedError(
                f"the store refused the call with status {status}; nothing was done"
            )
        case 400 | 403 | 404 | 413:
            raise PlatformError(f"the store responded with status {status}")
        case _:
            raise PlatformUnavailableError(f"the store responded with status {status}")


def _wire_key(item):
    return {"table": item.table, "part": item.part, "key": item.key}


def _wire_condition(item):
    return {**_wire_key(item), "ver": item.version}


def _wire_write(item):
    return {**_wire_key(item), "value": base64.b64encode(item.value).decode("ascii")}
