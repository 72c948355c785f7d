"""Run of one soak: a cell of processes, callers, faults and the check of the invariants."""

import os
import socket
from pathlib import Path
from random import Random

from msgspec import Struct
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from anvilflow.utils import encode

from ._callers import Callers
from ._config_watch import ConfigWatch
from ._disturbances import DisturbanceTracker
from ._environment import Environment
from ._faults import (
    CAPACITY_KINDS,
    CLOCK_KINDS,
    CONFIG_KINDS,
    RESTART_KINDS,
    SERIES_KINDS,
    Injector,
    make_departures,
    make_faults,
)
from ._final_phase import FinalPhase, FinalPhaseRunner, make_final_phase
from ._instances import Instances
from ._invariants import CANCEL_GRACE_S, InvariantChecker
from ._lapses import ODD_KINDS, LapseInjector, make_lapses
from ._part_failures import make_part_failures
from ._removal_phase import STATUS_KEPT_S, RemovalPhase
from ._services import RUNS_PER_TERM, Services

#: Contract in force where clients may ask for more than the workers can run.
PRESSURE_CONTRACT = "pressure"

#: Time for all processes to start and to find their leader, and additional time for each process,
#: because they share the machine's processors. Unit: seconds.
START_S = 3.0
START_PER_INSTANCE_S = 0.2

#: Maximum time from the end of the last fault to the end of the last job. Unit: seconds.
SETTLE_S = 45.0

#: Interval at which new callers start. Unit: seconds.
CALL_INTERVAL_S = 0.15


class Verdict(Struct, kw_only=True):
    """Result of a soak."""

    seed: int
    n_jobs: int
    n_accepted: int
    n_runs: int
    n_checked: int
    n_configs: int
    n_config_checked: int
    faults: list[str]
    ending: FinalPhase
    broken: list[str]


