"""One seeded run: load with faults, recovery without them, and the checks of the history."""

from collections import Counter
from random import Random

from msgspec import Struct

from ..history import ConfigAccepted, check_history
from ..resources import Amounts, Job
from ..standins import VirtualCell, make_declarations
from ..utils import encode
from ._faults import FaultPlan

#: Length of the phase with load and faults, and of the phase after it in which all jobs and
#: requests must end. Unit: seconds.
FAULT_PHASE_S = 25.0
RECOVERY_PHASE_S = 70.0

_STEP_S = 0.05
_CAPACITY = Amounts(cpu_milli=16_000, memory_mb=32_768, slots=8)
_ENDED = {"completed", "failed", "cancelled"}

#: Probabilities per step.
_P_REQUEST = 0.8
_P_JOB = 0.04
_P_CANCEL = 0.01
_P_CONFIG = 0.02
_P_FAULT = 0.03


class ChaosReport(Struct, kw_only=True):
    """Counts and violations of a run.

    Parameters
    ----------
    seed : int
    faults, operations, checked : dict of str to int
        Counts by kind; `checked` by invariant.
    broken : list of str
        Violations; empty in a good run.
    """

    seed: int
    faults: dict
    operations: dict
    checked: dict
    broken: list[str]


class _ChaosRun:
    """A cell with random load and random faults."""

    def __init__(self, *, seed, n_instances, n_workers):
        self.random_state = Random(seed)
        self.cell = VirtualCell(
            n_instances=n_instances,
            n_workers=n_workers,
            capacity=_CAPACITY,
            declarations=make_declarations(),
            random_state=seed,
        )
        self.fault_plan = FaultPlan(cell=self.cell, random_state=self.random_state)
        self.operations = Counter()
        self.jobs = []
        self.problems = []

    def step(self):
        """Start random operations and faults, then advance the clock by one step."""
        chance = self.random_state.random
        if chance() < _P_REQUEST:
            self._send_request()
        if chance() < _P_JOB:
            self._submit_job()
        if chance() < _P_CANCEL and self.jobs:
            self._cancel_job()
        if chance() < _P_CONFIG:
            self._change_config()
        if chance() < _P_FAULT:
            self.fault_plan.inject_one()
        self.fault_plan.end_expired()
        self.cell.advance(_STEP_S)

    def _choose_gateway(self):
        return self.random_state.choice(self.fault_plan.available_instances())

    def _send_request(self):
        choice = self.random_state.random()
        values = {"seconds": self.random_state.choice([0.0, 0.01, 0.05, 0.5])}
        values["deadline_s"] = self.random_state.choice([0.2, 2.0, 10.0])
        customer = self.random_state.choice(["small", "large", "large"])
        if choice < 0.5:
            self.operations["idempotent request"] += 1
            self.cell.request(self._choose_gateway(), customer, "lookup", **values)
        elif choice < 0.8:
            self.operations["non-idempotent request"] += 1
            self.cell.request(
                self._choose_gateway(), customer, "lookup", idempotent=False, **values
            )
        else:
            self._send_keyed_requests(customer, values)

    def _send_keyed_requests(self, customer, values):
        """Send a request with an idempotency key to one to three random instances."""
        self.operations["keyed request"] += 1
        key = f"k{self.operations['keyed request']}"
        for _ in range(self.random_state.randint(1, 3)):
            self.cell.request_keyed(self._choose_gateway(), customer, "lookup", key, **values)

    def _submit_job(self):
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
        self.cell.submit(self._choose_gateway(), job)

    def _cancel_job(self):
        self.operations["cancel"] += 1
        job = self.random_state.choice(self.jobs)
        done = self.cell.part(self._choose_gateway(), "entry").cancel(job.customer, job.name)
        done.addErrback(lambda _: None)

    def _change_config(self):
        self.operations["configuration change"] += 1
        priority = self.random_state.randint(50, 500)

        def with_priority(customer):
            customer.priority = priority
            return customer

        resources = self.cell.daemons[self._choose_gateway()].context.resources
        done = resources.write("Customer/small", None, check=with_priority)
        done.addCallbacks(self._record_accepted, lambda _: None)

    def _record_accepted(self, written):
        if written.changed:
            self.cell.history.add(ConfigAccepted, revision=written.revision)


def run_seed(
    seed,
    *,
    n_instances=5,
    n_workers=8,
    fault_phase_s=FAULT_PHASE_S,
    recovery_phase_s=RECOVERY_PHASE_S,
):
    """Run one seed and return its report.

    Parameters
    ----------
    seed : int
        The same seed gives the same run.
    n_instances, n_workers : int
    fault_phase_s, recovery_phase_s : float
        Length of the phase with faults, and of the phase after it. Unit: seconds of virtual
        time.

    Returns
    -------
    report : ChaosReport
    """
    chaos_run = _ChaosRun(seed=seed, n_instances=n_instances, n_workers=n_workers)
    cell = chaos_run.cell
    cell.start()
    for _ in range(round(fault_phase_s / _STEP_S)):
        chaos_run.step()
    chaos_run.fault_plan.end_all()
    ended = cell.clock.seconds()
    cell.advance(recovery_phase_s)
    broken = list(chaos_run.problems)
    verdicts = check_history(cell.history.events, config_limit_s=30.0, instances=[], ended_at=ended)
    for verdict in verdicts:
        broken += [f"{verdict.promise}: {line}" for line in verdict.broken]
    broken += [f"part failed: {error!r}" for error in cell.errors]
    broken += _unfinished_jobs(cell) + _restarted_parts(cell) + _outdated_instances(cell)
    return ChaosReport(
        seed=seed,
        faults=dict(chaos_run.fault_plan.counts),
        operations=dict(chaos_run.operations),
        checked={verdict.promise: verdict.n_checked for verdict in verdicts},
        broken=broken,
    )


def _unfinished_jobs(cell):
    """Return a line for each job in the table that has not ended."""
    catalog = next(iter(cell.daemons.values())).context.catalog
    return [
        f"job {job.customer}/{job.name} of {len(job.tasks)} {job.workload} is {job.phase}"
        for job in catalog.jobs()
        if job.phase not in _ENDED
    ]


def _restarted_parts(cell):
    """Return a line for each part that was restarted after a failure."""
    return [
        f"{name}: part {part} was restarted {n} times"
        for name, daemon in cell.daemons.items()
        for part, n in daemon.supervisor.restarts().items()
        if n
    ]


def _outdated_instances(cell):
    """Return a line for each instance that does not have the newest revision in force."""
    newest = cell.table.rows["config/revision"][1]
    return [
        f"{name} is at revision {daemon.context.catalog.revision} of {newest}"
        for name, daemon in cell.daemons.items()
        if daemon.context.catalog.revision != newest
    ]
