"""Frames of thrift messages in the accelerated compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from ..exceptions import FrameError
from .gen import ttypes

#: Largest frame that is sent or accepted. Unit: bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=1_000_000
)
_SPEC = ttypes.Message.thrift_spec  # type: ignore[attr-defined]
_FIELD_OF = {spec[3][0]: spec[2] for spec in _SPEC if spec is not None}
_FIELDS = tuple(_FIELD_OF.values())


def wrap(body):
    """Return the :class:`Message` that carries `body`."""
    return ttypes.Message(**{_FIELD_OF[type(body)]: body})


def body_of(message):
    """Return the one body of a message.

    Raises
    ------
    FrameError
        AF501, when no field or one that this version does not know is set.
    """
    for field in _FIELDS:
        body = getattr(message, field)
        if body is not None:
            return body
    raise FrameError("a message has no body that this version knows")


def encode_frame(bodies):
    """Return the bytes of a frame of several bodies."""
    return serialize(ttypes.Frame(messages=[wrap(body) for body in bodies]), _FACTORY)


def decode_frame(data):
    """Return the bodies in a frame; AF501 when it is malformed."""
    frame = ttypes.Frame()
    try:
        deserialize(frame, data, _FACTORY)
    except Exception as exc:  # the C decoder raises many types for malformed input
        raise FrameError(f"a frame of {len(data)} bytes cannot be decoded: {exc!r}") from exc
    if frame.messages is None:
        raise FrameError(f"a frame of {len(data)} bytes has no messages")
    return [body_of(message) for message in frame.messages]
