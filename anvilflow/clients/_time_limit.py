"""Timeouts of calls."""

from twisted.internet.defer import CancelledError, TimeoutError
from twisted.python.failure import Failure


class TimeLimit:
    """Timeout of an exchange: for the whole, or until its response begins and then per pause.

    Parameters
    ----------
    clock : IReactorTime
    timeout : float
        For the whole exchange; with `idle_timeout`, until the response begins. Unit: seconds.
    idle_timeout : float or None
        Longest pause between two pieces of the response. Unit: seconds.
    """

    def __init__(self, *, clock, timeout, idle_timeout):
        self.clock = clock
        self.timeout = timeout
        self.idle_timeout = idle_timeout
        self._timer = None
        self._has_timed_out = False

    def watch(self, call):
        """Cancel `call` on timeout; `call` then fails with a TimeoutError."""
        self._timer = self.clock.callLater(self.timeout, self._on_timeout, call)
        return call.addBoth(self._finish)

    def progress(self):
        """Restart the idle timeout: a piece of the response has arrived."""
        if self.idle_timeout is not None and self._timer.active():
            self._timer.reset(self.idle_timeout)

    def _on_timeout(self, call):
        # The reactor runs timers before it reads sockets. In a process that is short of CPU time, a
        # response that has already arrived would be dropped unread and the call would be repeated.
        # The second timer lets the reactor read the response first.
        self._timer = self.clock.callLater(0, self._cancel, call)

    def _cancel(self, call):
        self._has_timed_out = True
        call.cancel()

    def _finish(self, result):
        if self._timer.active():
            self._timer.cancel()
        if self._has_timed_out and isinstance(result, Failure) and result.check(CancelledError):
            raise TimeoutError("no answer in time") from result.value
        return result
