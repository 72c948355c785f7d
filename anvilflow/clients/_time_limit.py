"""The time that a call and its answer may take."""

from twisted.internet.defer import CancelledError, TimeoutError
from twisted.python.failure import Failure


class TimeLimit:
    """How long an exchange may take: as a whole, or until its answer begins and then per pause.

    Parameters
    ----------
    clock : IReactorTime
    timeout : float
        For the whole exchange; with `idle_timeout`, until the answer begins. Unit: seconds.
    idle_timeout : float or None
        Longest pause between two pieces of the answer. Unit: seconds.
    """

    def __init__(self, *, clock, timeout, idle_timeout):
        self.clock = clock
        self.timeout = timeout
        self.idle_timeout = idle_timeout
        self._timer = None
        self._is_over = False

    def watch(self, call):
        """Cancel `call` when its time is over; it fails with a TimeoutError then."""
        self._timer = self.clock.callLater(self.timeout, self._end, call)
        return call.addBoth(self._ended)

    def progress(self):
        """Note that a piece of the answer is there."""
        if self.idle_timeout is not None and self._timer.active():
            self._timer.reset(self.idle_timeout)

    def _end(self, call):
        # Timers come before what has arrived: in a process that is late, an answer that is there
        # would be given up unread, and the call be made once more.
        self._timer = self.clock.callLater(0, self._give_up, call)

    def _give_up(self, call):
        self._is_over = True
        call.cancel()

    def _ended(self, result):
        if self._timer.active():
            self._timer.cancel()
        if self._is_over and isinstance(result, Failure) and result.check(CancelledError):
            raise TimeoutError("no answer in time") from result.value
        return result
