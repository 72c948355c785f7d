"""Random faults, in series and overlapping, from one seed."""

import signal

from msgspec import Struct

#: Kinds of faults with their weights: what hits the deciding instance comes most often.
KINDS = {
    "kill": 3,
    "kill home": 4,
    "kill half": 1,
    "kill all": 1,
    "pause": 2,
    "pause home": 3,
    "drain": 2,
    "drain home": 2,
    "reload": 1,
    "store silent": 2,
    "store refuses": 2,
    "store slow": 2,
    "store loses answers": 2,
    "store late": 2,
    "store forgets": 1,
    "config": 2,
    "reset": 2,
    "silence": 2,
    "cut to": 2,
    "cut from": 2,
    "delay": 2,
    "worker silent": 3,
    "worker loses answers": 2,
    "worker late": 2,
    "worker crash": 2,
    "worker drains": 1,
    "worker unregistered": 1,
}

#: Kinds that are drawn by themselves, so that the seeds that failed once keep their faults.
LATER_KINDS = {"clock ahead": 1, "clock back": 1, "clocks ahead": 1, "clocks back": 1}

#: Changes of a worker's capacity; drawn separately, so that existing seeds keep their faults.
CAPACITY_KINDS = {"worker resized": 1}

#: Capacities that a worker can be changed to. Unit: thousandths of a core.
CAPACITIES = (1000, 3000, 8000, 12_000)

#: What leaves most instances calm, so that what they make of the configuration is checked: drawn by
#: themselves in every soak, and alone in those that watch the configuration above all.
CONFIG_KINDS = {
    "kill home": 6,
    "pause home": 4,
    "drain home": 2,
    "kill": 2,
    "pause": 2,
    "reload": 2,
    "silence stores": 2,
    "silence peers": 1,
    "silence both": 1,
    "home's peers cut": 2,
    "home's store cut": 2,
    "home's peers reset": 2,
    "reset": 1,
    "delay": 1,
    "store forgets": 1,
    "store silent": 1,
    "worker silent": 1,
    "worker crash": 1,
}

#: Faults that come several times, close together, so that they hit what recovers from the last one;
#: how often, and how far apart. Unit: seconds.
SERIES_KINDS = {"series: kill home": 2, "series: pause home": 1, "series: reload home": 1}
SERIES_LENGTH = 4
SERIES_PAUSES_S = (0.2, 0.4, 0.7)

_CLOCK_SIGNALS = {"ahead": signal.SIGUSR1, "back": signal.SIGUSR2}


class Fault(Struct, kw_only=True):
    """One fault. Unit of `at` and `for_s`: seconds."""

    at: float
    for_s: float
    kind: str
    pick: float


def make_faults(random_state, *, n_faults, seconds, weights=KINDS):
    """Return `n_faults` within a time, ordered by their beginnings."""
    kinds = random_state.choices(list(weights), weights=list(weights.values()), k=n_faults)
    faults = [
        Fault(
            at=random_state.uniform(0.5, seconds),
            for_s=random_state.choice([0.3, 1.0, 2.0, 4.0]),
            kind=kind,
            pick=random_state.random(),
        )
        for kind in kinds
    ]
    return sorted(faults, key=lambda fault: fault.at)


