"""Continuous check of the configuration that each instance has in force.

Each version of the configuration adds a queue and removes that of the version before. All instances
are queried for both throughout a soak.
"""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

#: Maximum time from a change until it is in force on all undisturbed instances. Unit: seconds.
APPLY_S = 2.0

#: Time after an answer by a version from which the same process may not use an older one.
#: Unit: seconds.
REGRESSION_GRACE_S = 0.25

#: Interval at which the lag of this process's timers is checked, and the lag above which the
#: machine counts as overloaded, so that the instances lag, too. Unit: seconds.
LAG_CHECK_INTERVAL_S = 0.1
MAX_LAG_S = 0.2

#: Pause between two rounds of queries to one instance: its minimum, and a share for each instance,
#: because one process queries all of them. Unit: seconds.
MIN_QUERY_PAUSE_S = 0.1
QUERY_PAUSE_PER_INSTANCE_S = 0.015

#: Pauses between two changes. Only a version that is in place for over 2 s is checked.
#: Unit: seconds.
CHANGE_PAUSES_S = (0.2, 0.6, 2.5, 3.0, 3.5, 5.0)

#: Id of a job that was never submitted.
_NO_JOB = "0" * 16


class ConfigQuery(Struct, kw_only=True):
    """One query to an instance, sent at time `at`. Unit of `at`: seconds.

    `version` is the newest version at that time, `asked` the one whose queue `path` names.
    """

    name: str
    process: int
    path: str
    version: int
    asked: int
    at: float

    @property
    def is_count_query(self):
        """Whether the query asks for the number of pending jobs."""
        return self.path.endswith(f"/v{self.asked}/")


class ConfigWatch:
    """Changes the configuration repeatedly and checks which version each instance uses.

    Parameters
    ----------
    reactor : IReactorTime
    environment : Environment
    instances : Instances
    callers : Callers
    checker : InvariantChecker
    disturbances : DisturbanceTracker
    random_state : random.Random

    Notes
    -----
    While `changes_enabled` is False, this class makes no changes.
    """

    def __init__(
        self, *, reactor, environment, instances, callers, checker, disturbances, random_state
    ):
        self.reactor = reactor
        self.environment = environment
        self.instances = instances
        self.callers = callers
        self.checker = checker
        self.disturbances = disturbances
        self.random_state = random_state
        self.n_checked = 0
        self.changes_enabled = True
        self._is_over = False
        self._seen = {}

    def start(self):
        """Start; return the Deferreds of the activities that run until :meth:`stop`."""
        return [
            self._change(),
            self._watch_machine(),
            *(self._query_instance(name) for name in self.instances.names),
        ]

    def stop(self):
        """Stop all queries and changes."""
        self._is_over = True

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    @inlineCallbacks
    def _change(self):
        while not self._is_over:
            yield self._sleep(self.random_state.choice(CHANGE_PAUSES_S))
            if self.changes_enabled and not self._is_over:
                self.environment.change_config()

    @inlineCallbacks
    def _watch_machine(self):
        """Record a disturbance of all instances when the machine is overloaded."""
        while not self._is_over:
            due_at = self.reactor.seconds() + LAG_CHECK_INTERVAL_S
            yield self._sleep(LAG_CHECK_INTERVAL_S)
            if self.reactor.seconds() - due_at > MAX_LAG_S:
                self.disturbances.add_disturbance(self.instances.names)

    @inlineCallbacks
    def _query_instance(self, name):
        pause = max(MIN_QUERY_PAUSE_S, QUERY_PAUSE_PER_INSTANCE_S * len(self.instances.names))
        while not self._is_over:
            for back, suffix in ((0, ""), (1, ""), (0, _NO_JOB)):
                process = self.instances.process_of(name)
                if process is not None and name in self.callers.fronts:
                    yield self._query(name, process, back, suffix)
            yield self._sleep(pause)

    @inlineCallbacks
    def _query(self, name, process, back, suffix):
        version = self.environment.config_version
        config_query = ConfigQuery(
            name=name,
            process=process,
            path=f"/v{version - back}/{suffix}",
            version=version,
            asked=version - back,
            at=self.reactor.seconds(),
        )
        status, _ = yield self.callers.send_request(name, b"GET", config_query.path)
        if self.instances.process_of(name) == process:
            if status is not None:
                self.disturbances.record_answer(name)
            self._check_regression(config_query, status)
            self._check_in_force(config_query, status)

    def _check_regression(self, config_query, status):
        """Check that a process does not use an older version than it has used before."""
        key = (config_query.name, config_query.process)
        seen, seen_at = self._seen.get(key, (0, 0.0))
        if config_query.asked < config_query.version:
            is_older = status == 200
        else:
            # An instance with a newer version answers 404 for this queue, too.
            is_older = status == 404 and config_query.version == self.environment.config_version
        shows = config_query.asked - 1 if status == 404 else config_query.asked
        if is_older and shows < seen and config_query.at > seen_at + REGRESSION_GRACE_S:
            self.checker.version_regressed(config_query.name, config_query.path, seen, status)
        if status == 200 and config_query.asked > seen:
            self._seen[key] = (config_query.asked, self.reactor.seconds())

    def _check_in_force(self, config_query, status):
        """Check that an undisturbed instance uses the newest version once it is due."""
        is_due = config_query.at > self.environment.config_at + APPLY_S
        is_newest = config_query.version == self.environment.config_version
        if not (
            is_due
            and is_newest
            and self.disturbances.is_undisturbed(config_query.name, config_query.at)
        ):
            return
        if status is None and self._is_refused(config_query):
            return
        self.n_checked += 1
        if not _is_allowed_answer(config_query, status):
            age_s = config_query.at - self.environment.config_at
            self.checker.config_not_in_force(config_query, status, age_s)

    def _is_refused(self, config_query):
        """Return whether a terminating instance refused the connection of a query.

        Callers use other instances then. A call on an accepted connection must be answered.
        """
        refused_at = self.environment.proxies[f"{config_query.name} front"].refused_at
        return config_query.name in self.instances.terminating and refused_at >= config_query.at


def _is_allowed_answer(config_query, status):
    """Return whether the newest version allows an answer.

    Only the number of pending jobs is guaranteed under every failure. A job's state may be
    unavailable because no instance can report it.
    """
    if config_query.asked < config_query.version:
        return status == 404
    return status == 200 if config_query.is_count_query else status not in (None, 404)
