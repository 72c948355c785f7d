"""Base of the parts of a process."""

from contextlib import ExitStack

from logbook import Logger

from ..utils import Ticker


class Part:
    """A task that owns its state and sockets and talks by messages.

    Parameters
    ----------
    context : Context
        Settings, clock, bus and shared read-only services of the process.

    Notes
    -----
    ``start`` opens, an exit stack closes: a part that is restarted begins with nothing of its
    former self, and what it needs it reads anew from the table, the workers or its peers.
    """

    prefix = "part"

    def __init__(self, *, context):
        self.context = context
        self.log = Logger(f"{context.name} {self.prefix}")
        self._stack = ExitStack()

    @property
    def now(self):
        """The process's time. Unit: seconds."""
        return self.context.clock.seconds()

    def start(self):
        """Open what the part owns; may return a Deferred."""

    def stop(self):
        """Close what the part owns; may return a Deferred."""
        self._stack.close()

    def dump(self):
        """Return the part's state as plain values for the dump."""
        return {}

    def on(self, kind, handler):
        """Handle messages of type `kind` until the part stops."""
        self._stack.enter_context(self.context.bus.subscribed(kind, self, handler))

    def post(self, message):
        """Send a message to the parts of this process."""
        self.context.bus.post(message)

    def send(self, instance, body):
        """Send a message to another instance, or to this one; return False when it cannot go."""
        return self.context.send(instance, body)

    def every(self, period, call, *, delay=0.0):
        """Call `call` every `period` seconds until the part stops; return the Ticker."""
        ticker = Ticker(clock=self.context.clock, period=period, call=call, on_error=self.fail_with)
        ticker.start(delay=delay)
        self._stack.callback(ticker.stop)
        return ticker

    def later(self, delay, call, *args):
        """Call once after `delay` seconds; return the delayed call."""
        return self.context.clock.callLater(delay, call, *args)

    def fail_with(self, failure):
        """Report a fault of the part to its supervisor."""
        self.context.bus.on_failure(self, failure.value)
