"""Final phase of a soak: growth of the configuration in some soaks, then a loss of power."""

from msgspec import Struct
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.task import deferLater

#: Fraction of the soaks in which the configuration grows before the loss of power.
GROW_SHARE = 0.25

#: Number of routes added by each growth (350 KB), number of growths, and their interval.
#: Unit: seconds.
ROUTES_PER_GROWTH = 1400
N_GROWTHS = 3
GROWTH_INTERVAL_S = 4.5

#: Rates of the instances' links to the store from the growth on. Unit: bytes per second.
LINK_RATES = (625_000, 1_250_000, 2_500_000, 12_500_000)

#: Time without faults after which all instances have contact again, and maximum time in which an
#: instance applies a configuration. A drained instance is restarted after 7 s and has contact 4 s
#: later. Unit: seconds.
RECOVERY_S = 9.0
APPLY_S = 3.0

#: Maximum wait for the acknowledgement that triggers the loss of power, and time for which callers
#: continue after some instances have restarted. Unit: seconds.
ACKNOWLEDGEMENT_TIMEOUT_S = 3.0
AFTER_POWER_LOSS_S = 4.0

#: Interval at which each instance is asked for the newest queue. Unit: seconds.
CHECK_INTERVAL_S = 0.25


class FinalPhase(Struct, kw_only=True):
    """Parameters of the final phase.

    Power is lost right after the acknowledgement of `right_after`; `n_back` instances restart after
    `down_s`. Unit of `down_s`: seconds.
    """

    grows: bool
    right_after: str
    down_s: float
    n_back: int


def make_final_phase(random_state, *, n_instances):
    """Return a random final phase."""
    return FinalPhase(
        grows=random_state.random() < GROW_SHARE,
        right_after=random_state.choice(
            ["accepted", "accepted", "cancelled", "completed", "configuration"]
        ),
        down_s=random_state.choice([0.1, 0.5, 2.0, 7.0]),
        n_back=random_state.randint(1, n_instances),
    )


class FinalPhaseRunner:
    """Runs the final phase of a soak.

    Parameters
    ----------
    reactor : IReactorTime
    environment : Environment
    instances : Instances
    callers : Callers
    checker : InvariantChecker
    random_state : random.Random
    watch : ConfigWatch
        Makes no more changes once the growth begins.
    """

    def __init__(self, *, reactor, environment, instances, callers, checker, random_state, watch):
        self.reactor = reactor
        self.environment = environment
        self.instances = instances
        self.callers = callers
        self.checker = checker
        self.random_state = random_state
        self.watch = watch

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    @inlineCallbacks
    def play(self, final_phase):
        """Grow the configuration if requested, then lose power; callers continue meanwhile."""
        if final_phase.grows:
            yield self._grow()
        yield self._wait_for(final_phase.right_after)
        self.instances.lose_power()
        yield self._sleep(final_phase.down_s)
        back = self.random_state.sample(self.instances.names, final_phase.n_back)
        for name in self.instances.names:
            if name in back:
                self.instances.power_on(name)
            else:
                # The platform routes callers only to instances that answer its checks.
                del self.callers.fronts[name]
        yield self._sleep(AFTER_POWER_LOSS_S)

    @inlineCallbacks
    def _grow(self):
        self.environment.heal()
        for name in self.instances.names:
            self.instances.start(name)
            rate = self.random_state.choice(LINK_RATES)
            self.environment.proxies[f"{name} store"].limit(rate)
        # The links stay limited to the end. On them, the configuration in force is checked below,
        # with a separate bound. A series of changes of 1.4 MB on the wire, which take 2.2 s each
        # there, would saturate them.
        self.watch.disturbances.add_disturbance(self.instances.names, float("inf"))
        self.watch.changes_enabled = False
        yield self._sleep(RECOVERY_S)
        for _ in range(N_GROWTHS):
            self.environment.change_config(n_more=ROUTES_PER_GROWTH)
            until = self.reactor.seconds() + GROWTH_INTERVAL_S
            while self.reactor.seconds() < until:
                yield self.check_config()
                yield self._sleep(CHECK_INTERVAL_S)

    @inlineCallbacks
    def _wait_for(self, what):
        if what == "configuration":
            self.environment.change_config()
            return
        waiting = Deferred()

        def acknowledged(received):
            if received == what and not waiting.called:
                waiting.callback(None)

        self.callers.acknowledged = acknowledged
        waiting.addTimeout(ACKNOWLEDGEMENT_TIMEOUT_S, self.reactor, onTimeoutCancel=lambda *_: None)
        yield waiting

    @inlineCallbacks
    def check_config(self):
        """Check that each instance uses the newest configuration once it is due."""
        version, age_s = (
            self.environment.config_version,
            self.reactor.seconds() - self.environment.config_at,
        )
        if age_s < APPLY_S:
            return
        names = sorted(self.callers.fronts)
        for path in (f"/v{version}/", f"/v{version - 1}/"):
            answers = yield gatherResults(
                [self.callers.send_request(n, b"GET", path) for n in names]
            )
            for name, (status, _) in zip(names, answers, strict=True):
                wrong_status = 404 if path == f"/v{version}/" else 200
                if status == wrong_status:
                    self.checker.old_config_used(name, path, version, age_s)
