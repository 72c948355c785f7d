"""Requests that instances are making, whether or not a step still waits for them."""

from msgspec import Struct

#: Time beyond its expected duration after which a request is overdue. Its instance then counts as
#: lost, and neither the instance nor the request is counted. Requests of an instance do not wait
#: for long ones of their own, and an answer passes a slow link within 0.3 s. Unit: seconds.
OVERDUE_S = 0.5


class _Request(Struct, kw_only=True, frozen=True):
    number: int
    is_long: bool
    overdue_at: float


class RequestsInProgress:
    """Counts the short and long requests that instances are making.

    The request of a job that has ended still occupies its instance until the answer arrives.

    Examples
    --------
    >>> requests = RequestsInProgress()
    >>> requests.sent("a", duration_s=1.0, is_long=True, now=0.0)
    1
    >>> requests.count(is_long=True, now=0.5), requests.count(is_long=True, now=2.0)
    (1, 0)
    """

    __slots__ = ("_by_key", "_n_sent")

    def __init__(self):
        self._by_key = {}
        self._n_sent = 0

    def sent(self, key, *, duration_s, is_long, now):
        """Note a request for the step called `key`; return its number, from 1. Unit: seconds."""
        self._n_sent += 1
        request = _Request(
            number=self._n_sent, is_long=is_long, overdue_at=now + duration_s + OVERDUE_S
        )
        self._by_key.setdefault(key, []).append(request)
        return request.number

    def answered(self, key, number=0):
        """Note that a request for a step was answered or failed: the oldest if `number` is 0.

        The late answer of a request that was dropped changes nothing.
        """
        requests = self._by_key.get(key, [])
        if number:
            requests[:] = [each for each in requests if each.number != number]
        else:
            del requests[:1]
        if not requests:
            self._by_key.pop(key, None)

    def drop_overdue(self, now):
        """Drop the requests that are overdue; return the steps that have none in progress."""
        dropped = []
        for key, requests in list(self._by_key.items()):
            kept = [each for each in requests if now <= each.overdue_at]
            if kept:
                self._by_key[key] = kept
            else:
                del self._by_key[key]
                dropped.append(key)
        return dropped

    def count(self, *, is_long, now):
        """Return the number of requests of a kind in progress, without overdue ones."""
        return sum(
            each.is_long == is_long and now <= each.overdue_at
            for requests in self._by_key.values()
            for each in requests
        )