class SoakRun:
    """Runs the soak of one seed.

    Parameters
    ----------
    reactor : IReactorTCP
    seed : int
    folder : Path
    seconds : float
        Time within which the faults begin. Unit: seconds.
    n_faults, n_instances, n_workers : int
    grows : bool, default=None
        Whether the configuration grows at the end; by default, drawn from the seed.
    only_config : bool, default=False
        Whether the faults are limited to those that leave most instances undisturbed.
    n_series : int, default=0
        Number of additional faults that are repeated in quick succession.
    expects_pressure : bool, default=False
        Whether the parts of the scheduler for more work than capacity are in use.
    has_removals : bool, default=False
        Whether the soak ends with the removal of all jobs and changes of leader after it.
    n_lapses : int, default=None
        Number of faults of the registry; by default, a sixth of `n_faults`, or none with
        `only_config`. Odd registry entries are half as many.
    n_parts : int, default=None
        Number of failures of parts and of the store's transactions on the leader's row; by default,
        a sixth of `n_faults`, or none with `only_config`.
    n_services : int, default=0
        Number of long-running jobs that fail until all faults have ended; leaders then have few run
        numbers of their own.
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
        expects_pressure=False,
        has_removals=False,
        n_lapses=None,
        n_parts=None,
        n_services=0,
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
        self.expects_pressure = expects_pressure
        self.has_removals = has_removals
        self.n_lapses = n_lapses
        self.n_parts = n_parts
        self.n_services = n_services

    @property
    def _start_s(self):
        return START_S + START_PER_INSTANCE_S * self.n_instances

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    @inlineCallbacks
    def run(self):
        """Run the soak; return its :class:`Verdict`."""
        rng = Random(self.seed)
        host = loopback_host()
        environment = Environment(reactor=self.reactor, host=host, n_workers=self.n_workers)
        disturbances = DisturbanceTracker(reactor=self.reactor)
        instances = Instances(
            environment=environment,
            folder=self.folder,
            n_instances=self.n_instances,
            free_address=lambda: _free_address(host),
            contracts=[PRESSURE_CONTRACT] if self.expects_pressure else (),
            bounds={"status_kept_s": STATUS_KEPT_S} if self.has_removals else None,
            disturbances=disturbances,
            runs_per_term=RUNS_PER_TERM if self.n_services else None,
        )
        faults, later_random_state = self._draw_faults(rng)
        ending = make_final_phase(later_random_state, n_instances=self.n_instances)
        if self.grows is not None:
            ending.grows = self.grows
        try:
            verdict = yield self._play(rng, environment, instances, disturbances, faults, ending)
        finally:
            instances.close()
            environment.close()
        return verdict

    def _draw_faults(self, rng):
        """Return the faults, and the generator from which the final phase is drawn.

        Each group of faults has a generator of its own, so that a new group does not change the
        faults of seeds that failed before.
        """
        n_faults, seconds = self.n_faults, self.seconds
        faults = make_faults(rng, n_faults=n_faults, seconds=seconds)
        later_random_state = Random(f"{self.seed} later")
        faults += make_faults(
            later_random_state, n_faults=n_faults // 5, seconds=seconds, weights=CLOCK_KINDS
        )
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
        restarts = make_faults(
            Random(f"{self.seed} restarts"),
            n_faults=n_faults // 3,
            seconds=seconds,
            weights=RESTART_KINDS,
        )
        departures = make_departures(
            Random(f"{self.seed} departures"), n_faults=n_faults // 3, seconds=seconds
        )
        n_default = 0 if self.only_config else n_faults // 6
        n_lapses = n_default if self.n_lapses is None else self.n_lapses
        lapses = make_lapses(Random(f"{self.seed} lapses"), n_faults=n_lapses, seconds=seconds)
        lapses += make_faults(
            Random(f"{self.seed} odd entries"),
            n_faults=(n_lapses + 1) // 2,
            seconds=seconds,
            weights=ODD_KINDS,
        )
        parts = make_part_failures(
            Random(f"{self.seed} parts"),
            n_faults=n_default if self.n_parts is None else self.n_parts,
            seconds=seconds,
        )
        faults = config if self.only_config else faults + config
        faults += series + capacity + restarts + departures + lapses + parts
        return faults, later_random_state

    @inlineCallbacks
    def _play(self, rng, environment, instances, disturbances, faults, ending):
        for name in instances.names:
            instances.start(name)
        yield self._sleep(self._start_s)
        checker = InvariantChecker(environment=environment)
        callers = Callers(
            reactor=self.reactor,
            fronts=instances.fronts,
            random_state=rng,
            checker=checker,
            crash_random_state=Random(f"{self.seed} crashes"),
        )
        services = Services(
            reactor=self.reactor,
            environment=environment,
            callers=callers,
            random_state=Random(f"{self.seed} services"),
            n_services=self.n_services,
            instances=instances,
        )
        services.start()
        injector = Injector(
            reactor=self.reactor,
            environment=environment,
            instances=instances,
            random_state=rng,
            disturbances=disturbances,
            lapses=LapseInjector(reactor=self.reactor, environment=environment),
        )
        injector.schedule_faults(faults)
        watch = ConfigWatch(
            reactor=self.reactor,
            environment=environment,
            instances=instances,
            callers=callers,
            checker=checker,
            disturbances=disturbances,
            random_state=Random(f"{self.seed} watch"),
        )
        watching = watch.start()
        calls = []
        final_phase_runner = FinalPhaseRunner(
            reactor=self.reactor,
            environment=environment,
            instances=instances,
            callers=callers,
            checker=checker,
            random_state=Random(f"{self.seed} end"),
            watch=watch,
        )
        calling = self._keep_calling(callers, calls)
        yield self._sleep(self.seconds + 2.0)
        yield final_phase_runner.play(ending)
        calling.stop()
        yield self._settle(environment, instances, callers, checker, services)
        watch.stop()
        yield gatherResults(watching)
        yield final_phase_runner.check_config()
        if self.has_removals:
            yield callers.recheck_end_states(kept_s=STATUS_KEPT_S)
            removal_phase = RemovalPhase(
                reactor=self.reactor,
                environment=environment,
                instances=instances,
                random_state=Random(f"{self.seed} removal"),
            )
            checker.violations += yield removal_phase.play()
        else:
            yield callers.recheck_end_states()
        checker.violations += instances.part_failures()
        broken = checker.finish(callers.calls)
        yield gatherResults(calls, consumeErrors=True)
        return Verdict(
            seed=self.seed,
            n_jobs=len(callers.calls),
            n_accepted=sum(call.accepted_at is not None for call in callers.calls),
            n_runs=len(environment.spans),
            n_checked=checker.n_checked,
            n_configs=environment.config_version - 1,
            n_config_checked=watch.n_checked,
            faults=[f"{fault.at:.1f} {fault.kind} {fault.for_s}" for fault in faults],
            ending=ending,
            broken=broken,
        )

    def _keep_calling(self, callers, calls):
        """Start callers at regular intervals until the returned loop is stopped."""
        loop = LoopingCall(lambda: calls.append(callers.run_job()))
        loop.clock = self.reactor
        loop.start(CALL_INTERVAL_S)
        return loop

    @inlineCallbacks
    def _settle(self, environment, instances, callers, checker, services):
        """End all faults, start the instances that are down, and wait for the last job to end."""
        environment.heal()
        checker.faults_ended_at = self.reactor.seconds()
        for name in instances.names:
            instances.start(name)
        checker.violations += yield services.finish(ready_s=self._start_s)
        until = self.reactor.seconds() + SETTLE_S
        while self.reactor.seconds() < until:
            for name in instances.names:
                instances.start(name)
            yield self._sleep(0.5)
            submitting = any(call.accepted_at is None and not call.shown for call in callers.calls)
            if not checker.unfinished(callers.calls) and not (
                submitting and until - self.reactor.seconds() > SETTLE_S / 2
            ):
                break
        yield self._sleep(CANCEL_GRACE_S)


def loopback_host():
    """Return a loopback address that only this process uses.

    The port of a killed instance may be given to another process before the instance is restarted.
    With an address per soak, answers of another soak are not mistaken for those of the instance.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{1 + pid % 254}"


def _free_address(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def run_seed(seed, folder, **values):
    """Run one seed on the reactor of this process; return its :class:`Verdict`."""
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
