"""JSON encoding and decoding with msgspec, whose errors become exceptions with error codes."""

import msgspec

from ..exceptions import CallError

encode = msgspec.json.encode
to_builtins = msgspec.to_builtins


def decode(body, kind, *, error=CallError):
    """Decode untrusted bytes as type `kind`; raise `error` with the field's path on a mismatch.

    Values nested deeper than the interpreter's recursion limit raise `error`, too.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise error(str(exc)) from exc


def decode_lenient(body):
    """Decode bytes that a process of this project wrote, without a type check."""
    return msgspec.json.decode(body)
