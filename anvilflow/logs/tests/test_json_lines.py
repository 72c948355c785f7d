"""Logs are JSON lines, bounded, and never hold the process up."""

import os

from logbook import Logger

from anvilflow.logs import JsonLinesHandler, _json_lines
from anvilflow.utils import decode_lenient


def read_lines(fd):
    """Return the objects that wait in a pipe."""
    return [decode_lenient(line) for line in os.read(fd, 1_000_000).splitlines()]


def test_record_becomes_one_object():
    """Fields of the call stand beside the event's name, its part and the instance."""
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


def test_reader_that_stops_costs_lines_and_no_time():
    """Nobody reads the pipe: what would block is dropped, counted, and the count is said."""
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


def test_volume_of_a_kind_is_bounded(monkeypatch):
    """A kind of line that comes too often is left out, and the next second says how often."""
    # As many lines as a pipe holds that nobody reads meanwhile.
    monkeypatch.setattr(_json_lines, "LINES_PER_SECOND", 200)
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
