"""Fault switches of a stand-in."""

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ..exceptions import PlatformUnavailableError


class Faults:
    """Faults that a stand-in injects at present.

    Parameters
    ----------
    clock : IReactorTime

    Attributes
    ----------
    down : bool
        Every call fails with an error and has no effect.
    slow_s : float
        Delay before a call takes effect. Unit: seconds.
    lose_answer : bool
        Calls that change something take effect and then fail with an error.
    silent : bool
        Calls have no effect and get no response.
    fail_runs : bool
        A worker fails every run soon after its start.
    size_factor : float
        Factor on the declared run time of a worker's tasks.
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
        """Call `act` with the injected faults; `changes`: whether the call changes anything."""
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


def deliver_on_clock(clock, done, *, timeout, error):
    """Deliver the result of `done` on the caller's clock, so that a paused caller gets it later.

    Parameters
    ----------
    clock : IReactorTime
        Clock of the caller.
    done : Deferred
    timeout : float
        Time after which the caller gives up; the call may still take effect. Unit: seconds.
    error : type
        Type of the error after the timeout.
    """
    answer = Deferred()
    timer = clock.callLater(timeout, _settle, answer, Failure(error("no answer in time")))
    done.addBoth(lambda result: clock.callLater(0, _settle, answer, result))
    answer.addBoth(_stop_timer, timer)
    return answer


def _settle(answer, result):
    if not answer.called:
        answer.callback(result)


def _stop_timer(result, timer):
    if timer.active():
        timer.cancel()
    return result
