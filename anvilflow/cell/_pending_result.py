"""Result of an asynchronous call, which can be awaited with a timeout and read later."""

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure


class PendingResult:
    """Result of a call, which can be awaited with a timeout and read later.

    Parameters
    ----------
    call : Deferred
    """

    def __init__(self, call):
        self.is_known = False
        self._result = None
        self._waiter = None
        call.addBoth(self._store_result)

    def _store_result(self, result):
        self.is_known = True
        self._result = result
        self._release_waiter()

    def _release_waiter(self):
        waiting, self._waiter = self._waiter, None
        if waiting is not None:
            waiting.callback(None)

    def wait(self, clock, delay):
        """Return a Deferred that fires when the result arrives, at the latest after `delay`."""
        if self.is_known:
            return succeed(None)
        self._waiter = waiting = Deferred()
        late = clock.callLater(max(0.0, delay), self._release_waiter)
        return waiting.addBoth(lambda _: late.cancel() if late.active() else None)

    def get(self):
        """Return the result, or raise the failure."""
        if isinstance(self._result, Failure):
            self._result.raiseException()
        return self._result
