"""Invalid settings files, each with its error code and the path of the key; the two examples."""

from pathlib import Path

import pytest

from anvilflow.cli import main
from anvilflow.exceptions import SettingsError
from anvilflow.settings import load_settings, parse_settings

EXAMPLES = Path(__file__).parents[3] / "examples"

VALID = """{
  // a comment
  "instance": {"name": "a1", "failure_domain": "d1"},
  "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "platform": {"table": "127.0.0.1:4", "objects": "127.0.0.1:6", "membership": "127.0.0.1:5"},
}"""

INVALID = {
    "not JSON": (VALID[:-1], "not JSON with comments"),
    "unknown key": (VALID.replace('"instance": {', '"instance": {"zone": "d1", '), "`$.instance`"),
    "wrong type": (VALID.replace('"a1"', "7"), "`$.instance.name`"),
    "missing key": (VALID.replace('"name": "a1", ', ""), "missing required field `name`"),
    "bad name": (VALID.replace('"a1"', '"A 1"'), "$.instance.name: 'A 1' is no name"),
    "host name": (VALID.replace("127.0.0.1:4", "table.local:4"), "$.platform.table"),
    "port out of range": (VALID.replace("127.0.0.1:3", "127.0.0.1:70000"), "0 to 65535"),
    "same address twice": (VALID.replace("127.0.0.1:3", "127.0.0.1:1"), "already used by"),
    "out of range": (VALID[:-1] + '"timing": {"heartbeat_s": 9}}', "`float` <= 5"),
    "clash": (
        VALID[:-1] + '"timing": {"heartbeat_s": 0.8, "suspect_s": 1}}',
        "clashes with $.timing.heartbeat_s",
    ),
    "short lease": (VALID[:-1] + '"lease": {"task_s": 2}}', "$.lease.task_s"),
    "key twice": (VALID.replace('"name": "a1"', '"name": "a1", "name": "a2"'), "uplicate"),
}


def test_valid_settings_are_parsed_and_defaults_left_out_of_repr():
    settings = parse_settings(VALID)
    assert settings.timing.heartbeat_s == 0.25
    assert "timing" not in repr(settings)


@pytest.mark.parametrize("text, part", INVALID.values(), ids=INVALID)
def test_error_of_invalid_settings_names_the_key(text, part):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert caught.value.code == "AF101"
    assert part in caught.value.message


@pytest.mark.parametrize("text, part", INVALID.values(), ids=INVALID)
def test_check_command_prints_one_line_with_code(tmp_path, capsys, text, part):
    """``check`` prints one line on standard error and exits with 3, without a traceback."""
    path = tmp_path / "a1.json"
    path.write_text(text)
    with pytest.raises(SystemExit) as caught:
        main(["check", str(path)])
    errors = capsys.readouterr().err.splitlines()
    assert caught.value.code == 3
    assert len(errors) == 1 and errors[0].startswith("AF101 ")


def test_missing_settings_file_is_an_error():
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings("/nonexistent/a1.json")


@pytest.mark.parametrize("name", ["lonestar", "descripciones-andinas"])
def test_example_settings_are_valid(name, capsys):
    assert load_settings(EXAMPLES / f"{name}.settings.json").instance.name == "a1"
    main(["apply", str(EXAMPLES / name), "--dry-run"])
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 11 and all("create" in line for line in lines[1:])
