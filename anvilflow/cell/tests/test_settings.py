"""Settings of an instance: invalid ones are refused with a code and the path of the key."""

import pytest

from anvilflow.cell import load_cell_settings
from anvilflow.exceptions import SettingsError

VALID_SETTINGS = """// filled by the platform
{
  "instance": "a1", "failure_domain": "z1", "store": "10.0.0.9:80", "new-field": 3,
  "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2", "peers": "10.0.0.1:3"},
  "bounds": {"max_lease_s": 6000e-3}
}"""


def write(tmp_path, text):
    """Write a settings file; return its path."""
    path = tmp_path / "settings.json"
    path.write_text(text, encoding="utf-8")
    return path


def test_valid_settings_are_read_and_unknown_keys_ignored(tmp_path):
    """The platform may send new fields; missing fields have their defaults."""
    settings = load_cell_settings(write(tmp_path, VALID_SETTINGS))
    assert (settings.instance, settings.bounds.max_lease_s) == ("a1", 6.0)
    assert settings.bounds.status_kept_s == 120.0


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ('"instance": "a1"', '"instance": 7', "$.instance"),
        ('"store": "10.0.0.9:80", ', "", "store"),
        ('"10.0.0.1:2"', '"nowhere"', "$.listen.ready"),
        ('"new-field": 3', '"orders": "heartbeat"', "$.orders"),
        ('"instance"', "instance:", "not JSON"),
        ('"new-field": 3', '"cpu_share": "much"', "$.cpu_share"),
        ('"new-field": 3', '"cores": true', "$.cores"),
        ('"new-field": 3', '"scheduling": {"reserve": 0.2}', "$.scheduling"),
        ('"new-field": 3', '"scheduling": {"ask_times": 0.5}', "$.scheduling.ask_times"),
        ('"new-field": 3', '"scheduling": {"reserve_share": 1.5}', "$.scheduling.reserve_share"),
        ('"new-field": 3', '"scheduling": {"max_reserved": -1}', "$.scheduling.max_reserved"),
    ],
)
def test_invalid_settings_are_refused(tmp_path, before, after, expected):
    """The error has the code AF101 and the path of the invalid key."""
    with pytest.raises(SettingsError) as caught:
        load_cell_settings(write(tmp_path, VALID_SETTINGS.replace(before, after)))
    assert caught.value.code == "AF101"
    assert expected in str(caught.value)


def test_missing_file_is_refused(tmp_path):
    """The error message contains the path of the file."""
    with pytest.raises(SettingsError, match="nothing-here"):
        load_cell_settings(tmp_path / "nothing-here")


def test_scheduling_policy_is_read_and_defaults_stay(tmp_path):
    """An operator sets one threshold to null, which disables it; the others keep their defaults."""
    text = VALID_SETTINGS.replace('"new-field": 3', '"scheduling": {"preempt_s": null}')
    policy = load_cell_settings(write(tmp_path, text)).scheduling
    assert policy.preempt_s is None
    assert policy.reserve_share == 0.1
