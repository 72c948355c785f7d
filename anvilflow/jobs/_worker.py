"""Workers and what they report, their runs and capacity, and the expiry of their leases."""

from functools import cached_property

from msgspec import Struct, field

from ._crash_history import EARLY_CRASH_S
from ._worker_id import make_worker_id

#: Fraction by which a worker's clock may run slow, as the worker contract states.
CLOCK_DRIFT = 0.02

#: Added to a lease before its expiry is relied on, for the granularity of the worker's clock and of
#: the leader's own clock readings. Unit: seconds.
LEASE_MARGIN_S = 0.1

#: Time by which a worker's leases outlast its announced departure. It may stay longer, and its
#: leases must outlast a lost renewal and a take-over from an unresponsive leader. Unit: seconds.
LEAVING_LEASE_S = 1.6

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


def lease_end(sent_at, lease_s):
    """Return when a lease has certainly expired, even on a slow clock. Unit: seconds.

    A worker ends its runs when its lease expires.
    """
    return sent_at + lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S


class OrphanRun:
    """A run that a worker lists and no task accounts for: of an unknown job, or out of date.

    `stopped` means that its stop was sent. `owner` and `step` are the account and the step of its
    task, None while its job is not known; both are kept when the job has ended.

    Parameters
    ----------
    item : RunReport
    now : float
        When the run was first listed. Unit: seconds.
    """

    __slots__ = ("first_listed_at", "item", "owner", "step", "stopped")

    def __init__(self, *, item, now):
        self.item = item
        self.first_listed_at = now
        self.stopped = False
        self.owner = None
        self.step = None

    @property
    def job_id(self):
        """Id of the job of the run."""
        return self.item.task.split(".", 1)[0]

    def note_step(self, step):
        """Note the :class:`StepRun` of the run's task."""
        self.owner = step.job.owner
        self.step = step.spec


class PendingEnd:
    """An end that a worker has reported and that must not be acknowledged yet.

    Parameters
    ----------
    end : RunEnd
    change : int or None
        Change of the run's job that has to be durable first; None while the task is not known.
    now : float
        When the end was received. Unit: seconds.
    """

    __slots__ = ("change", "end", "received_at")

    def __init__(self, *, end, change, now):
        self.end = end
        self.change = change
        self.received_at = now

    @property
    def job_id(self):
        """Id of the job of the run that has ended."""
        return self.end.task.split(".", 1)[0]


