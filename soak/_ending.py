"""How a soak ends: in some the configuration grows; all lose power; some instances come back."""

from msgspec import Struct
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.task import deferLater

#: Share of the soaks in which the configuration grows before the end.
GROW_SHARE = 0.25

#: Each growth: so many routes, 350 KB. They come this far apart. Unit: seconds.
MORE_ROUTES = 1400
N_GROWTHS = 3
GROWTH_EVERY_S = 4.5

#: Rates of the instances' links to the store while it grows. Unit: bytes a second.
LINK_RATES = (625_000, 1_250_000, 2_500_000, 12_500_000)

#: Calm after which all instances are in touch, and time in which one applies a configuration. One
#: that drains is back after 7 s, and in touch 4 s later. Unit: seconds.
CALM_S = 9.0
APPLY_S = 3.0

#: Longest wait for the acknowledgement upon which power is lost, and how long calls go on after it.
#: Unit: seconds.
PATIENCE_S = 3.0
GO_ON_S = 4.0

#: Period of asking each instance for the newest queue. Unit: seconds.
PROBE_S = 0.25


class Ending(Struct, kw_only=True):
    """The end of a soak: power is lost right after the acknowledgement of `right_after`."""

    grows: bool
    right_after: str
    down_s: float
    n_back: int


def make_ending(random_state, *, n_instances):
    """Return a random ending."""
    return Ending(
        grows=random_state.random() < GROW_SHARE,
        right_after=random_state.choice(
            ["accepted", "accepted", "cancelled", "completed", "configuration"]
        ),
        down_s=random_state.choice([0.1, 0.5, 2.0, 7.0]),
        n_back=random_state.randint(1, n_instances),
    )


class LastFaults:
    """Carries an ending out.

    Parameters
    ----------
    reactor : IReactorTime
    world : World
    instances : Instances
    callers : Callers
    judge : Judge
    random_state : random.Random
    watch : ConfigWatch
        Makes no changes once the configuration has grown.
    """

    def __init__(self, *, reactor, world, instances, callers, judge, random_state, watch):
        self.reactor = reactor
        self.world = world
        self.instances = instances
        self.callers = callers
        self.judge = judge
        self.random_state = random_state
        self.watch = watch

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    @inlineCallbacks
    def play(self, ending):
        """Let the configuration grow if it does, then lose power; calls go on meanwhile."""
        if ending.grows:
            yield self._grow()
        yield self._wait_for(ending.right_after)
        self.instances.lose_power()
        yield self._sleep(ending.down_s)
        back = self.random_state.sample(self.instances.names, ending.n_back)
        for name in self.instances.names:
            if name in back:
                self.instances.power_on(name)
            else:
                # The platform sends callers to instances that answer it.
                del self.callers.fronts[name]
        yield self._sleep(GO_ON_S)

    @inlineCallbacks
    def _grow(self):
        self.world.heal()
        for name in self.instances.names:
            self.instances.start(name)
            rate = self.random_state.choice(LINK_RATES)
            self.world.proxies[f"{name} store"].limit(rate)
        # What is in force on narrow links is checked below, by a bound of its own, and they stay.
        # A series of changes of 1.4 MB on the wire, which take 2.2 s each there, would fill them.
        self.watch.calm.disturb(self.instances.names, float("inf"))
        self.watch.changes = False
        yield self._sleep(CALM_S)
        for _ in range(N_GROWTHS):
            self.world.change_config(n_more=MORE_ROUTES)
            until = self.reactor.seconds() + GROWTH_EVERY_S
            while self.reactor.seconds() < until:
                yield self.check_config()
                yield self._sleep(PROBE_S)

    @inlineCallbacks
    def _wait_for(self, what):
        if what == "configuration":
            self.world.change_config()
            return
        waiting = Deferred()

        def acknowledged(heard):
            if heard == what and not waiting.called:
                waiting.callback(None)

        self.callers.acknowledged = acknowledged
        waiting.addTimeout(PATIENCE_S, self.reactor, onTimeoutCancel=lambda *_: None)
        yield waiting

    @inlineCallbacks
    def check_config(self):
        """Check what each instance makes of the newest configuration once it must be in force."""
        version, age_s = self.world.config_version, self.reactor.seconds() - self.world.config_at
        if age_s < APPLY_S:
            return
        names = sorted(self.callers.fronts)
        for path in (f"/v{version}/", f"/v{version - 1}/"):
            answers = yield gatherResults([self.callers.ask(n, b"GET", path) for n in names])
            for name, (status, _) in zip(names, answers, strict=True):
                wrong_status = 404 if path == f"/v{version}/" else 200
                if status == wrong_status:
                    self.judge.old_config_used(name, path, version, age_s)
