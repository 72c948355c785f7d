"""Settings of an instance: what is wrong is said with a code and a path."""

import pytest

from anvilflow.cell import load_cell_settings
from anvilflow.exceptions import SettingsError

GOOD = """// filled by the platform
{
  "instance": "a1", "failure_domain": "z1", "store": "10.0.0.9:80", "new-field": 3,
  "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2", "peers": "10.0.0.1:3"},
  "bounds": {"max_lease_s": 6000e-3}
}"""


def write(tmp_path, text):
    """Return the path of a settings file."""
    path = tmp_path / "settings.json"
    path.write_text(text, encoding="utf-8")
    return path


def test_good_settings_are_read_and_unknown_keys_ignored(tmp_path):
    """The platform may send new fields; missing ones have their defaults."""
    settings = load_cell_settings(write(tmp_path, GOOD))
    assert (settings.instance, settings.bounds.max_lease_s) == ("a1", 6.0)
    assert settings.bounds.status_kept_s == 120.0


@pytest.mark.parametrize(
    ("before", "after", "said"),
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
def test_bad_settings_are_refused(tmp_path, before, after, said):
    """The process ends with AF101 and says which key is wrong."""
    with pytest.raises(SettingsError) as caught:
        load_cell_settings(write(tmp_path, GOOD.replace(before, after)))
    assert caught.value.code == "AF101"
    assert said in str(caught.value)


def test_missing_file_is_refused(tmp_path):
    """The path of the file is part of the message."""
    with pytest.raises(SettingsError, match="nothing-here"):
        load_cell_settings(tmp_path / "nothing-here")


def test_policy_is_read_and_defaults_stay(tmp_path):
    """An operator sets one threshold; null means never."""
    text = GOOD.replace('"new-field": 3', '"scheduling": {"preempt_s": null}')
    policy = load_cell_settings(write(tmp_path, text)).scheduling
    assert policy.preempt_s is None
    assert policy.reserve_share == 0.1
