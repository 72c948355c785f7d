"""A clock whose calls can be held back, as in a process that is paused or short of processor."""


class _Call:
    """A delayed call that is held back while the clock is paused."""

    __slots__ = ("_clock", "_inner", "_state", "args", "call", "kwargs")

    def __init__(self, *, clock, delay, call, args, kwargs):
        self.call = call
        self.args = args
        self.kwargs = kwargs
        self._clock = clock
        self._state = "waiting"
        self._inner = clock.inner.callLater(delay, self._fire)

    def active(self):
        """Whether the call is still to come."""
        return self._state != "over"

    def cancel(self):
        """Do not call."""
        if self._inner.active():
            self._inner.cancel()
        self._state = "over"

    def reset(self, delay):
        """Call after `delay` from now instead."""
        if self._state == "waiting":
            self._inner.reset(delay)

    def run(self):
        """Call, unless cancelled while held back."""
        if self._state != "over":
            self._state = "over"
            self.call(*self.args, **self.kwargs)

    def _fire(self):
        if self._clock.paused:
            self._state = "held"
            if not self._clock.dead:
                self._clock.held.append(self)
        else:
            self._state = "held"
            self._clock.run_in_turn(self)


class PausableClock:
    """One instance's view of the shared virtual clock.

    Parameters
    ----------
    inner : Clock

    Notes
    -----
    `call_s` is the processor time that each call takes, 0 for a processor without limit: calls
    that fall due meanwhile wait in their order. Unit: seconds.
    """

    def __init__(self, *, inner):
        self.inner = inner
        self.call_s = 0.0
        self._free_at = 0.0
        self.paused = False
        self.dead = False
        self.held = []

    def seconds(self):
        """Return the shared time: a paused process finds on waking that time went on."""
        return self.inner.seconds()

    def callLater(self, delay, call, *args, **kwargs):
        """Call after `delay`, or as soon as the pause is over."""
        return _Call(clock=self, delay=delay, call=call, args=args, kwargs=kwargs)

    def run_in_turn(self, call):
        """Make a call once the processor is free."""
        now = self.inner.seconds()
        begins_at = max(now, self._free_at) if self.call_s else now
        self._free_at = begins_at + self.call_s
        if begins_at > now:
            self.inner.callLater(begins_at - now, self._run, call)
        else:
            self._run(call)

    def _run(self, call):
        if not self.paused:
            call.run()
        elif not self.dead:
            self.held.append(call)

    def pause(self):
        """Hold back all calls."""
        self.paused = True

    def kill(self):
        """Make no call ever again, as a process does that is killed."""
        self.paused = True
        self.dead = True

    def resume(self):
        """Make the calls that were held back, in their order."""
        if self.dead:
            return
        self.paused = False
        held, self.held = self.held, []
        for call in held:
            call.run()
