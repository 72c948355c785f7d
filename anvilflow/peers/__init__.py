"""Message framing and connections between instances."""

from ._codec import MAX_FRAME_BYTES, body_of, decode_frame, encode_frame, wrap
from ._link import Link, LinkFactory

__all__ = [
    "MAX_FRAME_BYTES",
    "Link",
    "LinkFactory",
    "body_of",
    "decode_frame",
    "encode_frame",
    "wrap",
]
