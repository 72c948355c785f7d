"""Random faults drawn from a seed: overlapping faults and repeated ones."""

import signal
from random import Random

from msgspec import Struct

from anvilflow.standins import draw_departure

from ._launch import FAILURE_SIGNALS

#: Kinds of faults with their weights. Faults of the leader have the largest weights.
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

#: Steps of the time of day; drawn separately, so that seeds that failed before keep their faults.
CLOCK_KINDS = {"clock ahead": 1, "clock back": 1, "clocks ahead": 1, "clocks back": 1}

#: Changes of a worker's capacity; drawn separately, so that existing seeds keep their faults.
CAPACITY_KINDS = {"worker resized": 1}

#: Workers that start again under their ids; drawn separately for the same reason.
RESTART_KINDS = {"worker restarts": 1}

#: Workers that shut down gracefully, drawn separately for the same reason, and the faults that some
#: of these departures meet, on the same worker or of the leader: their share, and the time by which
#: they begin earlier or later than the worker stops listening. Unit: seconds.
LEAVING_KINDS = {"worker leaves": 1}
MEETING_KINDS = {
    "kill home": 4,
    "pause home": 2,
    "worker silent": 2,
    "worker late": 1,
    "worker loses answers": 1,
    "worker crash": 1,
}
MEETING_SHARE = 0.6
MEETING_S = 1.0

#: Capacities that a worker can be changed to. Unit: thousandths of a core.
CAPACITIES = (1000, 3000, 8000, 12_000)

#: Faults that leave most instances undisturbed, so that the configuration in force there can be
#: checked. They are drawn separately in every soak, and are the only ones besides series and
#: changes of capacity in a soak that mainly checks the configuration.
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

#: Faults that are repeated in quick succession, so that each hits the recovery from the one before;
#: the number of repetitions and the pauses between them. Unit: seconds.
SERIES_KINDS = {"series: kill home": 2, "series: pause home": 1, "series: reload home": 1}
SERIES_LENGTH = 4
SERIES_PAUSES_S = (0.2, 0.4, 0.7)

_CLOCK_SIGNALS = {"ahead": signal.SIGUSR1, "back": signal.SIGUSR2}


class Fault(Struct, kw_only=True):
    """One fault; `pick`, from 0 to 1, selects its target. Unit of `at` and `for_s`: seconds."""

    at: float
    for_s: float
    kind: str
    pick: float


def make_faults(random_state, *, n_faults, seconds, weights=KINDS):
    """Return `n_faults` random faults that begin within `seconds`, ordered by time."""
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


def make_departures(random_state, *, n_faults, seconds):
    """Return `n_faults` random departures of workers, and the faults that some of them meet."""
    faults = make_faults(random_state, n_faults=n_faults, seconds=seconds, weights=LEAVING_KINDS)
    for leaving in faults[:]:
        if random_state.random() < MEETING_SHARE:
            [fault] = make_faults(random_state, n_faults=1, seconds=seconds, weights=MEETING_KINDS)
            closes_at = leaving.at + _departure(leaving).closes_after_s
            fault.at = max(0.5, closes_at + random_state.uniform(-MEETING_S, MEETING_S))
            fault.pick = leaving.pick
            faults.append(fault)
    return faults


def _departure(fault):
    """Return the departure of the worker that a fault lets leave."""
    return draw_departure(Random(fault.pick))


