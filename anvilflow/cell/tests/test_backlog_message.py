"""The leader's report on the work ahead in its heartbeats: round trip, size and invalid values."""

import pytest
from msgspec import structs
from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
    TCompactProtocolFactory,
)
from thrift.TSerialization import deserialize, serialize

from anvilflow.admission import BacklogReport, QueueWait
from anvilflow.cell._backlog_message import MAX_DELAY_MS, read_report, write_report
from anvilflow.peers import decode_frame, encode_frame
from anvilflow.peers.gen.ttypes import CapacityWait, HomeBeat

WAIT = QueueWait(
    service="s",
    priority=2,
    wait_s=20.5,
    guaranteed_wait_s=1.25,
    rate_milli=8_000.0,
    inflow=0.5,
    objective_s=4.25,
)
REPORT = BacklogReport(
    start_delays={0: 2.0, 2: 3.5},
    waits=(WAIT,),
    excess_accounts=frozenset({"loud"}),
    n_instances=7,
)


def make_heartbeat(report=REPORT):
    """Return a heartbeat with a report."""
    heartbeat = HomeBeat(term=1, config_version=1, yielding=False, successors=[])
    write_report(heartbeat, report)
    return heartbeat


def test_report_survives_a_round_trip():
    (decoded,) = decode_frame(encode_frame([make_heartbeat()]))
    assert read_report(decoded) == (REPORT, None)


def test_generated_code_matches_its_table():
    """Guards against the plain and the accelerated encoding of the new fields that differ."""
    heartbeat = make_heartbeat()
    accelerated = serialize(heartbeat, TCompactProtocolAcceleratedFactory())
    plain = serialize(heartbeat, TCompactProtocolFactory())
    assert plain == accelerated
    assert deserialize(HomeBeat(), plain, TCompactProtocolFactory()) == heartbeat


class _FormerHeartbeat(HomeBeat):
    """Heartbeat as the earlier release decodes it."""

    thrift_spec = HomeBeat.thrift_spec[:13]


def test_earlier_release_skips_the_new_fields():
    data = serialize(make_heartbeat(), TCompactProtocolAcceleratedFactory())
    decoded = deserialize(_FormerHeartbeat(), data, TCompactProtocolAcceleratedFactory())
    assert decoded.term == 1
    assert decoded.start_waits == {0: 2000, 2: 3500}
    assert (decoded.capacity_waits, decoded.excess_accounts, decoded.n_instances) == (None,) * 3


def test_report_of_an_earlier_release_has_no_waits():
    heartbeat = HomeBeat(term=1, config_version=1, yielding=False, start_waits={0: 1500})
    assert read_report(heartbeat) == (BacklogReport(start_delays={0: 1.5}), None)


def test_nothing_to_report_takes_no_space():
    empty = make_heartbeat(BacklogReport(n_instances=9))
    plain = HomeBeat(term=1, config_version=1, yielding=False, successors=[])
    assert encode_frame([empty]) == encode_frame([plain])


def test_report_takes_less_than_two_kilobytes():
    waits = tuple(
        QueueWait(
            service=f"service-{number:050d}",
            priority=number,
            wait_s=3000.0 - number,
            guaranteed_wait_s=3000.0,
            rate_milli=9e8,
            inflow=900.0,
            objective_s=3000.0,
        )
        for number in range(500)
    )
    accounts = frozenset(f"account-{number:030d}" for number in range(500))
    report = BacklogReport(waits=waits, excess_accounts=accounts, n_instances=100)
    n_bytes = len(encode_frame([make_heartbeat(report)]))
    assert n_bytes < 2000 + len(encode_frame([make_heartbeat(BacklogReport())]))
    decoded, error = read_report(make_heartbeat(report))
    assert error is None
    assert decoded.waits[0].wait_s == 3000.0
    assert decoded.excess_accounts


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("wait_ms", -1),
        ("wait_ms", float("nan")),
        ("wait_ms", float("inf")),
        ("wait_ms", 2**31 - 1),
        ("wait_ms", None),
        ("guaranteed_ms", -5),
        ("rate_milli", -1),
        ("rate_milli", None),
        ("inflow_permille", 2**31 - 1),
        ("objective_ms", -1),
        ("priority", None),
        ("service_name", None),
        ("service_name", ""),
    ],
)
def test_wait_that_cannot_be_true_is_left_out(field, value):
    """Guards against refusals because of a leader's fault."""
    heartbeat = make_heartbeat()
    valid = heartbeat.capacity_waits[0]
    invalid = CapacityWait(*(getattr(valid, name) for name in CapacityWait.__slots__))
    setattr(invalid, field, value)
    heartbeat.capacity_waits = [invalid, valid]
    report, error = read_report(heartbeat)
    assert report.waits == (WAIT,)
    assert error.code == "AF503"


def test_start_delay_that_cannot_be_true_is_left_out():
    heartbeat = HomeBeat(start_waits={0: -1, 1: 1000})
    report, error = read_report(heartbeat)
    assert report.start_delays == {1: 1.0}
    assert error.code == "AF503"


@pytest.mark.parametrize(
    ("delay_s", "read_s"),
    [(4000.0, 4000.0), (1e9, MAX_DELAY_MS / 1000), (float("inf"), MAX_DELAY_MS / 1000)],
)
def test_long_start_delay_is_not_taken_for_none(delay_s, read_s):
    """Guards against accepting jobs just when starts wait longest."""
    (decoded,) = decode_frame(
        encode_frame([make_heartbeat(BacklogReport(start_delays={0: delay_s}))])
    )
    assert read_report(decoded) == (BacklogReport(start_delays={0: read_s}), None)


def test_start_delay_beyond_the_field_counts_as_the_longest():
    heartbeat = HomeBeat(start_waits={0: MAX_DELAY_MS + 1})
    assert read_report(heartbeat) == (BacklogReport(start_delays={0: MAX_DELAY_MS / 1000}), None)


def test_wait_of_a_negative_priority_survives_a_round_trip():
    """Guards against dropping the whole wait of a queue with a negative priority."""
    report = BacklogReport(waits=(structs.replace(WAIT, priority=-3),))
    (decoded,) = decode_frame(encode_frame([make_heartbeat(report)]))
    assert read_report(decoded) == (structs.replace(report, n_instances=1), None)
