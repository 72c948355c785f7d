"""A virtual clock for many delayed calls."""

import heapq
from itertools import count

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class VirtualClock:
    """Time that passes with :meth:`advance`; calls that are due at the same time keep their order.

    The framework's own sorts all calls again with each new one, which took a third of a run of a
    whole cell.
    """

    def __init__(self):
        self._now = 0.0
        self._heap = []
        self._numbers = count()

    def seconds(self):
        """Return the virtual time."""
        return self._now

    def callLater(self, delay, call, *args, **kwargs):
        """Call after `delay`."""
        delayed = DelayedCall(
            self._now + delay, call, args, kwargs, _forget, self._push, self.seconds
        )
        self._push(delayed)
        return delayed

    def getDelayedCalls(self):
        """Return the calls that are still to come."""
        return [delayed for _, _, delayed in self._heap if delayed.active()]

    def advance(self, seconds):
        """Let time pass, and make the calls that fall due."""
        self._now += seconds
        while self._heap and self._heap[0][0] <= self._now:
            at, _, delayed = heapq.heappop(self._heap)
            if not delayed.active():
                continue
            if delayed.getTime() > at:
                # It was put off meanwhile.
                self._push(delayed)
                continue
            delayed.called = 1
            delayed.func(*delayed.args, **delayed.kw)

    def _push(self, delayed):
        heapq.heappush(self._heap, (delayed.getTime(), next(self._numbers), delayed))


def _forget(_):
    """A cancelled call is dropped when its time comes."""
