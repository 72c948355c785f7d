"""Tests that an unreadable row in the store affects only its own job."""

import pytest

from anvilflow.cell._pending_jobs import _queues_of_accepted_jobs
from anvilflow.platform import Row
from anvilflow.utils import encode

from ._helpers import JOB, make_cell

OTHER_JOB = "00000000000000b2"

#: Values as another program or a newer release may write them.
UNREADABLE_VALUES = ({"spec": 1}, [], {"state": 3, "failures": 7})


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
@pytest.mark.parametrize("table", ["jobs", "progress", "ended"])
def test_new_leader_serves_other_jobs_despite_an_unreadable_row(table, value):
    """Guards against an unreadable row that stops each successive leader."""
    cell = make_cell(n_instances=3)
    cell.submit("a0", OTHER_JOB, {"count": 1, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(0.2)
    part = "jobs-01" if table == "jobs" else "cell"
    cell.store.put(table, "01000000000000c3", value, part=part)
    cell.kill(cell.leader())
    cell.advance(8.0)
    instance = next(iter(cell.daemons))
    assert cell.state(instance, OTHER_JOB) == "completed"
    cell.submit(instance, JOB, {"count": 1, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(3.0)
    assert cell.state(instance, JOB) == "completed"


@pytest.mark.parametrize("table", ["progress", "ended"])
def test_job_with_an_unreadable_row_is_not_restarted(table):
    """Guards against rerunning tasks whose completion is stored in an unreadable row."""
    cell = make_cell(n_instances=3)
    steps = ({"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]})
    cell.submit("a0", JOB, *steps, spec="2.0 done 1000")
    cell.advance(2.5)
    n_runs = len(cell.spans)
    cell.store.put(table, JOB, [], part="cell")
    cell.kill(cell.leader())
    cell.advance(12.0)
    assert len(cell.spans) == n_runs


def test_unreadable_row_written_later_does_not_stop_the_leader():
    """Guards against a leader that fails on an unreadable update of the jobs table."""
    cell = make_cell(n_instances=3)
    leader = cell.leader()
    cell.store.put("jobs", "01000000000000c3", [], part="jobs-01")
    cell.advance(3.0)
    assert cell.leaders() == [leader]
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(3.0)
    assert cell.state("a0", JOB) == "completed"


ODD_JOB = "01000000000000c3"
NESTED = b"[" * 20_000 + b"]" * 20_000
DIGITS = b"9" * 400


def _job_row(job_id=ODD_JOB, occurrences=b"0", **step):
    """Return the row of a job of one step, with fields of the step given as JSON text."""
    fields = b"".join(b',"%s":%s' % (name.encode(), value) for name, value in step.items())
    return (
        b'{"spec":{"job_id":"%s","queue":"urgent","payload":"","n_occurrences":%s,'
        b'"steps":[{"n_tasks":1%s}]},'
        b'"queue":{"name":"urgent","host":"","prefix":"/urgent/","service":"desk"}}'
        % (job_id.encode(), occurrences, fields)
    )


ODD_ROWS = {
    "nested": ("jobs", ODD_JOB, NESTED),
    "processor of 400 digits": ("jobs", ODD_JOB, _job_row(cpu_milli=DIGITS)),
    "negative number of tasks": ("jobs", ODD_JOB, _job_row(n_tasks=b"-5")),
    "step that depends on itself": ("jobs", ODD_JOB, _job_row(after=b"[0]")),
    "step that depends on a missing one": ("jobs", ODD_JOB, _job_row(after=b"[99]")),
    "step that depends on one of 400 digits": ("jobs", ODD_JOB, _job_row(after=b"[%s]" % DIGITS)),
    "occurrences of 400 digits": ("jobs", ODD_JOB, _job_row(occurrences=DIGITS)),
    "another job": ("jobs", ODD_JOB, _job_row("01000000000000c4")),
    "key that is no id": ("jobs", "zz", _job_row("zz")),
    "mark of a key that is no id": ("jobs", "zz.cancel", b"true"),
    "progress, nested": ("progress", ODD_JOB, NESTED),
    "progress of a missing task": ("progress", ODD_JOB, encode({"done_tasks": {"0.0": [99]}})),
    "progress of a task of 400 digits": (
        "progress",
        ODD_JOB,
        b'{"done_tasks":{"0.0":[%s]}}' % DIGITS,
    ),
    "progress of a negative task": ("progress", ODD_JOB, encode({"done_tasks": {"0.0": [-1]}})),
    "progress of a missing step": ("progress", ODD_JOB, encode({"done_steps": ["0.7"]})),
    "progress of no step": ("progress", ODD_JOB, encode({"done_steps": ["x"]})),
    "run number of 400 digits": ("progress", ODD_JOB, b'{"max_run_id":%s}' % DIGITS),
    "end, nested": ("ended", ODD_JOB, NESTED),
    "end with an unknown state": ("ended", ODD_JOB, encode({"state": "exploded"})),
    "end of a key that is no id": ("ended", "zz", encode({"state": "completed"})),
}


@pytest.mark.parametrize(("table", "key", "value"), ODD_ROWS.values(), ids=ODD_ROWS)
def test_odd_row_affects_only_its_job(table, key, value):
    """Guards against one row that ends the part of each successive leader."""
    cell = make_cell(n_instances=3)
    part = "jobs-01" if table == "jobs" else "cell"
    if table != "jobs":
        row = _job_row() if table == "progress" else _job_row(cpu_milli=b"99000000")
        cell.store._write([("jobs", "jobs-01", ODD_JOB, row)])
    cell.kill(cell.leader())
    cell.store._write([(table, part, key, value)])
    cell.advance(4.0)
    instance = next(iter(cell.daemons))
    cell.submit(instance, JOB, {"count": 2, "cpu": 1000}, spec="0.3 done 1000")
    cell.advance(6.0)
    assert cell.state(instance, JOB) == "completed"
    assert cell.store.value("home", "home", part="cell")["term"] == 2
    assert len(cell.daemons) == 2
    assert not cell.errors
    assert not [span for span in cell.spans if not span.task.startswith(JOB)]


def test_unreadable_row_of_a_job_is_not_counted_as_pending():
    """Guards against one row for which no queue's count is known while there is no leader."""
    queue = {"name": "urgent", "host": "", "prefix": "/urgent/", "service": "desk"}
    spec = {"job_id": JOB, "queue": "urgent", "steps": [{"n_tasks": 1}]}
    values = [NESTED, b"[]", encode({"spec": spec, "queue": queue})]
    rows = [Row(table="jobs", part="jobs-00", key="x", version=1, value=each) for each in values]
    assert _queues_of_accepted_jobs(rows) == ["urgent"]


def test_state_of_a_job_with_an_unknown_final_state_is_not_known():
    """Guards against a row of a later release that is answered with an internal error."""
    cell = make_cell(n_instances=3)
    cell.store._write([("ended", "cell", ODD_JOB, encode({"state": "exploded"}))])
    answers = cell.call("a0", "GET", f"/urgent/{ODD_JOB}")
    cell.advance(1.0)
    assert [(status, value["error"]["code"]) for status, value, _ in answers] == [(503, "AF204")]
