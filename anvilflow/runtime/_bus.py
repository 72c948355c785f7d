"""Messages between the parts of one process."""

from collections import deque
from contextlib import contextmanager


class Bus:
    """Hands each message to the part that handles its type, in the order of posting.

    A message posted while another is handled waits until that is done: no part is entered twice,
    so none needs a lock or sees another's half-made change.

    Parameters
    ----------
    on_failure : callable
        Called with the part and the exception when a handler fails.
    """

    def __init__(self, *, on_failure):
        self.on_failure = on_failure
        self._handlers = {}
        self._queue = deque()
        self._draining = False

    @contextmanager
    def subscribed(self, kind, part, handler):
        """Hand messages of type `kind` to `handler(source, message)` inside the context."""
        entry = (part, handler)
        handlers = self._handlers.setdefault(kind, [])
        handlers.append(entry)
        try:
            yield
        finally:
            handlers.remove(entry)

    def post(self, message, source=None):
        """Deliver a message; `source` is the instance it comes from, None for this one."""
        self._queue.append((source, message))
        if self._draining:
            return
        self._draining = True
        try:
            while self._queue:
                self._deliver(*self._queue.popleft())
        finally:
            self._draining = False

    def _deliver(self, source, message):
        for part, handler in tuple(self._handlers.get(type(message), ())):
            try:
                handler(source, message)
            except Exception as exc:  # any fault of a part is the supervisor's to deal with
                self.on_failure(part, exc)
