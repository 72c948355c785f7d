"""Record of disturbances: time bounds apply only to instances that are undisturbed."""

#: Time after the end of a disturbance from which bounds apply to an instance again. Unit: seconds.
UNDISTURBED_S = 3.0

#: Maximum time from the start of a process to its first answer. It is long because several soaks
#: may run in parallel and share the processors. Unit: seconds.
STARTUP_TIMEOUT_S = 10.0


class DisturbanceTracker:
    """Records the time until which each instance is disturbed.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self._until = {}
        self._started = {}

    def add_disturbance(self, names, for_s=0.0):
        """Record that instances are disturbed from now on for `for_s`. Unit: seconds."""
        until = self.reactor.seconds() + for_s
        for name in names:
            self._until[name] = max(until, self._until.get(name, 0.0))

    def start(self, name):
        """Record the start of a process: the instance is disturbed until its first answer."""
        self.add_disturbance([name])
        self._started[name] = self.reactor.seconds()

    def record_answer(self, name):
        """Record an answer of the instance's process; the first one completes its start."""
        if self._started.pop(name, None) is not None:
            self.add_disturbance([name])

    def is_undisturbed(self, name, at):
        """Return whether the instance is undisturbed from `UNDISTURBED_S` before `at` until now."""
        started = self._started.get(name)
        if started is not None and self.reactor.seconds() < started + STARTUP_TIMEOUT_S:
            return False
        return self._until.get(name, 0.0) <= at - UNDISTURBED_S
