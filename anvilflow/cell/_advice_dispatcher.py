"""Distribution of advice requests over the instances of the cell."""

from ..exceptions import AnvilflowError
from ..platform import Advice
from ..tickets import CallerTable

#: Timeout of an advice request that another instance makes. The service answers one request of an
#: instance at a time, and two of the longest requests take 2 s. Unit: seconds.
TIMEOUT_S = 3.0

#: Time for which an instance that did not answer gets no requests. Unit: seconds.
BACKOFF_S = 1.0


class AdviceDispatcher:
    """Chooses the instance that makes the next advice request.

    The service answers one request of a machine at a time, and one for heavy work takes 0.8 s. With
    all requests from one machine, a cell could place about one such step per second.

    Parameters
    ----------
    context : CellContext
    """

    def __init__(self, *, context):
        self.context = context
        self._assigned_s = {}
        self._backoff_until = {}
        self._callers = CallerTable()

    @property
    def n_advice_callers(self):
        """Number of instances that can make advice requests."""
        if self._tracks_callers:
            return self._callers.n_answering(self._names(), self.context.clock.seconds())
        return 1 + len(self.context.links.peers) if self.context.links is not None else 1

    @property
    def _tracks_callers(self):
        """Whether the policy lets the answers of each instance decide."""
        return self.context.settings.policy.tickets == "on"

    def _names(self):
        links = self.context.links
        return [*(links.peers if links is not None else ()), self.context.name]

    def ask(self, step, workers, length_s):
        """Return a Deferred of the :class:`Advice`, or of None if there was no answer.

        Parameters
        ----------
        step : str
        workers : list of str
            Ids of the workers in the registry.
        length_s : float
            Expected duration of the request. The request goes to the instance whose requests in
            progress have the least duration in total. Unit: seconds.
        """
        name = self._choose(length_s)
        self._callers.sent(name, length_s, self.context.clock.seconds())
        self._assigned_s[name] = self._assigned_s.get(name, 0.0) + length_s
        if name == self.context.name:
            done = self.context.advice.ask(step, workers)
        else:
            done = self.context.links.request_advice(name, TIMEOUT_S, step=step, workers=workers)
            done.addCallback(_advice_of)
        done.addErrback(self._on_failed, name)
        done.addBoth(self._on_finished, name, length_s)
        return done

    def _choose(self, length_s):
        now = self.context.clock.seconds()
        if self._tracks_callers:
            return self._callers.choose(self._names(), length_s, now)
        links = self.context.links
        names = [self.context.name, *(links.peers if links is not None else ())]
        available = [name for name in names if self._backoff_until.get(name, 0.0) <= now] or names
        return min(
            available, key=lambda name: (self._assigned_s.get(name, 0.0), name == self.context.name)
        )

    def _on_failed(self, failure, name):
        failure.trap(AnvilflowError)
        self._backoff_until[name] = self.context.clock.seconds() + BACKOFF_S
        return None

    def _on_finished(self, result, name, length_s):
        self._assigned_s[name] = max(0.0, self._assigned_s[name] - length_s)
        now = self.context.clock.seconds()
        self._callers.finished(name, length_s, now, is_answered=result is not None)
        self._callers.forget_all_but(self._names())
        return result


def _advice_of(reply):
    if reply.error:
        return None
    tickets = dict(zip(reply.workers, reply.tickets, strict=True))
    return Advice(tickets=tickets, valid_s=reply.valid_s)
