"""One soak: a cell of processes, callers, faults, a verdict."""

import os
import socket
from pathlib import Path
from random import Random

from msgspec import Struct
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from anvilflow.utils import encode

from ._callers import Callers
from ._calm import Calm
from ._config_watch import ConfigWatch
from ._ending import Ending, LastFaults, make_ending
from ._faults import CAPACITY_KINDS, CONFIG_KINDS, LATER_KINDS, SERIES_KINDS, Injector, make_faults
from ._instances import Instances
from ._judge import CANCEL_S, Judge
from ._world import World

#: Time for the processes to start and find their leader, and for each of them: they share the
#: machine's processors. Unit: seconds.
START_S = 3.0
START_EACH_S = 0.2

#: Longest time from the end of the last fault to the end of the last job. Unit: seconds.
SETTLE_S = 45.0

#: Callers begin this often. Unit: seconds.
CALL_EVERY_S = 0.15


class Verdict(Struct, kw_only=True):
    """What came out of a soak."""

    seed: int
    n_jobs: int
    n_accepted: int
    n_runs: int
    n_checked: int
    n_configs: int
    n_config_checked: int
    faults: list[str]
    ending: Ending
    broken: list[str]


class SoakRun:
    """A soak of one seed.

    Parameters
    ----------
    reactor : IReactorTCP
    seed : int
    folder : Path
    seconds : float
        For how long faults begin. Unit: seconds.
    n_faults, n_instances, n_workers : int
    grows : bool, default=None
        Whether the configuration grows at the end; by default, as the seed says.
    only_config : bool, default=False
        Whether only faults are drawn that leave most instances calm.
    n_series : int, default=0
        Faults that come several times, close together, besides.
    """

    def __init__(
        self,
        *,
        reactor,
        seed,
        folder,
        seconds=14.0,
        n_faults=12,
        n_instances=5,
        n_workers=6,
        grows=None,
        only_config=False,
        n_series=0,
    ):
        self.reactor = reactor
        self.seed = seed
        self.folder = Path(folder)
        self.seconds = seconds
        self.n_faults = n_faults
        self.n_instances = n_instances
        self.n_workers = n_workers
        self.grows = grows
        self.only_config = only_config
        self.n_series = n_series

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    @inlineCallbacks
    def run(self):
        """Play the soak; return its :class:`Verdict`."""
        rng = Random(self.seed)
        host = loopback_host()
        world = World(reactor=self.reactor, host=host, n_workers=self.n_workers)
        calm = Calm(reactor=self.reactor)
        instances = Instances(
            world=world,
            folder=self.folder,
            n_instances=self.n_instances,
            free_address=lambda: _free_address(host),
            calm=calm,
        )
        faults, later = self._draw_faults(rng)
        ending = make_ending(later, n_instances=self.n_instances)
        if self.grows is not None:
            ending.grows = self.grows
        try:
            verdict = yield self._play(rng, world, instances, calm, faults, ending)
        finally:
            instances.close()
            world.close()
        return verdict

    def _draw_faults(self, rng):
        """Return the faults and the generator of what is drawn later.

        Each group has a generator of its own, so that a group that is added leaves the faults of
        seeds that failed once as they were.
        """
        n_faults, seconds = self.n_faults, self.seconds
        faults = make_faults(rng, n_faults=n_faults, seconds=seconds)
        later = Random(f"{self.seed} later")
        faults += make_faults(later, n_faults=n_faults // 5, seconds=seconds, weights=LATER_KINDS)
        config = make_faults(
            Random(f"{self.seed} config"),
            n_faults=n_faults // 2,
            seconds=seconds,
            weights=CONFIG_KINDS,
        )
        series = make_faults(
            Random(f"{self.seed} series"),
            n_faults=self.n_series,
            seconds=seconds,
            weights=SERIES_KINDS,
        )
        capacity = make_faults(
            Random(f"{self.seed} capacity"),
            n_faults=n_faults // 5,
            seconds=seconds,
            weights=CAPACITY_KINDS,
        )
        faults = config if self.only_config else faults + config
        return faults + series + capacity, later

    @inlineCallbacks
    def _play(self, rng, world, instances, calm, faults, ending):
        for name in instances.names:
            instances.start(name)
        yield self._sleep(START_S + START_EACH_S * len(instances.names))
        judge = Judge(world=world)
        callers = Callers(
            reactor=self.reactor,
            fronts=instances.fronts,
            random_state=rng,
            judge=judge,
            crash_random_state=Random(f"{self.seed} crashes"),
        )
        injector = Injector(
            reactor=self.reactor, world=world, instances=instances, random_state=rng, calm=calm
        )
        injector.plan(faults)
        watch = ConfigWatch(
            reactor=self.reactor,
            world=world,
            instances=instances,
            callers=callers,
            judge=judge,
            calm=calm,
            random_state=Random(f"{self.seed} watch"),
        )
        watching = watch.start()
        calls = []
        last = LastFaults(
            reactor=self.reactor,
            world=world,
            instances=instances,
            callers=callers,
            judge=judge,
            random_state=Random(f"{self.seed} end"),
            watch=watch,
        )
        calling = self._keep_calling(callers, calls)
        yield self._sleep(self.seconds + 2.0)
        yield last.play(ending)
        calling.stop()
        yield self._settle(world, instances, callers, judge)
        watch.stop()
        yield gatherResults(watching)
        yield last.check_config()
        yield callers.look_again()
        broken = judge.finish(callers.calls)
        yield gatherResults(calls, consumeErrors=True)
        return Verdict(
            seed=self.seed,
            n_jobs=len(callers.calls),
            n_accepted=sum(call.accepted_at is not None for call in callers.calls),
            n_runs=len(world.spans),
            n_checked=judge.n_checked,
            n_configs=world.config_version - 1,
            n_config_checked=watch.n_checked,
            faults=[f"{fault.at:.1f} {fault.kind} {fault.for_s}" for fault in faults],
            ending=ending,
            broken=broken,
        )

    def _keep_calling(self, callers, calls):
        """Begin a call again and again, until the loop returned is stopped."""
        loop = LoopingCall(lambda: calls.append(callers.run_one()))
        loop.clock = self.reactor
        loop.start(CALL_EVERY_S)
        return loop

    @inlineCallbacks
    def _settle(self, world, instances, callers, judge):
        """End all faults, start what is down, and wait for the last job."""
        world.heal()
        judge.calm_at = self.reactor.seconds()
        until = self.reactor.seconds() + SETTLE_S
        while self.reactor.seconds() < until:
            for name in instances.names:
                instances.start(name)
            yield self._sleep(0.5)
            submitting = any(call.accepted_at is None and not call.shown for call in callers.calls)
            if not judge.unfinished(callers.calls) and not (
                submitting and until - self.reactor.seconds() > SETTLE_S / 2
            ):
                break
        yield self._sleep(CANCEL_S)


def loopback_host():
    """Return a loopback address of this process alone.

    A killed instance's port may be given to somebody else before it is back. On an address that
    only this soak listens at, no other soak's answers are taken for the instance's.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{1 + pid % 254}"


def _free_address(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def run_seed(seed, folder, **values):
    """Play one seed on the reactor of this process; return its :class:`Verdict`."""
    from twisted.internet import reactor

    results = []
    run = SoakRun(reactor=reactor, seed=seed, folder=folder, **values)

    def play():
        done = run.run()
        done.addBoth(results.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(play)
    reactor.run()
    [result] = results
    if not isinstance(result, Verdict):
        result.raiseException()
    (Path(folder) / "verdict.json").write_bytes(encode(result))
    return result
