"""Logbook handler that writes JSON lines and never blocks on the reader."""

import os
import time

from logbook import NOTSET, Handler, get_level_name

from ..utils import encode

#: Limit on lines of one kind per second. Lines over the limit are dropped, and their number is
#: reported in the next line that is written. The most frequent kind, starts of tasks, reaches about
#: 600 lines per second in a burst on 176 workers.
MAX_LINES_PER_SECOND = 1000


class JsonLinesHandler(Handler):
    """Handler that writes each record as one JSON object on a line.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is set to non-blocking mode.
    instance : str
        Name of the instance, written in every line.
    clock : callable, default=time.time
        Time of day. Unit: seconds.

    Notes
    -----
    A reader that stops reading does not block the process: a line whose write would block is
    dropped and counted, and the count is written with the next line that succeeds.
    """

    def __init__(self, *, fd, instance, clock=time.time, level=NOTSET):
        super().__init__(level=level)
        os.set_blocking(fd, False)
        self.fd = fd
        self.instance = instance
        self.clock = clock
        self.n_dropped = 0
        self._second = 0
        self._counts = {}

    def emit(self, record):
        """Write one record."""
        now = self.clock()
        if not self._within_budget(int(now), (record.channel, record.msg)):
            self.n_dropped += 1
            return
        line = {
            "at": round(now, 3),
            "instance": self.instance,
            "part": record.channel,
            "level": get_level_name(record.level).lower(),
            "event": record.message if record.args else record.msg,
            **record.kwargs,
        }
        if self.n_dropped:
            line["dropped"] = self.n_dropped
        try:
            os.write(self.fd, encode(line) + b"\n")
            self.n_dropped = 0
        except BlockingIOError:
            self.n_dropped += 1

    def _within_budget(self, second, kind):
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[kind] = self._counts.get(kind, 0) + 1
        return self._counts[kind] <= MAX_LINES_PER_SECOND


def install_json_logs(instance, *, level, fd=1):
    """Send all log records of the process to `fd` as JSON lines; return the handler."""
    handler = JsonLinesHandler(fd=fd, instance=instance, level=level)
    handler.push_application()
    return handler
