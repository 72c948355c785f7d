"""Encoding of frames between instances: round trips and malformed frames."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from anvilflow.exceptions import FrameError
from anvilflow.peers import decode_frame, encode_frame
from anvilflow.peers.gen.ttypes import Digest, ForwardRequest, Heartbeat, RequestEnded, Shape

FIXED = settings(
    max_examples=2000,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def make_bodies():
    """Return message bodies of several types."""
    shape = Shape(cpu_milli=16_000, memory_mb=32_768, accelerators=0, slots=8)
    digest = Digest(
        n_workers=3,
        free_service_slots=5,
        free_task_slots=4,
        n_queued=0,
        n_holds_queued=1,
        shapes=[shape],
    )
    return [
        Heartbeat(sequence=1, revision=9, leaving=False, digest=digest, leaving_workers=["w1"]),
        ForwardRequest(
            request_id="r#0", customer="c", workload="w", payload=b"\x00\xff", remaining_ms=5
        ),
        RequestEnded(request_id="r#0", outcome="completed", result=b"x", waited=0.5),
    ]


def test_bodies_survive_a_round_trip_in_order():
    assert decode_frame(encode_frame(make_bodies())) == make_bodies()


@FIXED
@given(data=st.binary(max_size=200))
def test_garbage_is_a_coded_error(data):
    try:
        decode_frame(data)
    except FrameError as exc:
        assert exc.code == "AF501"


@FIXED
@given(cut=st.integers(0, 200), flips=st.lists(st.tuples(st.integers(0, 150), st.integers(0, 255))))
def test_damaged_frame_is_a_coded_error_or_a_frame(cut, flips):
    data = bytearray(encode_frame(make_bodies()))
    for position, value in flips:
        if position < len(data):
            data[position] = value
    try:
        decode_frame(bytes(data[:cut]))
    except FrameError as exc:
        assert exc.code == "AF501"


def test_frame_without_known_body_is_refused():
    with pytest.raises(FrameError):
        decode_frame(b"\x19\x1c\x00\x00")