class Injector:
    """Injects faults.

    Parameters
    ----------
    reactor : IReactorTime
    environment : Environment
    instances : Instances
    random_state : random.Random
    disturbances : DisturbanceTracker, default=None
        Records which instances a fault of connections or of the store disturbs.
    lapses : LapseInjector, default=None
        Injects the faults of the registry.
    """

    def __init__(
        self, *, reactor, environment, instances, random_state, disturbances=None, lapses=None
    ):
        self.reactor = reactor
        self.environment = environment
        self.instances = instances
        self.random_state = random_state
        self.disturbances = disturbances
        self.lapses = lapses

    def schedule_faults(self, faults):
        """Schedule the injection of each fault."""
        for fault in faults:
            self.reactor.callLater(fault.at, self.inject, fault)

    def _schedule(self, delay, call, *args):
        self.reactor.callLater(delay, call, *args)

    def _disturb(self, names, for_s=0.0):
        if self.disturbances is not None:
            self.disturbances.add_disturbance(names, for_s)

    def _leader(self):
        row = self.environment.store.value("home", "home", part="cell")
        return row["holder"] if row else self.instances.names[0]

    def _instance(self, fault):
        names = self.instances.names
        return self._leader() if "home" in fault.kind else names[int(fault.pick * len(names))]

    def _worker_slot(self, fault):
        return self.environment.worker_slots[int(fault.pick * len(self.environment.worker_slots))]

    def _proxy(self, fault):
        # Excludes the proxies of callers: these cannot distinguish a fault there from one of the
        # instance.
        names = sorted(name for name in self.environment.proxies if not name.endswith("front"))
        return self.environment.proxies[names[int(fault.pick * len(names))]]

    def inject(self, fault):
        """Begin a fault and schedule its end."""
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
                self._schedule(fault.for_s, self.instances.send, name, signal.SIGCONT)
            case ["drain", *_]:
                name = self._instance(fault)
                self.instances.send(name, signal.SIGTERM)
                self._schedule(7.0, self.instances.start, name)
            case ["clock" | "clocks" as which, way]:
                names = [self._instance(fault)] if which == "clock" else self.instances.names
                back = "back" if way == "ahead" else "ahead"
                for name in names:
                    self.instances.send(name, _CLOCK_SIGNALS[way])
                    self._schedule(fault.for_s, self.instances.send, name, _CLOCK_SIGNALS[back])
            case ["fail", "home", *what]:
                name = self._leader()
                self.instances.send(name, FAILURE_SIGNALS[what[0] if what else "home"])
                # A process whose part fails too often ends by itself.
                self._schedule(fault.for_s, self.instances.start, name)
            case ["lossy"]:
                self.environment.lossy_store.begin(
                    fault, lambda late_s: self._disturb(self.instances.names, late_s)
                )
            case ["reload", *_]:
                self.instances.send(self._instance(fault), signal.SIGHUP)
            case ["config"]:
                self.environment.change_config()
            case ["silence", "stores" | "peers" | "both" as which]:
                self._silence_all(which)
            case ["home's", end, what]:
                proxy = self.environment.proxies[f"{self._leader()} {end}"]
                self._inject_connection_fault(fault, proxy, "cut both" if what == "cut" else what)
            case ["store", *what]:
                self._inject_store_fault(" ".join(what), fault.for_s)
            case ["lapse" | "overwritten" | "odd", *_]:
                self._disturb(self.instances.names, self.lapses.disturbed_s(fault))
                self.lapses.inject(fault)
            case ["worker", *what]:
                self._inject_worker_fault(" ".join(what), self._worker_slot(fault), fault)
            case _:
                self._inject_connection_fault(fault, self._proxy(fault), fault.kind)

    def _begin_series(self, fault, kind):
        each = Fault(at=fault.at, for_s=fault.for_s, kind=kind, pick=fault.pick)
        at = 0.0
        for _ in range(SERIES_LENGTH):
            self._schedule(at, self.inject, each)
            at += self.random_state.choice(SERIES_PAUSES_S)

    def _kill(self, name, down_s):
        self.instances.send(name, signal.SIGKILL)
        self._schedule(down_s, self.instances.start, name)

    def _kill_many(self, fault, share):
        for name in self.instances.names:
            if self.random_state.random() < share:
                self._kill(name, fault.for_s / 2)

    def _inject_store_fault(self, what, for_s):
        faults = self.environment.store_faults
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
                self.environment.store.drop_history()
                return
        self._schedule(for_s, faults.clear)

    def _inject_worker_fault(self, what, worker_slot, fault):
        for_s = fault.for_s
        match what:
            case "silent":
                worker_slot.faults.silent = True
                self._schedule(for_s, worker_slot.faults.clear)
            case "loses answers":
                worker_slot.faults.loses_answers = True
                self._schedule(min(for_s, 1.0), worker_slot.faults.clear)
            case "late":
                worker_slot.worker.n_late_starts = 2
            case "crash":
                self.environment.crash(worker_slot)
                self._schedule(
                    for_s, self.environment.replace_worker, worker_slot, worker_slot.worker
                )
            case "leaves":
                if worker_slot.worker.alive and not worker_slot.worker.is_leaving:
                    self.environment.leave(worker_slot, _departure(fault))
            case "drains":
                self.environment.drain(worker_slot)
                self._schedule(for_s, self._replace_drained_worker, worker_slot)
            case "restarts":
                if worker_slot.worker.alive:
                    self.environment.restart(worker_slot)
            case "resized":
                if worker_slot.worker.alive:
                    self.environment.set_capacity(worker_slot, self.random_state.choice(CAPACITIES))
            case "unregistered":
                worker_id = worker_slot.worker.worker_id
                self.environment.store.remove("servers", worker_id)
                self._schedule(for_s, self._register, worker_slot, worker_id)

    def _replace_drained_worker(self, worker_slot):
        if worker_slot.worker.alive:
            self.environment.crash(worker_slot)
            self.environment.start_worker(worker_slot)

    def _register(self, worker_slot, worker_id):
        if worker_slot.worker.worker_id == worker_id:
            self.environment.register(worker_slot.worker)

    def _silence_all(self, which):
        """Silence all open connections, as when a switch loses its connection state."""
        ends = {"stores": ("store",), "peers": ("peers",), "both": ("store", "peers")}[which]
        for name in self.instances.names:
            for end in ends:
                self.environment.proxies[f"{name} {end}"].silence()
        self._disturb(self.instances.names)

    def _inject_connection_fault(self, fault, proxy, what):
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
        self._schedule(fault.for_s, proxy.heal)

    def _disturb_by(self, proxy, what, for_s):
        """Record which instances a fault of one proxy disturbs.

        Silenced connections disturb all instances, other faults only the instance of the proxy.
        Connections to workers and to the advice service do not transfer the configuration.
        """
        key = next(key for key, each in self.environment.proxies.items() if each is proxy)
        name, _, end = key.partition(" ")
        if end not in ("store", "peers"):
            return
        lasts_s = 0.0 if what in ("reset", "silence") else for_s
        self._disturb(self.instances.names if what == "silence" else [name], lasts_s)
