"""Tests of the decoding of untrusted JSON."""

import pytest
from msgspec import Struct

from anvilflow.exceptions import PlatformError
from anvilflow.utils import decode

NESTED = b"[" * 20_000 + b"]" * 20_000


class _Entry(Struct):
    name: str = ""
    value: object = None
    count: int = 0


@pytest.mark.parametrize(
    "body",
    [
        NESTED,
        b'{"unknown": ' + NESTED + b"}",
        b'{"value": ' + NESTED + b"}",
        b'{"value": ' + b'{"a":' * 20_000 + b"1" + b"}" * 20_000 + b"}",
        b'{"count": ' + b"9" * 5_000 + b"}",
        b'{"value": 1e400}',
        b'{"name": "\\ud800"}',
        b"\xff\xfe{\x00",
        b'{"name": 1}',
        b"",
    ],
    ids=[
        "nested",
        "nested in an unknown field",
        "nested in a field of any type",
        "nested objects",
        "integer of 5,000 digits",
        "number out of range",
        "lone surrogate",
        "not UTF-8",
        "wrong type",
        "empty",
    ],
)
def test_value_that_cannot_be_decoded_raises_the_coded_error(body):
    """Guards against an untrusted value that ends the part that reads it."""
    with pytest.raises(PlatformError):
        decode(body, _Entry, error=PlatformError)
