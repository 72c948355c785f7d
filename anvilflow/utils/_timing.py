"""Periodic calls on an injected clock, and jitter of delays."""


def jitter(random_state, delay, *, spread=0.2):
    """Return `delay` varied by a share of up to `spread`, so that instances do not synchronize."""
    return delay * (1 + spread * (2 * random_state.random() - 1))


class Ticker:
    """Calls a function periodically; the period starts at the end of the previous call.

    Parameters
    ----------
    clock : IReactorTime
        Source of time and delayed calls.
    period : float or callable
        Seconds between the end of one call and the next, or a function that returns them.
    call : callable
        Called without arguments; may return a Deferred, which ends the call when it fires.
    on_error : callable
        Called with the Failure when `call` fails; the ticker continues.
    """

    def __init__(self, *, clock, period, call, on_error):
        self.clock = clock
        self.period = period
        self.call = call
        self.on_error = on_error
        self._delayed = None
        self._due = 0.0
        self._stopped = True

    def start(self, *, delay=0):
        """Make the first call after `delay` seconds."""
        self._stopped = False
        self._delayed = self.clock.callLater(delay, self._run)

    def stop(self):
        """Cancel all further calls."""
        self._stopped = True
        if self._delayed is not None and self._delayed.active():
            self._delayed.cancel()
        self._delayed = None

    def trigger(self):
        """Make the next call at the next opportunity, unless a call is running."""
        if self._delayed is not None and self._delayed.active():
            self._delayed.reset(0)

    def call_within(self, delay):
        """Make the next call no later than `delay` seconds from now, unless a call is running."""
        if self._delayed is not None and self._delayed.active():
            now = self.clock.seconds()
            if self._due - now > delay:
                self._delayed.reset(delay)
                self._due = now + delay

    def _run(self):
        # Imported here, since twisted.internet.defer imports the whole of Twisted, which the
        # packages without I/O that import `utils` do not need.
        from twisted.internet.defer import maybeDeferred

        self._delayed = None
        done = maybeDeferred(self.call)
        done.addErrback(self.on_error)
        done.addBoth(self._again)

    def _again(self, _):
        if not self._stopped:
            period = self.period() if callable(self.period) else self.period
            self._due = self.clock.seconds() + period
            self._delayed = self.clock.callLater(period, self._run)
