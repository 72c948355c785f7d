"""Spreads calls for advice over the instances."""

from ..exceptions import AnvilflowError
from ..platform import Advice

#: Wait for an answer that another instance fetches. The service answers one call of an instance at
#: a time; two of the longest take 2 s. Unit: seconds.
TIMEOUT_S = 3.0

#: Time for which an instance that gave no answer is left out. Unit: seconds.
BACKOFF_S = 1.0


class AdviceDispatcher:
    """Chooses the instance that asks next.

    The service takes one call at a time of each calling machine, and a call for heavy work takes
    0.8 s: from one machine alone a cell could place one such step a second.

    Parameters
    ----------
    context : CellContext
    """

    def __init__(self, *, context):
        self.context = context
        self._busy = {}
        self._rested = {}

    @property
    def n_advice_callers(self):
        """Instances that can ask."""
        return 1 + len(self.context.links.peers) if self.context.links is not None else 1

    def ask(self, step, workers, length_s):
        """Return a Deferred of the :class:`Advice`, or of None when there was no answer.

        Parameters
        ----------
        step : str
        workers : list of str
        length_s : float
            How long the answer takes: the instance with least of it ahead asks. Unit: seconds.
        """
        name = self._choose()
        self._busy[name] = self._busy.get(name, 0.0) + length_s
        if name == self.context.name:
            done = self.context.advice.ask(step, workers)
        else:
            done = self.context.links.request_advice(name, TIMEOUT_S, step=step, workers=workers)
            done.addCallback(_advice_of)
        done.addErrback(self._failed, name)
        done.addBoth(self._over, name, length_s)
        return done

    def _choose(self):
        now = self.context.clock.seconds()
        links = self.context.links
        names = [self.context.name, *(links.peers if links is not None else ())]
        rested = [name for name in names if self._rested.get(name, 0.0) <= now] or names
        return min(rested, key=lambda name: (self._busy.get(name, 0.0), name == self.context.name))

    def _failed(self, failure, name):
        failure.trap(AnvilflowError)
        self._rested[name] = self.context.clock.seconds() + BACKOFF_S
        return None

    def _over(self, result, name, length_s):
        self._busy[name] = max(0.0, self._busy[name] - length_s)
        return result


def _advice_of(reply):
    if reply.error:
        return None
    tickets = dict(zip(reply.workers, reply.tickets, strict=True))
    return Advice(tickets=tickets, valid_s=reply.valid_s)
