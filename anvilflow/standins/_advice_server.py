"""Stand-in for the advice service of the users' platform."""

from twisted.internet.defer import Deferred

from ..utils import decode_lenient, encode
from ._platform_worker import make_ticket
from ._wire import CALLER


class AdviceServer:
    """Stand-in for the advice service, which returns the workers that may run a step.

    Parameters
    ----------
    clock : Clock
    allowed : set of str
        Ids of the workers that may run any step.
    base_s : float or callable
        Processing time of a call, or a function that returns it for the number of earlier calls.
        Unit: seconds.
    valid_s : float, default=2.5
        Validity period of an answer. Unit: seconds.
    workers : dict of str to PlatformWorker, default=None
        The present incarnations by id, for which the tickets are valid.

    Notes
    -----
    The service processes one call of each calling process at a time, in order of arrival.
    """

    def __init__(self, *, clock, allowed, base_s, valid_s=2.5, workers=None):
        self.clock = clock
        self.allowed = allowed
        self.base_s = base_s
        self.valid_s = valid_s
        self.workers = workers if workers is not None else {}
        self.n_calls = 0
        self._free_at = {}

    def handle(self, method, path, query, body, headers):
        """Return a Deferred of the response, which fires after the processing time."""
        length = self.base_s(self.n_calls) if callable(self.base_s) else self.base_s
        self.n_calls += 1
        caller = headers[CALLER][0]
        now = self.clock.seconds()
        self._free_at[caller] = max(now, self._free_at.get(caller, 0.0)) + length
        call = decode_lenient(body)
        good = [[name, self._ticket(name)] for name in call["workers"] if name in self.allowed]
        done = Deferred()
        answer = (200, encode({"good": good, "valid-ms": int(self.valid_s * 1000)}))
        self.clock.callLater(self._free_at[caller] - now, done.callback, answer)
        return done

    def _ticket(self, name):
        worker = self.workers.get(name)
        return make_ticket(name, worker.born_ms if worker is not None else None)
