"""Refusals of the command line, and the plan of ``anvilflow apply``."""

import json

import pytest

from anvilflow.cli import find_declarations, main, plan_changes
from anvilflow.utils import to_builtins

CUSTOMER = {"kind": "Customer", "name": "showrooms", "priority": 200}
POLICY = {"kind": "Policy", "name": "p", "rules": {"type": "batch"}}
WORKLOAD = {"kind": "Workload", "name": "w", "work": "batch", "policy": "p", "needs": {}}


def write(folder, name, *values):
    """Write a file of declarations."""
    path = folder / name
    path.write_text(json.dumps(list(values)))
    return str(path)


def run(capsys, *args):
    """Return exit status, standard output and lines of standard error."""
    status = 0
    try:
        main(list(args))
    except SystemExit as exc:
        status = exc.code
    captured = capsys.readouterr()
    return status, captured.out, captured.err.splitlines()


def test_referenced_resources_are_applied_first(tmp_path):
    write(tmp_path, "a.json", WORKLOAD, CUSTOMER)
    write(tmp_path, "b.json", POLICY)
    assert list(find_declarations([tmp_path])) == ["Policy/p", "Customer/showrooms", "Workload/w"]


def test_plan_shows_only_differences(tmp_path):
    found = find_declarations([write(tmp_path, "a.json", CUSTOMER, POLICY)])
    stored = to_builtins(found["Customer/showrooms"]) | {"priority": 100}
    current = {"Customer/showrooms": (7, stored)}
    plan = {item.key: item for item in plan_changes(found, current)}
    assert plan["Customer/showrooms"].action == "replace"
    assert plan["Customer/showrooms"].changed == {"priority": [100, 200]}
    assert plan["Customer/showrooms"].revision == 7
    assert plan["Policy/p"].action == "create"
    again = {key: (1, to_builtins(value)) for key, value in found.items()}
    assert {item.action for item in plan_changes(found, again)} == {"unchanged"}


@pytest.mark.parametrize(
    "values, part",
    [
        ([CUSTOMER, CUSTOMER], "declared twice"),
        ([{**CUSTOMER, "weight": 1}], "weight"),
        ([{**WORKLOAD, "work": "gang"}, POLICY], "for batch work"),
        ([{"kind": "Job", "name": "j", "customer": "c", "workload": "w", "tasks": ["x"]}], "jobs"),
    ],
)
def test_invalid_declarations_print_one_coded_error_line(tmp_path, capsys, values, part):
    path = write(tmp_path, "a.json", *values)
    status, out, errors = run(capsys, "apply", path, "--dry-run")
    assert (status, out, len(errors)) == (4, "", 1)
    assert errors[0].startswith("AF102 ") and part in errors[0]


@pytest.mark.parametrize(
    "args, status, code",
    [
        (["apply", "/nonexistent", "--dry-run"], 4, "AF102"),
        (["apply"], 4, "AF301"),
        (["get", "Workload"], 4, "AF301"),
        (["status", "--operators", "host:1"], 3, "AF101"),
        (["get", "Workload", "--operators", "127.0.0.1:1", "--output", "xml"], 4, "AF301"),
    ],
)
def test_invalid_calls_print_one_coded_error_line(monkeypatch, capsys, args, status, code):
    monkeypatch.delenv("ANVILFLOW_OPERATORS", raising=False)
    ended, _, errors = run(capsys, *args)
    assert ended == status
    assert len(errors) == 1 and errors[0].startswith(code)
