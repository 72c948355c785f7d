"""A clock whose calls can be held back, as in a process that is paused or short of processor."""

import time
from collections import deque

#: Shorter waits than this are over: sums of times differ by rounding. Unit: seconds.
_TICK_S = 1e-9


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
    that fall due meanwhile wait in their order. With `processor_share`, the share of this machine's
    processor that the process has, calls take as long as they are measured to take, so that a run
    does not repeat exactly. `spent_s` is what all calls took. Unit: seconds.
    """

    def __init__(self, *, inner):
        self.inner = inner
        self.call_s = 0.0
        self.processor_share = None
        self.spent_s = 0.0
        self._free_at = 0.0
        self._is_running = False
        self._waiting = deque()
        self.paused = False
        self.dead = False
        self.held = []

    def seconds(self):
        """Return the shared time: a paused process finds on waking that time went on."""
        return self.inner.seconds()

    def callLater(self, delay, call, *args, **kwargs):
        """Call after `delay`, or as soon as the pause is over."""
        return _Call(clock=self, delay=delay, call=call, args=args, kwargs=kwargs)

    def charge(self, seconds):
        """Count processor time; calls that fall due meanwhile wait."""
        if self.processor_share is not None:
            self.spent_s += seconds
            # Within a call it goes on from there: the steps of virtual time are longer than most.
            begins_at = self._free_at if self._is_running else self.inner.seconds()
            self._free_at = max(begins_at, self._free_at) + seconds / self.processor_share

    def run_in_turn(self, call):
        """Make a call once the processor is free."""
        if self.processor_share is None and not self.call_s:
            self._run(call)
            return
        self._waiting.append((self.inner.seconds(), call))
        if len(self._waiting) == 1:
            self._run_next()

    def _run_next(self):
        while self._waiting and not self.dead:
            wait_s = self._free_at - self.inner.seconds()
            if wait_s > _TICK_S:
                self.inner.callLater(wait_s, self._run_next)
                return
            due_at, call = self._waiting[0]
            self._free_at = max(self._free_at, due_at) + self.call_s
            self._run(call)
            self._waiting.popleft()

    def _run(self, call):
        if self.paused:
            if not self.dead:
                self.held.append(call)
            return
        began = time.process_time()
        self._is_running = True
        call.run()
        self.charge(time.process_time() - began)
        self._is_running = False

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
