"""Specifications of jobs and steps, and the configuration of queues and limits."""

from functools import cached_property
from typing import Annotated

from msgspec import UNSET, Meta, Struct, UnsetType

from ._accounts import ApiKeys, ClientAccount

#: Largest amount of a resource that a task may request, and largest number of its other counts.
#: Products with the number of tasks are below 2**53, so that floats keep them exact. Units:
#: thousandths of a core, megabytes, devices.
MAX_AMOUNT = 2**31 - 1

#: Type of amounts and counts that are decoded.
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]


class StepSpec(Struct, kw_only=True, frozen=True, omit_defaults=True):
    """One step of a job: a number of identical tasks.

    Parameters
    ----------
    n_tasks : int
    cpu_milli, memory_mb, accelerators : int
        Resources of one task. Units: thousandths of a core, megabytes, devices.
    estimate_s : float
        Estimated duration of one task; 0: unknown. Unit: seconds.
    after : tuple of int
        Numbers of the earlier steps whose tasks must all be done first.
    gang : bool
        Whether the tasks can only work together, so that all of them must run at the same time.
    rack_sensitive : bool
        Whether the tasks are slow when they are spread over several racks.
    label : str
        Label that a worker must have to run the tasks; empty: any worker.
    data_rack : str
        Rack that holds the input data; empty: no preference.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; 0: no limit.
    speculative : bool
        Whether two runs of a task may be active at once, of which the first to finish counts.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    fills : bool
        Whether these are background tasks, which use only the processor time that others leave.
    checkpointing : bool
        Whether the tasks can resume from a checkpoint.
    image : str
        Name of the program that the tasks run; tasks of one image are expected to behave alike.
    target_s : float
        Target for the response times of long-running tasks to their own users; 0: none. Unit:
        seconds.
    max_unavailable : int
        Number of long-running tasks that the scheduler may stop at the same time.
    """

    n_tasks: Annotated[int, Meta(ge=1, le=MAX_AMOUNT)]
    cpu_milli: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_sensitive: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: Amount = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    checkpointing: bool = False
    image: str = ""
    target_s: float = 0.0
    max_unavailable: int = 0


class JobSpec(Struct, kw_only=True, frozen=True, omit_defaults=True):
    """Specification of a job, as it was accepted.

    Parameters
    ----------
    job_id, queue : str
    payload : str
        Opaque text that is passed to each task; UNSET where it is stored in a row of its own.
    steps : tuple of StepSpec
    first_at, interval_s : float
        Time of day of the first occurrence, and the interval between occurrences. Unit: seconds.
    n_occurrences : int
        Number of occurrences; 0: the job runs once, immediately.

    Raises
    ------
    ValueError
        A step depends on itself or on a step that is not an earlier one.
    """

    job_id: str
    queue: str
    payload: str | UnsetType = UNSET
    steps: tuple[StepSpec, ...]
    first_at: float = 0.0
    interval_s: float = 0.0
    n_occurrences: Amount = 0

    def __post_init__(self):
        for number, step in enumerate(self.steps):
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(
                    f"steps[{number}].after: only numbers of earlier steps are allowed, "
                    "counted from 0"
                )


class AdviceRules(Struct, kw_only=True, frozen=True):
    """Timing of the advice service, which decides on which workers a queue's steps may run.

    Parameters
    ----------
    base_s, per_worker_s : float
        Expected duration of a request: `base_s` plus `per_worker_s` for each worker named in it.
        Unit: seconds.
    valid_s : float
        Time for which an answer remains valid. Unit: seconds.
    """

    base_s: float
    per_worker_s: float
    valid_s: float


class Queue(Struct, kw_only=True, frozen=True, omit_defaults=True):
    """Configuration of a queue of jobs.

    Parameters
    ----------
    name, host, prefix : str
        Calls for `host` whose path begins with `prefix` belong to the queue.
    service : str
        Service whose workers run the queue's tasks.
    priority : int
        0 is the most urgent. More urgent tasks may preempt less urgent ones.
    max_attempts : int
        Number of failures of one task at which the job fails.
    stretch, target_latency_s : float
        Target for the completion time of a job: `stretch` times its longest chain of estimated
        work, plus `target_latency_s`.
    timeout_s : float
        Timeout of one call of a client. Unit: seconds.
    advice : AdviceRules or None
        Set where the advice service must allow a worker before a step may run on it.
    public : bool
        Whether calls need no API key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_s: float = 0.0
    timeout_s: float = 3.0
    advice: AdviceRules | None = None
    public: bool = False


class Limits(Struct, kw_only=True, frozen=True):
    """Limits on the requests of clients. Units: bytes, seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class CellConfig(Struct, kw_only=True, frozen=True, dict=True):
    """The configuration of a cell at one version.

    Notes
    -----
    `services` lists the configured services; those that a queue names count, too. `accounts` is
    None in a cell without client accounts, where calls need no API key.

    The indexes are built once per version. With 4,200 queues, a linear search took 0.97 ms in each
    call of a client and 0.48 ms in each plan of an urgent step; an indexed lookup takes 1 us.
    """

    version: int
    queues: tuple[Queue, ...]
    limits: Limits = Limits()
    services: tuple[str, ...] = ()
    accounts: tuple[ClientAccount, ...] | None = None
    keys: ApiKeys = ApiKeys()

    @cached_property
    def _accounts_by_name(self):
        return {account.name: account for account in self.accounts or ()}

    def account_named(self, name):
        """Return the :class:`ClientAccount` called `name`, or None."""
        return self._accounts_by_name.get(name)

    def account_with_key(self, key):
        """Return the :class:`ClientAccount` that an API key identifies, or None."""
        return self._accounts_by_name.get(self.keys.owner_of(key))

    @cached_property
    def _by_name(self):
        return {queue.name: queue for queue in reversed(self.queues)}

    @cached_property
    def _by_host(self):
        hosts = {}
        for queue in reversed(self.queues):
            hosts.setdefault(queue.host, {})[queue.prefix] = queue
        return {
            host: (prefixes, sorted({len(prefix) for prefix in prefixes}, reverse=True))
            for host, prefixes in hosts.items()
        }

    @cached_property
    def _most_urgent(self):
        most_urgent = {}
        for queue in self.queues:
            known = most_urgent.get(queue.service, queue.priority)
            most_urgent[queue.service] = min(known, queue.priority)
        return most_urgent

    def queue_for(self, host, path):
        """Return the queue with the longest prefix of `path` on `host`, or None."""
        prefixes, lengths = self._by_host.get(host, ({}, ()))
        for length in lengths:
            queue = prefixes.get(path[:length])
            if queue is not None:
                return queue
        return None

    @cached_property
    def _stretches(self):
        stretches = {}
        for queue in self.queues:
            stretches.setdefault(queue.service, set()).add(queue.stretch)
        return stretches

    def stretches(self, service):
        """Return the different values of `stretch` among the queues of a service."""
        return self._stretches.get(service, frozenset())

    @cached_property
    def _services(self):
        return frozenset(self.services).union(queue.service for queue in self.queues)

    def has_service(self, name):
        """Whether a service is configured."""
        return name in self._services

    def queue_named(self, name):
        """Return the queue called `name`, or None."""
        return self._by_name.get(name)

    def most_urgent_queues(self, service):
        """Return the queues of a service that have its most urgent priority."""
        return [
            queue
            for queue in self.queues
            if queue.service == service and queue.priority == self._most_urgent[service]
        ]

    def has_more_urgent(self, queue):
        """Whether another queue of the same service is more urgent than `queue`."""
        return self._most_urgent.get(queue.service, queue.priority) < queue.priority
