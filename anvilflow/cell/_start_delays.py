"""How long new jobs wait until the leader can start their tasks, as instances know it."""

#: Age up to which what a leader told holds: it tells every 0.4 s. Unit: seconds.
MAX_AGE_S = 1.3


class StartDelays:
    """What the leader told last; nothing from a leader that sends starts as they come.

    Parameters
    ----------
    clock : IReactorTime
    """

    def __init__(self, *, clock):
        self.clock = clock
        self._by_priority = {}
        self._told_at = float("-inf")

    def record_report(self, by_priority):
        """Take the waits that a leader tells, by the priority of the queue. Unit: seconds."""
        self._by_priority = by_priority
        self._told_at = self.clock.seconds()

    def wait_s(self, priority):
        """Return how long a new job of a queue of this priority waits. Unit: seconds."""
        if self.clock.seconds() - self._told_at > MAX_AGE_S:
            return 0.0
        ahead = [wait for other, wait in self._by_priority.items() if other <= priority]
        return max(ahead, default=0.0)
