"""JSON through msgspec, with its errors turned into coded ones."""

import msgspec

from ..exceptions import CallError

encode = msgspec.json.encode
to_builtins = msgspec.to_builtins


def decode(body, kind, *, error=CallError):
    """Decode bytes from outside into `kind`; a misfit raises `error` with the field's path."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise error(str(exc)) from exc


def decode_lenient(body):
    """Decode bytes that one of our own processes wrote."""
    return msgspec.json.decode(body)
