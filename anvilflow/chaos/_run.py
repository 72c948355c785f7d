"""One seeded run: load and faults, then quiet, then the verdict."""

from collections import Counter
from random import Random

from msgspec import Struct

from ..history import ConfigAccepted, check_history
from ..resources import Amounts, Job
from ..standins import VirtualCell, make_declarations
from ..utils import encode
from ._faults import FaultPlan

#: Time with load and faults, and time after it in which everything must end. Unit: seconds.
STORM_S = 25.0
QUIET_S = 70.0

_STEP_S = 0.05
_CAPACITY = Amounts(cpu_milli=16_000, memory_mb=32_768, slots=8)
_ENDED = {"completed", "failed", "cancelled"}

#: Chances per step.
_P_REQUEST = 0.8
_P_JOB = 0.04
_P_CANCEL = 0.01
_P_CONFIG = 0.02
_P_FAULT = 0.03


class ChaosReport(Struct, kw_only=True):
    """What happened in a run.

    Parameters
    ----------
    seed : int
    faults, operations, checked : dict of str to int
        Counts; `checked` by promise.
    broken : list of str
        What was broken; empty in a good run.
    """

    seed: int
    faults: dict
    operations: dict
    checked: dict
    broken: list[str]


class _Storm:
    """Load on a cell under faults."""

    def __init__(self, *, seed, n_instances, n_workers):
        self.random_state = Random(seed)
        self.cell = VirtualCell(
            n_instances=n_instances,
            n_workers=n_workers,
            capacity=_CAPACITY,
            declarations=make_declarations(),
            random_state=seed,
        )
        self.plan = FaultPlan(cell=self.cell, random_state=self.random_state)
        self.operations = Counter()
        self.jobs = []
        self.problems = []

    def step(self):
        """Act at random and let time pass."""
        chance = self.random_state.random
        if chance() < _P_REQUEST:
            self._request()
        if chance() < _P_JOB:
            self._job()
        if chance() < _P_CANCEL and self.jobs:
            self._cancel()
        if chance() < _P_CONFIG:
            self._change_config()
        if chance() < _P_FAULT:
            self.plan.cause_one()
        self.plan.end_due()
        self.cell.advance(_STEP_S)

    def _gateway(self):
        return self.random_state.choice(self.plan.gateways())

    def _request(self):
        choice = self.random_state.random()
        values = {"seconds": self.random_state.choice([0.0, 0.01, 0.05, 0.5])}
        values["deadline_s"] = self.random_state.choice([0.2, 2.0, 10.0])
        customer = self.random_state.choice(["small", "large", "large"])
        if choice < 0.5:
            self.operations["idempotent request"] += 1
            self.cell.request(self._gateway(), customer, "lookup", **values)
        elif choice < 0.8:
            self.operations["non-idempotent request"] += 1
            self.cell.request(self._gateway(), customer, "lookup", idempotent=False, **values)
        else:
            self._keyed(customer, values)

    def _keyed(self, customer, values):
        """Send a request with a key and repeat it at other instances."""
        self.operations["keyed request"] += 1
        key = f"k{self.operations['keyed request']}"
        for _ in range(self.random_state.randint(1, 3)):
            self.cell.request_keyed(self._gateway(), customer, "lookup", key, **values)

    def _job(self):
        workload = self.random_state.choice(["refresh", "refresh", "assembly"])
        self.operations[f"{workload} job"] += 1
        name = f"j{len(self.jobs)}"
        seconds = self.random_state.choice([0.1, 1.0, 4.0])
        tasks = [
            encode({"token": f"{name}-{index}", "seconds": seconds}).decode()
            for index in range(self.random_state.randint(1, 12))
        ]
        customer = self.random_state.choice(["small", "large"])
        job = Job(name=name, customer=customer, workload=workload, tasks=tasks)
        self.jobs.append(job)
        self.cell.submit(self._gateway(), job)

    def _cancel(self):
        self.operations["cancel"] += 1
        job = self.random_state.choice(self.jobs)
        done = self.cell.part(self._gateway(), "entry").cancel(job.customer, job.name)
        done.addErrback(lambda _: None)

    def _change_config(self):
        self.operations["configuration change"] += 1
        priority = self.random_state.randint(50, 500)

        def changed(customer):
            customer.priority = priority
            return customer

        resources = self.cell.daemons[self._gateway()].context.resources
        done = resources.write("Customer/small", None, check=changed)
        done.addCallbacks(self._accepted, lambda _: None)

    def _accepted(self, written):
        if written.changed:
            self.cell.history.add(ConfigAccepted, revision=written.revision)


def run_seed(seed, *, n_instances=5, n_workers=8, storm_s=STORM_S, quiet_s=QUIET_S):
    """Run one seed.

    Parameters
    ----------
    seed : int
        The same seed gives the same run.
    n_instances, n_workers : int
    storm_s, quiet_s : float
        Time with faults, and time after it. Unit: seconds of virtual time.

    Returns
    -------
    report : ChaosReport
    """
    storm = _Storm(seed=seed, n_instances=n_instances, n_workers=n_workers)
    cell = storm.cell
    cell.start()
    for _ in range(round(storm_s / _STEP_S)):
        storm.step()
    storm.plan.end_all()
    ended = cell.clock.seconds()
    cell.advance(quiet_s)
    broken = list(storm.problems)
    verdicts = check_history(cell.history.events, config_limit_s=30.0, instances=[], ended_at=ended)
    for verdict in verdicts:
        broken += [f"{verdict.promise}: {line}" for line in verdict.broken]
    broken += [f"part failed: {error!r}" for error in cell.errors]
    broken += _unfinished(cell) + _restarted(cell) + _behind(cell)
    return ChaosReport(
        seed=seed,
        faults=dict(storm.plan.counts),
        operations=dict(storm.operations),
        checked={verdict.promise: verdict.n_checked for verdict in verdicts},
        broken=broken,
    )


def _unfinished(cell):
    """Every job that is in the table has ended by now."""
    catalog = next(iter(cell.daemons.values())).context.catalog
    return [
        f"job {job.customer}/{job.name} of {len(job.tasks)} {job.workload} is {job.phase}"
        for job in catalog.jobs()
        if job.phase not in _ENDED
    ]


def _restarted(cell):
    """No part failed."""
    return [
        f"{name}: part {part} was restarted {n} times"
        for name, daemon in cell.daemons.items()
        for part, n in daemon.supervisor.restarts().items()
        if n
    ]


def _behind(cell):
    """Every instance has the newest revision in force."""
    newest = cell.table.rows["config/revision"][1]
    return [
        f"{name} is at revision {daemon.context.catalog.revision} of {newest}"
        for name, daemon in cell.daemons.items()
        if daemon.context.catalog.revision != newest
    ]
