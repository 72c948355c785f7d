"""A clock that can delay its calls, as in a process that is paused or short of processor time."""

import time
from collections import deque

#: Shorter waits count as over, because sums of times differ by rounding. Unit: seconds.
_TOLERANCE_S = 1e-9


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
        """Return whether the call is still pending."""
        return self._state != "over"

    def cancel(self):
        """Cancel the call."""
        if self._inner.active():
            self._inner.cancel()
        self._state = "over"

    def reset(self, delay):
        """Reschedule the call to `delay` from now."""
        if self._state == "waiting":
            self._inner.reset(delay)

    def run(self):
        """Make the call, unless it was cancelled while held back."""
        if self._state != "over":
            self._state = "over"
            self.call(*self.args, **self.kwargs)

    def _fire(self):
        if self._clock.paused:
            self._state = "held"
            if not self._clock.killed:
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
    `call_s` is the processor time of each call, 0 for unlimited processor time: calls that fall
    due meanwhile wait in order. If `processor_share`, the process's share of this machine's
    processor, is set, calls take their measured processor time, so that runs are not exactly
    repeatable. `spent_s` is the processor time of all calls. Unit: seconds.
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
        self.killed = False
        self.held = []

    def seconds(self):
        """Return the shared time, which also advances during a pause."""
        return self.inner.seconds()

    def callLater(self, delay, call, *args, **kwargs):
        """Schedule a call after `delay`, or at the end of the pause if the clock is paused then."""
        return _Call(clock=self, delay=delay, call=call, args=args, kwargs=kwargs)

    def charge(self, seconds):
        """Charge processor time; calls that fall due meanwhile wait."""
        if self.processor_share is not None:
            self.spent_s += seconds
            # Charges during a call add up from `_free_at`, because the steps of virtual time are
            # longer than most calls.
            begins_at = self._free_at if self._is_running else self.inner.seconds()
            self._free_at = max(begins_at, self._free_at) + seconds / self.processor_share

    def run_in_turn(self, call):
        """Make a call when the processor is free."""
        if self.processor_share is None and not self.call_s:
            self._run(call)
            return
        self._waiting.append((self.inner.seconds(), call))
        if len(self._waiting) == 1:
            self._run_next()

    def _run_next(self):
        while self._waiting and not self.killed:
            wait_s = self._free_at - self.inner.seconds()
            if wait_s > _TOLERANCE_S:
                self.inner.callLater(wait_s, self._run_next)
                return
            due_at, call = self._waiting[0]
            self._free_at = max(self._free_at, due_at) + self.call_s
            self._run(call)
            self._waiting.popleft()

    def _run(self, call):
        if self.paused:
            if not self.killed:
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
        """Make no further calls, like a killed process."""
        self.paused = True
        self.killed = True

    def resume(self):
        """End the pause and make the held-back calls in order."""
        if self.killed:
            return
        self.paused = False
        held, self.held = self.held, []
        for call in held:
            call.run()
