"""State of the workers: their runs, their capacity, and the expiry of their leases."""

from ._step_backoffs import StepBackoffs

#: Fraction by which a worker's clock may run slow, as the worker contract states.
CLOCK_DRIFT = 0.02

#: Added to a lease before its expiry is relied on, for the granularity of the worker's clock and of
#: the leader's own clock readings. Unit: seconds.
LEASE_MARGIN_S = 0.1

#: Time by which a worker's leases outlast its announced departure. It may stay longer, and its
#: leases must outlast a lost renewal and a take-over from an unresponsive leader. Unit: seconds.
LEAVING_LEASE_S = 1.6


def lease_end(sent_at, lease_s):
    """Return when a lease has certainly expired, even on a slow clock. Unit: seconds.

    A worker ends its runs when its lease expires.
    """
    return sent_at + lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S


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
    worker then gets no new tasks. Nor does it while `is_recorded` is False: its entry was written
    at `found_version` of the registry, and the leader's row in the store dates from before the
    leader had read that. `is_superseded` means that the worker has started again: this incarnation
    is over, and its runs are dropped once the next one lists its own.

    `answered_address` is the address of its last answer, to this leader or to the one that named
    it in the handover, None before. `is_loss_noted` means that its loss has been reported.

    `lease_over_at` is the time at which all its leases have certainly expired, `leaves_at` the
    earliest time at which a draining worker may leave, `retry_at` the end of its back-off.
    `n_consecutive_failures` counts failed and stalled runs and refused starts since the last
    success, of a long-running step at most one; `step_backoffs` are those of such steps alone.
    `last_ended` is the number of the last end that was processed; `ack_queue` holds each
    :class:`PendingEnd`. `slowness` is the ratio of actual to estimated durations of its recent
    runs, see `_stalled_runs`.
    """

    __slots__ = (
        "ack_queue",
        "answered_address",
        "confirmed",
        "cpu_free",
        "found_version",
        "gpu_free",
        "has_listed_all_ends",
        "in_handover",
        "info",
        "is_loss_noted",
        "is_recorded",
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
        "step_backoffs",
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
        self.found_version = 0
        self.is_recorded = True
        self.is_superseded = False
        self.listed = True
        self.lease_over_at = lease_over_at
        self.leaves_at = None
        self.last_ended = 0
        self.ack_queue = []
        self.n_consecutive_failures = 0
        self.retry_at = 0.0
        self.step_backoffs = StepBackoffs()
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

    def accepts(self, now, step=None):
        """Whether new tasks may be started on the worker at all, or those of a step."""
        return (
            self.confirmed
            and not self.is_superseded
            and not self.in_handover
            and self.is_recorded
            and self.listed
            and not self.unreachable
            and not self.orphan_runs
            and not self.info.draining
            and now >= self.retry_at
            and not (step is not None and self.step_backoffs.holds(step.key, now))
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
