"""Removal of the rows of ended jobs, and changes of leader after it."""

import signal

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

#: Time for which the instances keep the states of ended jobs in a soak with this phase. It is
#: longer than the faults, so that callers are shown the end of each job. Unit: seconds.
STATUS_KEPT_S = 8.0

#: Maximum wait for the removal of all rows after that time. Unit: seconds.
REMOVAL_TIMEOUT_S = 40.0

#: Number of changes of leader, their kinds, and bounds of the time between two. Unit: seconds.
N_CHANGES = 4
KINDS = ("kill", "drain", "pause", "reset")
INTERVALS_S = (2.0, 4.0)

#: Pause after which a leader has been replaced. Unit: seconds.
PAUSE_S = 2.0


class RemovalPhase:
    """Waits until the rows of all jobs are removed, then replaces the leader several times.

    Parameters
    ----------
    reactor : IReactorTime
    environment : Environment
    instances : Instances
    random_state : random.Random
    """

    def __init__(self, *, reactor, environment, instances, random_state):
        self.reactor = reactor
        self.environment = environment
        self.instances = instances
        self.random_state = random_state

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    def _has_rows(self):
        return any(table == "jobs" for table, _, _ in self.environment.store.rows)

    @inlineCallbacks
    def play(self):
        """Play the phase; return a list with a message if rows were left, else an empty one."""
        until = self.reactor.seconds() + STATUS_KEPT_S + REMOVAL_TIMEOUT_S
        while self._has_rows() and self.reactor.seconds() < until:
            yield self._sleep(0.5)
        if self._has_rows():
            return ["rows of ended jobs were not removed"]
        for _ in range(N_CHANGES):
            self._replace_leader(self.random_state.choice(KINDS))
            yield self._sleep(self.random_state.uniform(*INTERVALS_S))
        return []

    def _replace_leader(self, kind):
        name = self.environment.store.value("home", "home", part="cell")["holder"]
        match kind:
            case "kill":
                self._end(name, signal.SIGKILL, 1.0)
            case "drain":
                self._end(name, signal.SIGTERM, 7.0)
            case "pause":
                self.instances.send(name, signal.SIGSTOP)
                self.reactor.callLater(PAUSE_S, self.instances.send, name, signal.SIGCONT)
            case "reset":
                self.environment.proxies[f"{name} peers"].reset(self.random_state, 1.0)

    def _end(self, name, number, down_s):
        self.instances.send(name, number)
        self.reactor.callLater(down_s, self.instances.start, name)
