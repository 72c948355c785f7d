"""Tests that a configuration with odd values leaves the last one in force."""

import pytest

from anvilflow.utils import decode_lenient, encode

from ._helpers import JOB, STEP, make_cell

NESTED = "[" * 20_000 + "]" * 20_000

#: Section, field and value as JSON text; a section of None is the configuration itself.
ODD_VALUES = [
    (None, "extra", NESTED),
    (None, "version", NESTED),
    *[
        (section, field, number)
        for number in ("9" * 25, "9" * 400, "1e308", "-" + "9" * 25)
        for section, field in (
            (None, "version"),
            ("routes", "priority"),
            ("routes", "max-attempts"),
            ("routes", "stretch"),
            ("routes", "target-latency-ms"),
            ("routes", "timeout-ms"),
            ("limits", "max-body-bytes"),
            ("limits", "idle-timeout-ms"),
        )
    ],
]


def _odd_config(config, section, field, value):
    """Return the bytes of the next version of a configuration with an odd value."""
    config = decode_lenient(encode(config)) | {"version": config["version"] + 1}
    config.setdefault("limits", {})
    targets = {None: [config], "routes": config["routes"], "limits": [config["limits"]]}
    for target in targets[section]:
        target[field] = "odd value"
    return encode(config).replace(b'"odd value"', value.encode())


@pytest.mark.parametrize(
    ("section", "field", "value"),
    ODD_VALUES,
    ids=[f"{field} {value[:3]} {len(value)}" for _, field, value in ODD_VALUES],
)
def test_odd_configuration_leaves_the_last_one_in_force(section, field, value):
    """Guards against a number that fails each heartbeat of the leader, or each call of a client."""
    cell = make_cell(n_instances=3)
    config = cell.store.value("op", "config")
    odd = _odd_config(config, section, field, value)
    cell.store._write([("op", "", "config", odd)])
    cell.advance(1.0)
    if field != "extra":
        versions = {daemon.context.config.version for daemon in cell.daemons.values()}
        assert versions == {config["version"]}
    answers = cell.submit("a0", JOB, STEP, spec="0.3 done 1000")
    cell.advance(2.0)
    assert answers[0][0] == 200
    assert cell.state("a1", JOB) == "completed"
    assert cell.store.value("home", "home", part="cell")["term"] == 1
