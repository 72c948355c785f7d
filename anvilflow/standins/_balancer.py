"""Stand-in for the platform's load balancer: distributes connections over healthy instances."""


class Balancer:
    """Chooses a gateway for each connection, in round-robin order.

    Parameters
    ----------
    addresses : dict of str to str
        Address for callers, by instance.
    """

    def __init__(self, *, addresses):
        self.addresses = dict(addresses)
        self._healthy = list(addresses)
        self._turn = 0

    def set_healthy(self, names):
        """Set the instances that passed the health check."""
        self._healthy = [name for name in self.addresses if name in names]

    def choose(self):
        """Return the name and address of the next instance, or None when none is healthy."""
        if not self._healthy:
            return None
        self._turn += 1
        name = self._healthy[self._turn % len(self._healthy)]
        return name, self.addresses[name]
