"""Message bus between the parts of one process."""

from collections import deque
from contextlib import contextmanager


class Bus:
    """Delivers each message to the parts that subscribed to its type, in the order of posting.

    A message that is posted while another message is handled is queued until that handler returns.
    Handlers are therefore never re-entered, so parts need no locks and never observe a partial
    change of another part.

    Parameters
    ----------
    on_failure : callable
        Called with the part and the exception when a handler raises.
    """

    def __init__(self, *, on_failure):
        self.on_failure = on_failure
        self._handlers = {}
        self._queue = deque()
        self._draining = False

    @contextmanager
    def subscribed(self, kind, part, handler):
        """Deliver messages of type `kind` to `handler(source, message)` within the context."""
        entry = (part, handler)
        handlers = self._handlers.setdefault(kind, [])
        handlers.append(entry)
        try:
            yield
        finally:
            handlers.remove(entry)

    def post(self, message, source=None):
        """Deliver a message; `source` is the instance that sent it, or None for this instance."""
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
            except Exception as exc:  # the supervisor handles every fault of a part
                self.on_failure(part, exc)
