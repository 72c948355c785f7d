"""Registry entries of workers, and what workers report."""

from functools import cached_property

from msgspec import Struct, field

from ._worker_id import make_worker_id

#: Maximum number of ends in one report of a worker, as the worker contract states.
MAX_ENDS_PER_REPORT = 500


class WorkerInfo(Struct, kw_only=True, frozen=True, dict=True):
    """Registry entry of a worker's incarnation, as the worker registers itself.

    `registry_id` is the worker's id in the registry, :attr:`worker_id` the identity of this
    incarnation. Rows name the former `worker_id`, as in releases that did not distinguish the two.

    A `draining` worker gets no new tasks; `leaves_in_s` is the least time for which it still stays,
    if it has announced one. Unit: seconds. `born_ms` is the start time of the worker's incarnation,
    None if it is not stated. Unit: milliseconds since 1970.
    """

    registry_id: str = field(name="worker_id")
    address: str
    service: str
    failure_domain: str
    kind: str
    rack: str
    labels: tuple[str, ...]
    cpu_milli: int
    memory_mb: int
    accelerators: int
    draining: bool = False
    leaves_in_s: float | None = None
    born_ms: int | None = None

    @cached_property
    def worker_id(self):
        """Identity of this incarnation, under which all of its state is kept."""
        return make_worker_id(self.registry_id, self.born_ms)


class RunReport(Struct, kw_only=True, frozen=True):
    """A run that a worker lists as active.

    `percent` is the progress of the task, with the work of earlier runs up to the checkpoint.
    `load` is the run's tail latency in ms or its CPU in use. The scheduler reads only the former,
    of runs that have a target for response times.
    """

    task: str
    run_id: int
    checkpoint: str
    percent: float
    load: float


class RunEnd(Struct, kw_only=True, frozen=True):
    """An end that a worker lists, under its `number` in the order of that worker's ends.

    `how` is ``done``, ``failed``, ``stopped``, ``lapsed`` (the lease expired), ``alone`` (other
    members of the gang were missing) or ``broken``. Only ``failed`` counts as an attempt. After any
    end but ``done``, the task waits for a new run.
    """

    number: int
    task: str
    run_id: int
    how: str
    checkpoint: str


class WorkerReport(Struct, kw_only=True, frozen=True):
    """Runs and ends that a worker lists in one reply.

    `clock_s` is the worker's clock in seconds, `born_ms` as in :class:`WorkerInfo`, and
    `start_time_error` says why a stated start time is invalid.
    """

    clock_s: float
    active: tuple[RunReport, ...]
    ended: tuple[RunEnd, ...]
    born_ms: int | None = None
    start_time_error: str = ""

    @property
    def has_all_ends(self):
        """Whether no further ends are pending, as after a long outage of the store."""
        return len(self.ended) < MAX_ENDS_PER_REPORT
