"""Base class of the parts of a process."""

from contextlib import ExitStack

from logbook import Logger

from ..utils import Ticker


class Part:
    """A component of the process that a :class:`Supervisor` starts, stops and restarts.

    A part owns its state, timers and sockets. It exchanges messages with the other parts of the
    process over the bus, and with other instances over the peer connections.

    Parameters
    ----------
    context : Context
        Settings, clock, bus and shared read-only services of the process.

    Notes
    -----
    ``start`` opens the resources of the part, and an exit stack closes them. A restart builds a new
    object without the state of the failed one. The new part reads the state that it needs from the
    table, the workers or its peers.
    """

    prefix = "part"

    def __init__(self, *, context):
        self.context = context
        self.log = Logger(f"{context.name} {self.prefix}")
        self._stack = ExitStack()

    @property
    def now(self):
        """Current time of the process's clock. Unit: seconds."""
        return self.context.clock.seconds()

    def start(self):
        """Open the resources of the part; may return a Deferred."""

    def stop(self):
        """Close the resources of the part; may return a Deferred."""
        self._stack.close()

    def dump(self):
        """Return the state of the part as plain values, for the dump of the process."""
        return {}

    def on(self, kind, handler):
        """Call `handler(source, message)` for messages of type `kind` until the part stops."""
        self._stack.enter_context(self.context.bus.subscribed(kind, self, handler))

    def post(self, message):
        """Post a message to the parts of this process."""
        self.context.bus.post(message)

    def send(self, instance, body):
        """Send a message to an instance, also to this one; return False when it cannot be sent."""
        return self.context.send(instance, body)

    def every(self, period, call, *, delay=0.0):
        """Call `call` every `period` seconds until the part stops; return the Ticker."""
        ticker = Ticker(clock=self.context.clock, period=period, call=call, on_error=self.fail_with)
        ticker.start(delay=delay)
        self._stack.callback(ticker.stop)
        return ticker

    def later(self, delay, call, *args):
        """Call `call(*args)` once after `delay` seconds; return the delayed call."""
        return self.context.clock.callLater(delay, call, *args)

    def fail_with(self, failure):
        """Report a Failure of the part to its supervisor."""
        self.context.bus.on_failure(self, failure.value)
