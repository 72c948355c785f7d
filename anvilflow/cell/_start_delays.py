"""Start delays of new jobs, as last reported by the leader."""

#: Age up to which a report of the leader is valid; the leader reports every 0.4 s. Unit: seconds.
MAX_REPORT_AGE_S = 1.3


class StartDelays:
    """Expected start delays by queue priority; empty while the leader sends starts at once.

    Parameters
    ----------
    clock : IReactorTime
    """

    def __init__(self, *, clock):
        self.clock = clock
        self._by_priority = {}
        self._updated_at = float("-inf")

    def record_report(self, by_priority):
        """Record the delays reported by the leader, by queue priority. Unit: seconds."""
        self._by_priority = by_priority
        self._updated_at = self.clock.seconds()

    def wait_s(self, priority):
        """Return the expected start delay of a new job in a queue of `priority`. Unit: seconds.

        That is the longest delay reported for queues of the same or a lower priority number.
        """
        if self.clock.seconds() - self._updated_at > MAX_REPORT_AGE_S:
            return 0.0
        ahead = [delay for other, delay in self._by_priority.items() if other <= priority]
        return max(ahead, default=0.0)
