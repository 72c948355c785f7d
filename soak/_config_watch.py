"""Asks all instances, all through a run, for queues that were added and dropped."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

#: Time in which a change must be in force everywhere. Unit: seconds.
APPLY_S = 2.0

#: Time after an answer from which the same process may not go by an older version. Unit: seconds.
DOWNGRADE_S = 0.25

#: Period of looking whether this process is late, and the lateness from which the machine counts as
#: slow, so that its instances are late, too. Unit: seconds.
LAG_PERIOD_S = 0.1
SLOW_S = 0.2

#: Pauses between two questions to one instance: at the least, and for each instance there is, since
#: one process asks them all. Unit: seconds.
ASK_EVERY_S = 0.1
ASK_EACH_S = 0.015

#: Pauses between two changes; a version that is not replaced for 2 s is checked. Unit: seconds.
CHANGE_PAUSES_S = (0.2, 0.6, 2.5, 3.0, 3.5, 5.0)

#: A job that nobody submitted.
_NO_JOB = "0" * 16


class Question(Struct, kw_only=True):
    """What one instance was asked, and when. Unit of `at`: seconds.

    `version` is the newest when it was asked, `asked` the one whose queue the path names.
    """

    name: str
    process: int
    path: str
    version: int
    asked: int
    at: float

    @property
    def is_count(self):
        """Whether it asks for the number of jobs that wait."""
        return self.path.endswith(f"/v{self.asked}/")


class ConfigWatch:
    """Changes the configuration in series, and checks what each instance makes of it.

    Parameters
    ----------
    reactor : IReactorTime
    world : World
    instances : Instances
    callers : Callers
    judge : Judge
    calm : Calm
    random_state : random.Random

    Notes
    -----
    `changes` may be set to False: no changes are made then but those of others.
    """

    def __init__(self, *, reactor, world, instances, callers, judge, calm, random_state):
        self.reactor = reactor
        self.world = world
        self.instances = instances
        self.callers = callers
        self.judge = judge
        self.calm = calm
        self.random_state = random_state
        self.n_checked = 0
        self.changes = True
        self._is_over = False
        self._seen = {}

    def start(self):
        """Begin; return the Deferreds of what goes on until :meth:`stop`."""
        return [
            self._change(),
            self._watch_machine(),
            *(self._ask_one(name) for name in self.instances.names),
        ]

    def stop(self):
        """Ask and change no more."""
        self._is_over = True

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    @inlineCallbacks
    def _change(self):
        while not self._is_over:
            yield self._sleep(self.random_state.choice(CHANGE_PAUSES_S))
            if self.changes and not self._is_over:
                self.world.change_config()

    @inlineCallbacks
    def _watch_machine(self):
        """Note when the machine is short of processor: bounds do not hold on one that is slow."""
        while not self._is_over:
            due_at = self.reactor.seconds() + LAG_PERIOD_S
            yield self._sleep(LAG_PERIOD_S)
            if self.reactor.seconds() - due_at > SLOW_S:
                self.calm.disturb(self.instances.names)

    @inlineCallbacks
    def _ask_one(self, name):
        pause = max(ASK_EVERY_S, ASK_EACH_S * len(self.instances.names))
        while not self._is_over:
            for back, ending in ((0, ""), (1, ""), (0, _NO_JOB)):
                process = self.instances.process_of(name)
                if process is not None and name in self.callers.fronts:
                    yield self._ask(name, process, back, ending)
            yield self._sleep(pause)

    @inlineCallbacks
    def _ask(self, name, process, back, ending):
        version = self.world.config_version
        question = Question(
            name=name,
            process=process,
            path=f"/v{version - back}/{ending}",
            version=version,
            asked=version - back,
            at=self.reactor.seconds(),
        )
        status, _ = yield self.callers.ask(name, b"GET", question.path)
        if self.instances.process_of(name) == process:
            if status is not None:
                self.calm.answered(name)
            self._check_regress(question, status)
            self._check_in_force(question, status)

    def _check_regress(self, question, status):
        """Check that a process does not go by an older version than it has gone by before."""
        key = (question.name, question.process)
        seen, seen_at = self._seen.get(key, (0, 0.0))
        if question.asked < question.version:
            is_older = status == 200
        else:
            # A queue is also unknown to an instance that has a newer version already.
            is_older = status == 404 and question.version == self.world.config_version
        shows = question.asked - 1 if status == 404 else question.asked
        if is_older and shows < seen and question.at > seen_at + DOWNGRADE_S:
            self.judge.went_back(question.name, question.path, seen, status)
        if status == 200 and question.asked > seen:
            self._seen[key] = (question.asked, self.reactor.seconds())

    def _check_in_force(self, question, status):
        """Check that the newest version is in force where it must be."""
        is_due = question.at > self.world.config_at + APPLY_S
        is_newest = question.version == self.world.config_version
        if not (is_due and is_newest and self.calm.holds(question.name, question.at)):
            return
        if status is None and self._is_refused(question):
            return
        self.n_checked += 1
        if not _is_right(question, status):
            age_s = question.at - self.world.config_at
            self.judge.config_not_in_force(question, status, age_s)

    def _is_refused(self, question):
        """Whether an instance that is told to stop takes no more connections.

        Its callers go elsewhere; one whose connection was taken must be answered.
        """
        refused_at = self.world.proxies[f"{question.name} front"].refused_at
        return question.name in self.instances.leaving and refused_at >= question.at


def _is_right(question, status):
    """Whether an answer is one that the newest version allows.

    Only the count is promised whatever else fails: a job's state may have nobody to tell it.
    """
    if question.asked < question.version:
        return status == 404
    return status == 200 if question.is_count else status not in (None, 404)
