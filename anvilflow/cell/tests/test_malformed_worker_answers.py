"""Tests that a worker's answer that cannot be read affects only that worker."""

import pytest

from anvilflow.standins import find_violations
from anvilflow.standins._platform_worker import WorkerCall
from anvilflow.utils import decode_lenient, encode

from ._helpers import JOB, make_cell

OTHER_JOB = "00000000000000b2"
LATE_JOB = "00000000000000c3"
TASK = f"{JOB}.0.0.0"

NESTED = "[" * 20_000 + "]" * 20_000

#: Number that no float can hold.
DIGITS = "9" * 400


def _with(name, value):
    """Return a function that sets a field of an answer to JSON text."""

    def change(body):
        answer = decode_lenient(body)
        answer.pop(name, None)
        return encode(answer)[:-1] + f',"{name}":{value}}}'.encode()

    return change


def _with_row(name, row):
    """Return a function that appends a row, as JSON text, to a list of an answer."""

    def change(body):
        rows = decode_lenient(body).get(name, [])
        listed = [encode(each).decode() for each in rows]
        return _with(name, f"[{','.join([*listed, row])}]")(body)

    return change


def _whole(replacement):
    """Return a function that replaces an answer."""
    return lambda _: replacement


#: Answers to lease renewals, by what is wrong with them.
MALFORMED = {
    "nested": _whole(NESTED.encode()),
    "nested in an unknown field": _with("extra", NESTED),
    "nested in a row": _with_row("active", f"[{NESTED}]"),
    "not an object": _whole(b"[]"),
    "no clock": _whole(b'{"active":[],"finished":[]}'),
    "not JSON": _whole(b"<html>"),
    "not UTF-8": _whole(b"\xff\xfe"),
    "empty": _whole(b""),
    "null": _whole(b"null"),
    "row with too few elements": _with_row("active", f'["{TASK}"]'),
    "empty row": _with_row("active", "[]"),
    "row that is no list": _with_row("active", "7"),
    "task that is no text": _with_row("active", '[7,1,"",5]'),
    "task without dots": _with_row("active", '["x",1,"",5]'),
    "task with a negative index": _with_row("active", f'["{JOB}.0.0.-1",1,"",5]'),
    "task with a lone surrogate": _with_row("active", '["\\ud800",1,"",5]'),
    "run that is text": _with_row("active", f'["{TASK}","1","",5]'),
    "run of 25 digits": _with_row("active", f'["{TASK}",{DIGITS[:25]},"",5]'),
    "run of 400 digits": _with_row("active", f'["{TASK}",{DIGITS},"",5]'),
    "percent that is text": _with_row("active", f'["{TASK}",1,"","nan"]'),
    "percent that is null": _with_row("active", f'["{TASK}",1,"",null]'),
    "percent of 400 digits": _with_row("active", f'["{TASK}",1,"",{DIGITS}]'),
    "percent of 1e308": _with_row("active", f'["{TASK}",1,"",1e308]'),
    "checkpoint of 10 MB": _with_row("active", f'["{TASK}",1,"{"c" * 10_000_000}",5]'),
    "checkpoint that is no text": _with_row("active", f'["{TASK}",1,7,5]'),
    "load of 400 digits": _with_row("active", f'["{TASK}",1,"",5,{DIGITS}]'),
    "load that is text": _with_row("active", f'["{TASK}",1,"",5,"inf"]'),
    "clock of 400 digits": _with("clock-ms", DIGITS),
    "clock of 1e308": _with("clock-ms", "1e308"),
    "negative clock": _with("clock-ms", "-1e308"),
    "end with too few elements": _with_row("finished", f'[99,"{TASK}",1,"done"]'),
    "end with a number that is text": _with_row("finished", f'["99","{TASK}",1,"done",""]'),
    "end with a number of 400 digits": _with_row("finished", f'[{DIGITS},"{TASK}",1,"done",""]'),
    "end with a negative number": _with_row("finished", f'[-1,"{TASK}",1,"done",""]'),
    "end of an unknown kind": _with_row("finished", f'[99,"{TASK}",1,"exploded",""]'),
    "end whose kind is a list": _with_row("finished", f'[99,"{TASK}",1,[],""]'),
    "end of a task without dots": _with_row("finished", '[99,"x",1,"done",""]'),
    "end of a task with a negative index": _with_row(
        "finished", f'[99,"{JOB}.0.0.-1",1,"done",""]'
    ),
    "end of a run that is text": _with_row("finished", f'[99,"{TASK}","1","done",""]'),
    "end with a checkpoint that is no text": _with_row("finished", f'[99,"{TASK}",1,"failed",3]'),
}