class Run:
    """One start of a task on a worker, from the decision to start it until its end is listed.

    `state` is one of:

    - ``recording``: the start is sent only after it is durable, see :class:`TrialTracker`;
    - ``starting``: the start may be sent or was sent, and the worker has not confirmed it;
    - ``running``: the worker has confirmed the start or listed the run, or the run was adopted;
    - ``stopping``: the stop was decided, and the worker has not accepted it;
    - ``barred``: the worker has accepted the stop, so that the run ends soon or never begins, or
      has refused the run by its number, so that it never begins;
    - ``unknown``: the outcome of the start or stop is not known, until the next report. The worker
      refuses late ones by their token then.

    `sent_at` is the time of the latest command or of its confirmation: only a report that was
    requested later shows its effect. `stopped_at` is the time of this leader's decision to stop the
    run, None before. `resumes` means that the run begins from a checkpoint. `pace`
    is the limit set on a background task's speed, in percent of full speed; `load` is as in
    :class:`RunReport`.

    `percent_clock` and `reported_clock` are the worker's times of the last progress and of the last
    report, None before the first report. `reported_at` is the leader's time of the last report,
    `first_percent` the progress with which the run began. `is_full_run` means that this leader
    started the run, and not from a checkpoint: only then is its duration that of the task.
    `is_sent` means that the start was sent, `has_begun` that the worker has confirmed the run,
    `is_adopted` that another leader started it, `is_trial` that it is a trial run, see
    :class:`TrialTracker`. `is_explained` means that the run is slow and is left alone, since the
    learnt speed of its worker or the length of its task explains it, `is_noted` that its duration
    is in the run times of its step. `earlier_percent` and `earlier_at` are the progress at an
    earlier report, from which the present speed is estimated.
    """

    __slots__ = (
        "began_at",
        "checkpoint",
        "earlier_at",
        "earlier_percent",
        "first_percent",
        "has_begun",
        "is_adopted",
        "is_explained",
        "is_full_run",
        "is_noted",
        "is_sent",
        "is_trial",
        "job",
        "load",
        "pace",
        "percent",
        "percent_clock",
        "reported_at",
        "reported_clock",
        "resumes",
        "run_id",
        "sent_at",
        "state",
        "step",
        "stopped_at",
        "task",
        "worker",
    )

    def __init__(self, *, task, run_id, worker, job, step, now):
        self.task = task
        self.run_id = run_id
        self.worker = worker
        self.job = job
        self.step = step
        self.state = "starting"
        self.sent_at = now
        self.stopped_at = None
        self.began_at = now
        self.percent = 0.0
        self.first_percent = 0.0
        self.percent_clock = None
        self.reported_at = now
        self.earlier_percent = 0.0
        self.earlier_at = now
        self.reported_clock = None
        self.resumes = False
        self.is_full_run = False
        self.is_noted = False
        self.is_sent = False
        self.has_begun = False
        self.is_adopted = False
        self.is_explained = False
        self.is_trial = False
        self.checkpoint = ""
        self.load = 0.0
        self.pace = 100

    @property
    def may_have_begun(self):
        """Whether the run may have begun on its worker."""
        return self.is_sent or self.has_begun or self.is_adopted

    @property
    def is_fresh(self):
        """Whether the run had begun, under this leader, shortly before it was last listed."""
        return self.has_begun and not self.is_adopted and self.survived_s < EARLY_CRASH_S

    @property
    def survived_s(self):
        """Age at which the run was last listed. Unit: seconds."""
        return max(0.0, self.reported_at - self.began_at) if self.has_begun else 0.0

    def max_age_s(self, now):
        """Upper bound of the run's age when its worker was lost. Unit: seconds."""
        lost_at = self.worker.unreachable_since if self.worker.unreachable else now
        return max(0.0, lost_at - self.began_at)