class Injector:
    """Carries faults out.

    Parameters
    ----------
    reactor : IReactorTime
    world : World
    instances : Instances
    random_state : random.Random
    calm : Calm, default=None
        Hears whom a fault of connections or of the store disturbs.
    """

    def __init__(self, *, reactor, world, instances, random_state, calm=None):
        self.reactor = reactor
        self.world = world
        self.instances = instances
        self.random_state = random_state
        self.calm = calm

    def plan(self, faults):
        """Set the clock for each fault."""
        for fault in faults:
            self.reactor.callLater(fault.at, self.inject, fault)

    def _later(self, delay, call, *args):
        self.reactor.callLater(delay, call, *args)

    def _disturb(self, names, for_s=0.0):
        if self.calm is not None:
            self.calm.disturb(names, for_s)

    def _leader(self):
        row = self.world.store.value("home", "home", part="cell")
        return row["holder"] if row else self.instances.names[0]

    def _instance(self, fault):
        names = self.instances.names
        return self._leader() if "home" in fault.kind else names[int(fault.pick * len(names))]

    def _place(self, fault):
        return self.world.places[int(fault.pick * len(self.world.places))]

    def _proxy(self, fault):
        # Not those in front of callers, who cannot tell a fault there from one of the instance.
        names = sorted(name for name in self.world.proxies if not name.endswith("front"))
        return self.world.proxies[names[int(fault.pick * len(names))]]

    def inject(self, fault):
        """Begin a fault and set the time of its end."""
        match fault.kind.split():
            case ["series:", *what]:
                self._begin_series(fault, " ".join(what))
            case ["kill", "all" | "half" as share]:
                self._kill_many(fault, 1.0 if share == "all" else 0.5)
            case ["kill", *_]:
                self._kill(self._instance(fault), fault.for_s)
            case ["pause", *_]:
                name = self._instance(fault)
                self.instances.send(name, signal.SIGSTOP)
                self._later(fault.for_s, self.instances.send, name, signal.SIGCONT)
            case ["drain", *_]:
                name = self._instance(fault)
                self.instances.send(name, signal.SIGTERM)
                self._later(7.0, self.instances.start, name)
            case ["clock" | "clocks" as which, way]:
                names = [self._instance(fault)] if which == "clock" else self.instances.names
                back = "back" if way == "ahead" else "ahead"
                for name in names:
                    self.instances.send(name, _CLOCK_SIGNALS[way])
                    self._later(fault.for_s, self.instances.send, name, _CLOCK_SIGNALS[back])
            case ["reload", *_]:
                self.instances.send(self._instance(fault), signal.SIGHUP)
            case ["config"]:
                self.world.change_config()
            case ["silence", "stores" | "peers" | "both" as which]:
                self._silence_all(which)
            case ["home's", end, what]:
                proxy = self.world.proxies[f"{self._leader()} {end}"]
                self._connections(fault, proxy, "cut both" if what == "cut" else what)
            case ["store", *what]:
                self._store(" ".join(what), fault.for_s)
            case ["worker", *what]:
                self._worker(" ".join(what), self._place(fault), fault.for_s)
            case _:
                self._connections(fault, self._proxy(fault), fault.kind)

    def _begin_series(self, fault, kind):
        each = Fault(at=fault.at, for_s=fault.for_s, kind=kind, pick=fault.pick)
        at = 0.0
        for _ in range(SERIES_LENGTH):
            self._later(at, self.inject, each)
            at += self.random_state.choice(SERIES_PAUSES_S)

    def _kill(self, name, down_s):
        self.instances.send(name, signal.SIGKILL)
        self._later(down_s, self.instances.start, name)

    def _kill_many(self, fault, share):
        for name in self.instances.names:
            if self.random_state.random() < share:
                self._kill(name, fault.for_s / 2)

    def _store(self, what, for_s):
        faults = self.world.store_faults
        if what != "forgets":
            self._disturb(self.instances.names, for_s)
        match what:
            case "silent":
                faults.silent = True
            case "refuses":
                faults.status = 503
            case "slow":
                faults.slow_s = 0.3
            case "loses answers":
                faults.loses_answers = True
            case "late":
                faults.late_s = 1.5
            case "forgets":
                self.world.store.drop_history()
                return
        self._later(for_s, faults.clear)

    def _worker(self, what, place, for_s):
        match what:
            case "silent":
                place.faults.silent = True
                self._later(for_s, place.faults.clear)
            case "loses answers":
                place.faults.loses_answers = True
                self._later(min(for_s, 1.0), place.faults.clear)
            case "late":
                place.worker.n_late_starts = 2
            case "crash":
                self.world.crash(place)
                self._later(for_s, self.world.new_life, place)
            case "drains":
                self.world.drain(place)
                self._later(for_s, self._leave, place)
            case "resized":
                if place.worker.alive:
                    self.world.set_capacity(place, self.random_state.choice(CAPACITIES))
            case "unregistered":
                worker_id = place.worker.worker_id
                self.world.store.remove("servers", worker_id)
                self._later(for_s, self._register, place, worker_id)

    def _leave(self, place):
        if place.worker.alive:
            self.world.crash(place)
            self.world.new_life(place)

    def _register(self, place, worker_id):
        worker = place.worker
        if worker.alive and worker.worker_id == worker_id:
            self.world.store.put("servers", worker_id, worker.entry())

    def _silence_all(self, which):
        """Let the open connections of all instances fall silent, as where a switch forgets them."""
        ends = {"stores": ("store",), "peers": ("peers",), "both": ("store", "peers")}[which]
        for name in self.instances.names:
            for end in ends:
                self.world.proxies[f"{name} {end}"].silence()
        self._disturb(self.instances.names)

    def _connections(self, fault, proxy, what):
        self._disturb_by(proxy, what, fault.for_s)
        match what:
            case "reset":
                proxy.reset(self.random_state, 0.7)
                return
            case "silence":
                proxy.silence()
                return
            case "cut to":
                proxy.cut_to_target = True
            case "cut from":
                proxy.cut_from_target = True
            case "cut both":
                proxy.cut_to_target = proxy.cut_from_target = True
            case "delay":
                proxy.delay_s = 0.2
        self._later(fault.for_s, proxy.heal)

    def _disturb_by(self, proxy, what, for_s):
        """Note whom a fault of one proxy disturbs: all if connections fall silent, else its owner.

        Connections to workers and to the advice do not bring the configuration.
        """
        key = next(key for key, each in self.world.proxies.items() if each is proxy)
        name, _, end = key.partition(" ")
        if end not in ("store", "peers"):
            return
        lasts_s = 0.0 if what in ("reset", "silence") else for_s
        self._disturb(self.instances.names if what == "silence" else [name], lasts_s)
