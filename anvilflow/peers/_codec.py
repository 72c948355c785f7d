"""Encoding and decoding of frames of thrift messages, in the accelerated compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from ..exceptions import FrameError
from .gen import ttypes

#: Largest frame that is sent or accepted.
MAX_FRAME_BYTES = 4 * 1024 * 1024

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=1_000_000
)
_SPEC = ttypes.Message.thrift_spec  # type: ignore[attr-defined]
_FIELD_OF = {spec[3][0]: spec[2] for spec in _SPEC if spec is not None}
_FIELDS = tuple(_FIELD_OF.values())


def wrap(body):
    """Return a :class:`Message` with `body` in the field of its type."""
    return ttypes.Message(**{_FIELD_OF[type(body)]: body})


def body_of(message):
    """Return the body of a message.

    Raises
    ------
    FrameError
        AF501, when no field is set or only a field that this version does not support.
    """
    for field in _FIELDS:
        body = getattr(message, field)
        if body is not None:
            return body
    raise FrameError("message has no body of a type that this version supports")


def encode_frame(bodies):
    """Return the bytes of a frame with a message for each of `bodies`."""
    return serialize(ttypes.Frame(messages=[wrap(body) for body in bodies]), _FACTORY)


def decode_frame(data):
    """Return the bodies in a frame; raise AF501 when the frame is malformed."""
    frame = ttypes.Frame()
    try:
        deserialize(frame, data, _FACTORY)
    except Exception as exc:  # the C decoder raises exceptions of many types
        raise FrameError(f"frame of {len(data)} bytes cannot be decoded: {exc!r}") from exc
    if frame.messages is None:
        raise FrameError(f"frame of {len(data)} bytes has no list of messages")
    return [body_of(message) for message in frame.messages]