class Worker:
    """The scheduler's state of one incarnation of a worker.

    Notes
    -----
    A run occupies capacity from the decision to start it until its end is listed. Runs that are
    being started or stopped count too, since the worker itself may not enforce its capacity.
    `cpu_free`, `memory_free` and `gpu_free` are what the runs leave. `runs` holds the runs by task
    name, `orphan_runs` each :class:`OrphanRun` by task name and run number.

    `confirmed` means that the worker has responded to this leader, `has_listed_all_ends` that one
    of its reports held all ends that were pending, `listed` that it is in the registry,
    `unreachable` that calls to it fail, since `unreachable_since`. `runs_known` means that an
    earlier leader named all runs that may be active on a worker that has not responded to this
    leader. `in_handover` means that the leader's row names the worker, see `_handover`; the
    worker then gets no new tasks. `is_superseded` means that the worker has started again: this
    incarnation is over, and its runs are dropped once the next one lists its own.

    `answered_address` is the address of its last answer, to this leader or to the one that named
    it in the handover, None before. `is_loss_noted` means that its loss has been reported.

    `lease_over_at` is the time at which all its leases have certainly expired, `leaves_at` the
    earliest time at which a draining worker may leave, `retry_at` the end of its back-off.
    `n_consecutive_failures` counts failed and stalled runs and refused starts since the last
    success. `last_ended` is the number of the last end that was processed; `ack_queue` holds each
    :class:`PendingEnd`. `slowness` is the ratio of actual to estimated durations of its recent
    runs, see `_stalled_runs`.
    """

    __slots__ = (
        "ack_queue",
        "answered_address",
        "confirmed",
        "cpu_free",
        "gpu_free",
        "has_listed_all_ends",
        "in_handover",
        "info",
        "is_loss_noted",
        "is_superseded",
        "last_ended",
        "lease_over_at",
        "leaves_at",
        "listed",
        "memory_free",
        "n_consecutive_failures",
        "orphan_runs",
        "retry_at",
        "runs",
        "runs_known",
        "slowness",
        "unreachable",
        "unreachable_since",
    )

    def __init__(self, *, info, lease_over_at):
        self.info = info
        self.runs = {}
        self.orphan_runs = {}
        self.confirmed = False
        self.has_listed_all_ends = False
        self.unreachable = False
        self.unreachable_since = None
        self.answered_address = None
        self.is_loss_noted = False
        self.runs_known = False
        self.in_handover = False
        self.is_superseded = False
        self.listed = True
        self.lease_over_at = lease_over_at
        self.leaves_at = None
        self.last_ended = 0
        self.ack_queue = []
        self.n_consecutive_failures = 0
        self.retry_at = 0.0
        self.slowness = 1.0
        self.cpu_free = info.cpu_milli
        self.memory_free = info.memory_mb
        self.gpu_free = info.accelerators

    def update_info(self, info):
        """Replace the worker's registry entry and adjust its free capacity.

        The free amount of a resource is negative while the runs exceed a reduced capacity.
        """
        self.cpu_free += info.cpu_milli - self.info.cpu_milli
        self.memory_free += info.memory_mb - self.info.memory_mb
        self.gpu_free += info.accelerators - self.info.accelerators
        self.info = info

    def is_over_capacity(self, step):
        """Whether the runs exceed the capacity of any resource that a task of `step` needs."""
        return (
            (not step.fills and step.cpu_milli > 0 and self.cpu_free < 0)
            or (step.memory_mb > 0 and self.memory_free < 0)
            or (step.accelerators > 0 and self.gpu_free < 0)
        )

    def note_leaving(self, now):
        """Note until when a worker stays, according to its registry entry; None: for good."""
        if not self.info.draining:
            self.leaves_at = None
        elif self.info.leaves_in_s is not None:
            leaves_at = now + self.info.leaves_in_s
            self.leaves_at = min(leaves_at, self.leaves_at or leaves_at)

    @property
    def is_leaving(self):
        """Whether the worker has announced that it will leave."""
        return self.info.draining or self.leaves_at is not None

    @property
    def is_answering(self):
        """Whether the worker has answered this leader, and calls to it do not fail."""
        return self.confirmed and not self.unreachable

    def is_lapsed(self, now):
        """Whether the worker is unreachable and all leases that it was sent have expired."""
        return now >= self.lease_over_at and (self.unreachable or not self.listed)

    def note_report(self, report):
        """Note whether the worker has listed all ends of runs that earlier leaders started."""
        self.has_listed_all_ends = self.has_listed_all_ends or report.has_all_ends

    def may_list_more_ends(self, now):
        """Whether ends of runs that earlier leaders started are pending, and still count."""
        return self.confirmed and not self.has_listed_all_ends and not self.is_lapsed(now)

    def add_run(self, run):
        """Add a run and reserve its capacity."""
        self.runs[run.task] = run
        self._count(run.step, 1)

    def remove_run(self, run):
        """Remove a run and release its capacity."""
        del self.runs[run.task]
        self._count(run.step, -1)

    def _count(self, step, sign):
        if not step.fills:
            self.cpu_free -= sign * step.cpu_milli
        self.memory_free -= sign * step.memory_mb
        self.gpu_free -= sign * step.accelerators

    def fits(self, step):
        """Whether the free capacity suffices for one more task of `step`."""
        return (
            (step.fills or self.cpu_free >= step.cpu_milli)
            and self.memory_free >= step.memory_mb
            and self.gpu_free >= step.accelerators
        )

    def could_fit(self, step):
        """Whether the total capacity suffices for a task of `step`."""
        info = self.info
        return (
            info.cpu_milli >= step.cpu_milli
            and info.memory_mb >= step.memory_mb
            and info.accelerators >= step.accelerators
        )

    def accepts(self, now):
        """Whether new tasks may be started on the worker at all."""
        return (
            self.confirmed
            and not self.is_superseded
            and not self.in_handover
            and self.listed
            and not self.unreachable
            and not self.orphan_runs
            and not self.info.draining
            and now >= self.retry_at
        )

    def next_lease_s(self, now, max_s):
        """Return the length of the next lease: at most `max_s`, less if the worker leaves before.

        Nothing else shows that the runs on a worker that has left are over. The announced time is
        the least for which it stays, and while it shuts down it may refuse connections.
        """
        if self.leaves_at is None:
            return max_s
        return min(max_s, max(0.0, self.leaves_at - now) + LEAVING_LEASE_S)

    def lease_sent(self, sent_at, lease_s):
        """Note that a lease of `lease_s` was sent; it lasts longer on a slow clock."""
        self.lease_over_at = max(self.lease_over_at, lease_end(sent_at, lease_s))