class _OddWorker:
    """Changes the answers of a worker to calls of one path, and notes what it may discard.

    Parameters
    ----------
    worker : PlatformWorker
    path : str
    change : callable
        Returns the status and the body of the changed answer from those of the worker's.
    """

    def __init__(self, *, worker, path, change):
        self.is_odd = True
        self.last_seen = 0
        self._worker = worker
        self._path = path
        self._change = change
        self._handle = worker.handle
        worker.handle = self._handle_oddly

    def _handle_oddly(self, method, path, query, body, headers):
        self.last_seen = max(self.last_seen, decode_lenient(body).get("last-seen", 0))
        answer = self._handle(method, path, query, body, headers)
        if path != self._path or not self.is_odd:
            return answer
        if isinstance(answer, tuple):
            return self._change(answer)
        return answer.addCallback(self._change)


def _play(path, change):
    """Let a worker of three answer oddly for 9 s; return the cell and the odd worker."""
    cell = make_cell(n_instances=3, n_workers=3)
    cell.submit("a0", JOB, {"count": 3, "cpu": 9000}, spec="2.0 done 9000")
    cell.advance(1.0)
    odd = _OddWorker(worker=cell.workers["i-0"], path=path, change=change)
    cell.submit("a0", OTHER_JOB, {"count": 6, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(6.0)
    cell.submit("a0", LATE_JOB, {"count": 2, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(3.0)
    return cell, odd


def _check_completed(cell, odd):
    """Check that no term has ended, and that all is done once the worker answers as usual."""
    odd.is_odd = False
    cell.advance(8.0)
    assert cell.store.value("home", "home", part="cell")["term"] == 1
    assert not cell.errors
    for job_id in (JOB, OTHER_JOB, LATE_JOB):
        assert cell.state("a0", job_id) == "completed"
    cell.mark_unacknowledged_ends()
    assert not find_violations(cell.spans, cell.all_workers())


@pytest.mark.parametrize("change", MALFORMED.values(), ids=MALFORMED)
def test_worker_with_a_malformed_report_counts_as_not_answering(change):
    """Guards against one worker's report that ends the leader's part, or that loses an end."""
    cell, odd = _play(WorkerCall.HOLD, lambda answer: (answer[0], change(answer[1])))
    assert odd.last_seen == 0
    assert cell.state("a0", LATE_JOB) == "completed"
    _check_completed(cell, odd)


@pytest.mark.parametrize("path", [WorkerCall.START, WorkerCall.HOLD])
@pytest.mark.parametrize(
    "answer",
    [
        (200, NESTED.encode()),
        (200, b"{}"),
        (200, b'{"clock-ms":1e308}'),
        (204, b""),
        (302, b""),
        (500, b"x"),
        (999, b""),
        (409, NESTED.encode()),
        (409, b"{}"),
        (409, b'{"reason":[]}'),
        (409, b'{"reason":"started"}'),
        (409, b'{"reason":"unreached"}'),
    ],
    ids=lambda answer: f"{answer[0]} {answer[1][:24].decode()}",
)
def test_worker_with_a_malformed_answer_affects_no_other(path, answer):
    """Guards against one worker's answer that ends the leader's part or passes for an outcome."""
    cell, odd = _play(path, lambda _: answer)
    _check_completed(cell, odd)
