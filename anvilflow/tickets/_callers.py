"""The instances that make advice requests: which answer, and when each will be free."""

from ._in_progress import OVERDUE_S

#: Time for which an instance gets no requests after one that failed; doubles with each further
#: failure, up to the maximum. An instance that is cut off holds each request for 3 s. Unit:
#: seconds.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0

#: Doublings of the back-off after which it is at its maximum.
_MAX_DOUBLINGS = 2

#: Expected duration from which a request counts as long. Unit: seconds.
LONG_REQUEST_S = 0.25


class _Caller:
    """One instance: its requests in progress, and how its last ones ended.

    `ends` holds the expected ends of its requests, `durations` their expected durations. The
    service answers the requests of an instance one at a time.
    """

    __slots__ = ("backoff_until", "durations", "ends", "n_failures")

    def __init__(self):
        self.durations = []
        self.ends = []
        self.n_failures = 0
        self.backoff_until = 0.0

    def answers(self, now):
        """Whether the instance is in no back-off and no request of it is overdue."""
        is_overdue = bool(self.ends) and now > self.ends[0] + OVERDUE_S
        return self.backoff_until <= now and not is_overdue

    def free_in_s(self, now):
        """Return the expected time until all its requests are answered. Unit: seconds."""
        return max(0.0, self.ends[-1] - now) if self.ends else 0.0

    def makes_long_request(self):
        """Whether a long request is in progress."""
        return any(each > LONG_REQUEST_S for each in self.durations)


class CallerTable:
    """Chooses the instance for each request and tracks which instances answer.

    Examples
    --------
    >>> callers = CallerTable()
    >>> callers.sent("a", 0.8, now=0.0)
    >>> callers.choose(["a", "b"], 0.05, now=0.0)
    'b'
    """

    __slots__ = ("_by_name",)

    def __init__(self):
        self._by_name = {}

    def _of(self, name):
        return self._by_name.setdefault(name, _Caller())

    def sent(self, name, duration_s, now):
        """Note a request that an instance makes. Unit of `duration_s`: seconds."""
        caller = self._of(name)
        caller.ends.append(now + caller.free_in_s(now) + duration_s)
        caller.durations.append(duration_s)

    def finished(self, name, duration_s, now, *, is_answered):
        """Note that a request of an instance was answered or failed."""
        caller = self._of(name)
        if duration_s in caller.durations:
            caller.durations.remove(duration_s)
            caller.ends.pop()
        caller.ends = _ends_of(caller.durations, now)
        if is_answered:
            caller.n_failures = 0
            caller.backoff_until = 0.0
            return
        backoff_s = min(
            MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(caller.n_failures, _MAX_DOUBLINGS)
        )
        caller.n_failures += 1
        caller.backoff_until = now + backoff_s

    def n_answering(self, names, now):
        """Return the number of instances that answer; at least 1."""
        return max(1, sum(self._of(name).answers(now) for name in names))

    def choose(self, names, duration_s, now):
        """Return the instance for a request, the first of `names` among equal ones.

        Instances that make no long request come first, then those that are free soonest. An
        instance whose last request failed is tried again with a long request: a short one is for
        work that cannot wait for the time-out.
        """
        available = [name for name in names if self._of(name).answers(now)] or list(names)
        is_short = duration_s <= LONG_REQUEST_S

        def cost(name):
            caller = self._of(name)
            return (
                is_short and caller.n_failures > 0,
                caller.makes_long_request(),
                caller.free_in_s(now),
            )

        return min(available, key=cost)

    def forget_all_but(self, names):
        """Drop the state of instances that are gone and have no request in progress."""
        kept = set(names)
        for name, caller in list(self._by_name.items()):
            if name not in kept and not caller.durations:
                del self._by_name[name]


def _ends_of(durations, now):
    """Return the expected ends of requests that are made one after the other from now."""
    ends = []
    for duration_s in durations:
        now += duration_s
        ends.append(now)
    return ends
