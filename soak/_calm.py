"""Which instances a bound in time holds for: those that nothing has disturbed for a while."""

#: Time without a disturbance after which bounds hold for an instance again. Unit: seconds.
CONTACT_S = 3.0

#: Longest time that a process may take until it answers for the first time: several soaks side by
#: side share the processors. Unit: seconds.
STARTING_S = 10.0


class Calm:
    """Remembers until when each instance was disturbed.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self._until = {}
        self._started = {}

    def disturb(self, names, for_s=0.0):
        """Note that instances are disturbed from now on, for so long. Unit: seconds."""
        until = self.reactor.seconds() + for_s
        for name in names:
            self._until[name] = max(until, self._until.get(name, 0.0))

    def start(self, name):
        """Note that a process is started; that disturbs the instance until it answers."""
        self.disturb([name])
        self._started[name] = self.reactor.seconds()

    def answered(self, name):
        """Note that the instance's process answers."""
        if self._started.pop(name, None) is not None:
            self.disturb([name])

    def holds(self, name, at):
        """Whether nothing disturbed the instance from `CONTACT_S` before `at` until now."""
        started = self._started.get(name)
        if started is not None and self.reactor.seconds() < started + STARTING_S:
            return False
        return self._until.get(name, 0.0) <= at - CONTACT_S
