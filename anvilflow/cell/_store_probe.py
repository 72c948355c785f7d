"""Sees at once when the store answers this instance again."""

from ..exceptions import PlatformError
from ..runtime import Part
from ._tables import LEADER_KEY, LEADER_TABLE, PART

#: Period of the readings while the store is in doubt. Jobs are refused for this long after an
#: outage, and half of it on average. Forty instances make 270 readings a second with it, a
#: twentieth of what their store serves. Unit: seconds.
PROBE_S = 0.15

#: Wait for one reading. More than one is under way: an answer that was lost must not delay the
#: next, and a store that has become slow answers within this time. Unit: seconds.
PROBE_TIMEOUT_S = 0.6


class StoreProbePart(Part):
    """Reads a row again and again while the last call to the store had no answer.

    Clients' calls and feeds find out by themselves that the store is away. That it is back they
    would find out late: a feed waits for seconds for the answer that was lost, and a client who
    was refused is only there again at the end of its own wait.
    """

    prefix = "store"

    def start(self):
        """Watch the store's health."""
        self.every(PROBE_S, self._probe_if_bad)

    def _probe_if_bad(self):
        if self.context.store_health.is_bad:
            self._probe()

    def _probe(self):
        done = self.context.store.read_row(LEADER_TABLE, PART, LEADER_KEY, timeout=PROBE_TIMEOUT_S)
        done.addCallbacks(self._answered, self._unanswered)
        done.addErrback(self.fail_with)

    def _answered(self, _):
        health = self.context.store_health
        if health.is_bad:
            self.log.info("store answers again", after_s=round(health.bad_for_s, 2))
            health.good()

    def _unanswered(self, failure):
        # Said once, by the call that found the store away; this one only confirms it.
        failure.trap(PlatformError)
