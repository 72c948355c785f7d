"""Bodies of answers, and the time that they may take."""

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss


class BodyReader(Protocol):
    """Collects the body of an answer; a cancelled one closes its connection.

    The library's own reader cannot close it: what was given up went on arriving, and took the
    bandwidth from the next try. On a link of 5 Mbit/s no try ever came to an end.

    Parameters
    ----------
    on_data : callable
        Called with each piece that arrives.
    """

    def __init__(self, *, on_data):
        self.on_data = on_data
        self.done = Deferred(self._close)
        self._pieces = []
        self._is_closed = False

    def dataReceived(self, data):
        """Take a piece of the body."""
        self._pieces.append(data)
        self.on_data()

    def connectionLost(self, reason):
        """Take the end; of a body whose length was not said the connection's end is the end."""
        if self._is_closed:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b"".join(self._pieces))
        else:
            self.done.errback(reason)

    def _close(self, _):
        self._is_closed = True
        # The library gives readers a proxy that knows no other way of ending a connection.
        self.transport.loseConnection()


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
        self._is_over = True
        call.cancel()

    def _ended(self, result):
        if self._timer.active():
            self._timer.cancel()
        if self._is_over and isinstance(result, Failure) and result.check(CancelledError):
            raise TimeoutError("no answer in time") from result.value
        return result
