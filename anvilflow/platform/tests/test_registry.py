"""Registry entries of other writers are refused with AF401 and cause no other error."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilflow.exceptions import PlatformError
from anvilflow.platform import decode_worker
from anvilflow.platform._registry import MAX_AMOUNT, MAX_ANNOUNCED_MS
from anvilflow.utils import decode_lenient, encode

#: Registry entry with the fields that every worker writes.
ENTRY = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


def test_complete_entry_describes_a_worker():
    """All known fields are present; an unknown one is ignored."""
    info, error = decode_worker("i-1", encode({**ENTRY, "clock-ms": 482113}))
    assert error is None and info.born_ms is None
    assert (info.service, info.cpu_milli, info.rack, info.draining) == (
        "desk",
        16000,
        "r1-3",
        False,
    )


@pytest.mark.parametrize("field", sorted(set(ENTRY) - {"cold-remaining-ms"}))
def test_entry_without_a_field_is_refused(field):
    """Another writer omits a field that every worker writes."""
    entry = {key: value for key, value in ENTRY.items() if key != field}
    with pytest.raises(PlatformError) as caught:
        decode_worker("i-1", encode(entry))
    assert caught.value.code == "AF401"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", ""),
        ("service", 7),
        ("address", "10.128.0.9"),
        ("address", "10.128.0.9:"),
        ("address", ":8080"),
        ("address", "10.128.0.9:99999"),
        ("address", "10.128.0.9:0"),
        ("address", "10.128.0.9:" + "9" * 5000),
        ("address", "10.128.0.9:0000809999"),
        ("address", "10.128.0.9\r\nx-y: z:80"),
        ("address", "::1:80"),
        ("address", "[::1:80"),
        ("address", "[fe80::1%\r\n]:80"),
        ("address", "h\u00f4te:80"),
        ("address", "a host:80"),
        ("address", "user@host:80"),
        ("address", "10.9.9.9/x?y#:80"),
        ("address", "h" * 100_000 + ":80"),
        ("address", "h." * 130 + "h:80"),
        ("address", ["10.128.0.9", 8080]),
        ("state", "resting"),
        ("state", None),
        ("capacity", {"cpu": -1, "mem-mb": 1}),
        ("capacity", {"cpu": "many", "mem-mb": 1}),
        ("capacity", {"mem-mb": 1}),
        ("labels", "a"),
        ("labels", [1, 2]),
        ("slots", -8),
        ("slots", 2**31),
        ("capacity", {"cpu": 2**31, "mem-mb": 1}),
        ("capacity", {"cpu": 1, "mem-mb": 10**25}),
        ("capacity", {"cpu": 1, "mem-mb": 1, "gpu": 10**400}),
        ("sequence", "4"),
        ("sequence", 2**53),
        ("sequence", -(10**25)),
        ("remaining-ms", -5),
        ("remaining-ms", 1e308),
        ("cold-remaining-ms", 10**25),
        ("cold-remaining-ms", "soon"),
    ],
)
def test_entry_with_an_impossible_value_is_refused(field, value):
    """Another writer uses another type for a field, or a value that no worker has."""
    with pytest.raises(PlatformError) as caught:
        decode_worker("i-1", encode({**ENTRY, field: value}))
    assert caught.value.code == "AF401"


@pytest.mark.parametrize(
    "key",
    [
        "",
        " ",
        "i-1 ",
        "i-1\r\nx-y: z",
        "i-1\n",
        "i-1\x00",
        "i-1\x1b[2J",
        "i-1\u2028",
        "i-1\ud800",
        "i-1@1784863241624",
        "i" * 201,
        "\u00f6" * 101,
        "i" * 100_000,
    ],
    ids=lambda key: ascii(key[:20]),
)
def test_key_that_is_no_id_of_a_worker_is_refused(key):
    """Guards against an id that breaks a request's head, or that equals an incarnation's."""
    with pytest.raises(PlatformError) as caught:
        decode_worker(key, encode(ENTRY))
    assert caught.value.code == "AF401"


@pytest.mark.parametrize(
    "key", ["i-1", "a.b.c..", "i 1", "i@b", "i@1x", "w\u00f6rker-1", "i" * 200]
)
def test_key_that_can_be_an_id_is_kept(key):
    """Guards against a worker that gets no tasks because its id is refused."""
    assert decode_worker(key, encode(ENTRY))[0].registry_id == key


def test_largest_plausible_numbers_are_kept():
    """Guards against a worker that gets no tasks because one of its numbers is large."""
    capacity = {"cpu": MAX_AMOUNT, "mem-mb": MAX_AMOUNT, "gpu": MAX_AMOUNT}
    numbers = {"slots": MAX_AMOUNT, "sequence": 2**53 - 1, "remaining-ms": MAX_ANNOUNCED_MS}
    info, _ = decode_worker("i-1", encode({**ENTRY, **numbers, "capacity": capacity}))
    assert (info.cpu_milli, info.memory_mb, info.accelerators) == (MAX_AMOUNT,) * 3
    assert info.leaves_in_s == MAX_ANNOUNCED_MS / 1000


@pytest.mark.parametrize(
    "address", ["10.128.0.9:8080", "w-1.zone-2.example.:1", "[2001:db8::1]:65535", "w0:1"]
)
def test_address_that_can_be_used_is_kept(address):
    """Guards against a worker that gets no tasks because its address is refused."""
    assert decode_worker("i-1", encode({**ENTRY, "address": address}))[0].address == address


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_bytes_are_read_or_refused(body):
    """Bytes that cannot be read are refused with the code, never with another error."""
    with pytest.raises(PlatformError):
        decode_worker("i-1", body)


@given(st.sampled_from(sorted(ENTRY)), JSON)
@settings(max_examples=400, deadline=None, derandomize=True)
def test_nearly_right_entries_are_read_or_refused(field, value):
    """One field has any value: the entry is refused, or what is read is what was written."""
    body = encode({**ENTRY, field: value})
    try:
        info, _ = decode_worker("i-1", body)
    except PlatformError:
        return
    entry = decode_lenient(body)
    host, _, port = info.address.rpartition(":")
    assert host and 0 < int(port) <= 65535
    assert info.cpu_milli >= 0 and info.memory_mb >= 0 and info.accelerators >= 0
    assert (info.service, list(info.labels)) == (entry["service"], entry["labels"])
    assert info.draining == (entry["state"] == "draining")


@pytest.mark.parametrize("value", [0, 1_784_863_241_624, 2**53 - 1])
def test_start_time_of_an_entry_is_read(value):
    """The start time is any whole number of milliseconds that is exact in JSON."""
    info, error = decode_worker("i-1", encode({**ENTRY, "born": value}))
    assert (info.born_ms, error) == (value, None)


@pytest.mark.parametrize("value", [-1, 1.5, True, "1784863241624", [], {}, 2**53, 1e300])
def test_invalid_start_time_is_reported_and_the_worker_kept(value):
    """Guards against a worker that gets no tasks because its start time cannot be understood."""
    info, error = decode_worker("i-1", encode({**ENTRY, "born": value}))
    assert info.born_ms is None
    assert error.code == "AF406"
