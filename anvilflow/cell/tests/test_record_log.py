"""Tests of the log lines that tell from which transaction an acknowledged end comes."""

from logbook import TestHandler as LogRecorder
from twisted.internet.defer import Deferred

from anvilflow.standins import StoreCall

from ._helpers import JOB, STEP, make_cell


def _events(log, message):
    return [record.kwargs for record in log.records if record.message == message]


def test_log_names_the_transaction_that_made_an_end_durable():
    """Guards against ends acknowledged without a transaction that the log names."""
    with LogRecorder().applicationbound() as log:
        cell = make_cell()
        cell.submit(cell.other(), JOB, STEP)
        cell.advance(3.0)
    ends = _events(log, "task ended")
    durable = _events(log, "records durable")
    last = max(end["change"] for end in ends)
    version = next(line["version"] for line in durable if line["jobs"].get(JOB, -1) >= last)
    stored = [key for _, at, table, _, key, _ in cell.store.log if at == version]
    assert JOB in stored
    assert {line["known_by"] for line in durable} == {"answer"}


def test_log_tells_a_lost_answer_from_a_received_one():
    """Guards against an outcome that was read from a row and logged like an answer."""
    with LogRecorder().applicationbound() as log:
        cell = make_cell()
        cell.submit(cell.other(), JOB, STEP)
        cell.advance(0.5)
        handle = cell.store.handle

        def lose_answer(method, path, *values):
            answer = handle(method, path, *values)
            return Deferred() if path == StoreCall.COMMIT else answer

        cell.store.handle = lose_answer
        cell.advance(1.0)
        cell.store.handle = handle
        cell.advance(2.0)
    assert "read" in {line["known_by"] for line in _events(log, "records durable")}
