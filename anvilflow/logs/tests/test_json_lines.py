"""Logs are JSON lines, limited in rate, and never block the process."""

import os

from logbook import Logger

from anvilflow.logs import JsonLinesHandler, _json_lines
from anvilflow.utils import decode_lenient


def read_lines(fd):
    """Return the objects that are buffered in a pipe."""
    return [decode_lenient(line) for line in os.read(fd, 1_000_000).splitlines()]


def test_record_is_written_as_one_json_object():
    """The record holds the keyword fields of the log call, the event, the part and the instance."""
    reader, writer = os.pipe()
    handler = JsonLinesHandler(fd=writer, instance="a1", clock=lambda: 5.0)
    with handler.applicationbound():
        Logger("home").info("job ended", job="x", state="completed")
    [line] = read_lines(reader)
    assert line == {
        "at": 5.0,
        "instance": "a1",
        "part": "home",
        "level": "info",
        "event": "job ended",
        "job": "x",
        "state": "completed",
    }


def test_lines_are_dropped_when_the_reader_stops():
    """A full pipe does not block the process: lines are dropped and counted in the next line."""
    reader, writer = os.pipe()
    handler = JsonLinesHandler(fd=writer, instance="a1", clock=lambda: 5.0)
    log = Logger("home")
    with handler.applicationbound():
        for number in range(2000):
            log.info(f"kind {number % 100}", text="x" * 500)
    assert handler.n_dropped > 0
    dropped = handler.n_dropped
    read_lines(reader)
    with handler.applicationbound():
        log.info("reader is back")
    assert read_lines(reader)[-1]["dropped"] == dropped


def test_rate_of_lines_of_one_kind_is_limited(monkeypatch):
    """Lines over the limit per second are dropped; the next second's first line has their count."""
    # Few enough lines to fit into the buffer of a pipe that is not read meanwhile.
    monkeypatch.setattr(_json_lines, "MAX_LINES_PER_SECOND", 200)
    reader, writer = os.pipe()
    now = [5.0]
    handler = JsonLinesHandler(fd=writer, instance="a1", clock=lambda: now[0])
    log = Logger("home")
    with handler.applicationbound():
        for _ in range(250):
            log.info("often")
        now[0] = 6.0
        log.info("often")
    lines = read_lines(reader)
    assert len(lines) == 201
    assert lines[-1]["dropped"] == 50
