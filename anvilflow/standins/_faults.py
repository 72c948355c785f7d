"""Fault switches of a stand-in."""

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ..exceptions import PlatformUnavailableError


class Faults:
    """What a stand-in does wrong just now.

    Parameters
    ----------
    clock : IReactorTime

    Attributes
    ----------
    down : bool
        Answers nothing but an error, and does nothing.
    slow_s : float
        Waits before it acts. Unit: seconds.
    lose_answer : bool
        Acts, and then answers with an error; only for calls that change something.
    silent : bool
        Neither acts nor answers.
    fail_runs : bool
        A worker fails everything that it starts, fast.
    size_factor : float
        A worker's tasks run this much longer than declared.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.down = False
        self.slow_s = 0.0
        self.lose_answer = False
        self.silent = False
        self.fail_runs = False
        self.size_factor = 1.0

    @inlineCallbacks
    def around(self, act, *args, changes=True):
        """Call `act` as the switches say; `changes`: whether it changes anything."""
        if self.slow_s:
            yield deferLater(self.clock, self.slow_s, lambda: None)
        if self.silent:
            yield Deferred()
        if self.down:
            raise PlatformUnavailableError("down")
        result = yield act(*args)
        if self.lose_answer and changes:
            raise PlatformUnavailableError("answer lost")
        return result


def answered_on(clock, done, *, timeout, error):
    """Deliver the result of `done` on the caller's own clock, so that its pause holds it back.

    Parameters
    ----------
    clock : IReactorTime
        The caller's.
    done : Deferred
    timeout : float
        After which the caller gives up; what was asked may still happen. Unit: seconds.
    error : type
        What the Deferred then fails with.
    """
    answer = Deferred()
    late = clock.callLater(timeout, _settle, answer, Failure(error("no answer in time")))
    done.addBoth(lambda result: clock.callLater(0, _settle, answer, result))
    answer.addBoth(_stop_timer, late)
    return answer


def _settle(answer, result):
    if not answer.called:
        answer.callback(result)


def _stop_timer(result, late):
    if late.active():
        late.cancel()
    return result
