"""Time limits and windows that adapt to round-trip times."""

from anvilflow.decisions import RoundTrip, RoundTripSettings, SendWindow
from anvilflow.decisions._send_window import MIN_LIMIT


def _answer(window, seconds, *, n_answers, now=0.0):
    """Answer calls that fill the window; return the time of the last answer."""
    for _ in range(n_answers):
        window.n_in_flight = window.limit
        now += seconds / window.limit
        window.answered(seconds, mean_s=seconds, now=now)
    return now


def test_limit_follows_slower_answers():
    """With a time limit below the round-trip time of a slow link, each call is sent again."""
    round_trip = RoundTrip()
    for _ in range(20):
        round_trip.answered(0.005)
    assert round_trip.limit_s() < 0.02
    for _ in range(20):
        round_trip.answered(0.4)
    assert 0.4 < round_trip.limit_s() < 1.0


def test_limit_doubles_without_answers_up_to_longest_limit():
    """The mean cannot grow without answers, so the limit has to grow by time-outs alone."""
    round_trip = RoundTrip(settings=RoundTripSettings(longest_s=1.5))
    round_trip.answered(0.1)
    for _ in range(20):
        round_trip.timed_out()
    assert round_trip.limit_s() == 1.5
    round_trip.answered(0.1)
    assert round_trip.limit_s() < 0.5


def test_window_shrinks_while_answers_queue_and_grows_again():
    """A window that does not shrink while answers queue would keep a congested link full."""
    window = SendWindow(now=0.0)
    now = _answer(window, 0.005, n_answers=100)
    grown = window.limit
    assert grown > 100
    now = _answer(window, 0.5, n_answers=3 * grown, now=now)
    shrunk = window.limit
    assert shrunk < grown / 2
    _answer(window, 0.005, n_answers=10 * shrunk, now=now)
    assert window.limit > shrunk


def test_window_never_closes():
    """If the window could close, no answer would show that the link has recovered."""
    window = SendWindow(now=0.0)
    now = _answer(window, 0.005, n_answers=5)
    _answer(window, 2.0, n_answers=2_000, now=now)
    assert window.limit == MIN_LIMIT
    window.n_in_flight = 0
    assert window.is_open


def test_window_that_is_not_used_does_not_grow():
    """Quick answers to a few calls do not show that the link can carry hundreds of calls."""
    window = SendWindow(now=0.0)
    first = window.limit
    for number in range(100):
        window.n_in_flight = 1
        window.answered(0.005, mean_s=0.005, now=0.1 * number)
    assert window.limit == first
