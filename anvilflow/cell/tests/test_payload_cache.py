"""Tests of the payloads that an instance reads for the starts that it sends."""

from types import SimpleNamespace

import pytest
from msgspec import Struct
from twisted.internet.defer import succeed

from anvilflow.cell._payload_cache import PayloadCache
from anvilflow.exceptions import PayloadGoneError
from anvilflow.platform import Row

from ._helpers import JOB

NESTED = b"[" * 20_000 + b"]" * 20_000


class _PayloadStore(Struct):
    """Store with one payload."""

    value: bytes

    def read_row(self, table, part, key):
        """Return the row of the payload."""
        return succeed(Row(table=table, part=part, key=key, version=1, value=self.value))


@pytest.mark.parametrize("value", [NESTED, b"[]", b"\xff", b""])
def test_payload_that_cannot_be_read_counts_as_missing(value):
    """Guards against a payload that ends the relay part of each instance that reads it."""
    context = SimpleNamespace(store=_PayloadStore(value))
    failures = []
    PayloadCache(context=context).find(JOB).addErrback(failures.append)
    assert failures[0].check(PayloadGoneError)
