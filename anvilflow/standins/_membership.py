"""Stand-in for the platform's membership list, which shows changes after a delay."""

from ..clients import MembershipList
from ..utils import to_builtins
from ._server import make_app


class MembershipState:
    """Membership list as it was `lag_s` ago.

    Parameters
    ----------
    clock : IReactorTime
    lag_s : float, default=0.5
        Delay until a change is visible. Unit: seconds.
    """

    def __init__(self, *, clock, lag_s=0.5):
        self.clock = clock
        self.lag_s = lag_s
        self._members = {}
        self._visible = {}
        self._pending = []

    def put(self, member):
        """Add or change a member."""
        self._pending.append((self.clock.seconds() + self.lag_s, member.name, member))

    def remove(self, name):
        """Remove a member from the list."""
        self._pending.append((self.clock.seconds() + self.lag_s, name, None))

    def settle(self):
        """Make all changes visible now."""
        self._pending = [(0.0, name, member) for _, name, member in self._pending]

    def read(self):
        """Return the list as visible now."""
        now = self.clock.seconds()
        while self._pending and self._pending[0][0] <= now:
            _, name, member = self._pending.pop(0)
            if member is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = member
        return MembershipList(members=list(self._visible.values()))


class MembershipServer:
    """Serves a :class:`MembershipState` over HTTP."""

    def __init__(self, *, state, faults):
        self.state = state
        self.app = make_app({"members": lambda value: to_builtins(state.read())}, faults)
