"""Which instances a bound in time holds for: those that nothing has disturbed for a while."""

#: Time without a disturbance after which bounds hold for an instance again. Unit: seconds.
CONTACT_S = 3.0


class Calm:
    """Remembers until when each instance was disturbed.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self._until = {}

    def disturb(self, names, for_s=0.0):
        """Note that instances are disturbed from now on, for so long. Unit: seconds."""
        until = self.reactor.seconds() + for_s
        for name in names:
            self._until[name] = max(until, self._until.get(name, 0.0))

    def holds(self, name, at):
        """Whether nothing disturbed the instance from `CONTACT_S` before `at` until now."""
        return self._until.get(name, 0.0) <= at - CONTACT_S
