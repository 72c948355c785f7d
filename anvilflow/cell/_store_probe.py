"""Probes of the store during an outage, which detect promptly that the store answers again."""

from ..exceptions import PlatformError
from ..runtime import Part
from ._tables import LEADER_KEY, LEADER_TABLE, PART

#: Period of the reads while the last call to the store had no answer. After an outage jobs are
#: refused for up to this time, on average for half of it. Forty instances make 270 reads a second,
#: a twentieth of what their store serves. Unit: seconds.
PROBE_S = 0.15

#: Timeout of one read. Several reads may be pending at once, because a lost answer must not delay
#: the next read. A store that has become slow answers within this time. Unit: seconds.
PROBE_TIMEOUT_S = 0.6


class StoreProbePart(Part):
    """Reads a row periodically while the last call to the store had no answer.

    Client calls and feeds detect by themselves that the store is unavailable. They would detect its
    recovery late: a feed waits for seconds for the lost answer, and a refused client retries only
    after its own delay.
    """

    prefix = "store"

    def start(self):
        """Start the periodic check of the store's health."""
        self.every(PROBE_S, self._probe_if_failing)

    def _probe_if_failing(self):
        if self.context.store_health.is_failing:
            self._probe()

    def _probe(self):
        done = self.context.store.read_row(LEADER_TABLE, PART, LEADER_KEY, timeout=PROBE_TIMEOUT_S)
        done.addCallbacks(self._answered, self._unanswered)
        done.addErrback(self.fail_with)

    def _answered(self, _):
        health = self.context.store_health
        if health.is_failing:
            self.log.info("store answers again", after_s=round(health.failing_for_s, 2))
            health.record_answer()

    def _unanswered(self, failure):
        # Not logged: the call that first found the store unavailable has logged it.
        failure.trap(PlatformError)
