"""The result of a call that something else goes on beside."""

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure


class PendingResult:
    """The result of a call, which can be waited for with a limit and looked at later.

    Parameters
    ----------
    call : Deferred
    """

    def __init__(self, call):
        self.is_known = False
        self._result = None
        self._waiting = None
        call.addBoth(self._take)

    def _take(self, result):
        self.is_known = True
        self._result = result
        self._wake()

    def _wake(self):
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    def wait(self, clock, delay):
        """Return a Deferred that fires with the result's arrival, at the latest after `delay`."""
        if self.is_known:
            return succeed(None)
        self._waiting = waiting = Deferred()
        late = clock.callLater(max(0.0, delay), self._wake)
        return waiting.addBoth(lambda _: late.cancel() if late.active() else None)

    def get(self):
        """Return the result, or raise the failure."""
        if isinstance(self._result, Failure):
            self._result.raiseException()
        return self._result
