"""Tests of the decoding of the store's answers."""

import pytest
from msgspec import Struct
from twisted.internet.defer import succeed

from anvilflow.platform import StoreClient
from anvilflow.utils import encode


class _Http(Struct):
    """HTTP client that gives the same answer to each call."""

    body: bytes

    def call(self, method, url, body, **values):
        """Return the answer."""
        return succeed((200, self.body))


@pytest.mark.parametrize("text", ["#", "a", "====", "ab cd", "hôte"])
def test_row_that_is_not_base64_leaves_the_other_rows_readable(text):
    """Guards against one row that fails each read of its table."""
    rows = [{"key": "a", "value": text, "ver": 1}, {"key": "b", "value": "W10=", "ver": 2}]
    store = StoreClient(http=_Http(encode({"rows": rows, "ver": 2})), address="s:1", timeout=1.0)
    found, version = store.read("jobs", "").result
    assert [(row.key, row.value) for row in found] == [("a", b""), ("b", b"[]")]
    assert version == 2
