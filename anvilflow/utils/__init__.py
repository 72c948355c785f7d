"""Value checks, JSON and timing helpers, shared by all packages."""

from ._checks import check_fraction, check_name, check_one_of, check_positive
from ._json import decode, decode_lenient, encode, to_builtins
from ._timing import Ticker, jitter

__all__ = [
    "Ticker",
    "check_fraction",
    "check_name",
    "check_one_of",
    "check_positive",
    "decode",
    "decode_lenient",
    "encode",
    "jitter",
    "to_builtins",
]
