"""History of the workers lost while running a task, and limits that it sets on restarts."""

from enum import StrEnum
from functools import cached_property

from msgspec import Struct, field, structs

from ._worker_id import make_worker_id

#: A crash counts as early when its run was last listed below this age. Unit: seconds.
EARLY_CRASH_S = 2.0

#: Early crashes on different machines (addresses) after which the task is taken as their cause.
MAX_EARLY_CRASHES = 2

#: Workers lost while running a task, at any age of the run, after which it is not restarted.
MAX_LOST_WORKERS = 4

#: A trial run passes at this age plus :data:`TRIAL_AGE_FACTOR` times the longest age of a run that
#: was lost early or during a trial. Unit: seconds.
MIN_TRIAL_S = 0.5
TRIAL_AGE_FACTOR = 1.25

#: A run clears the task's history at this age or at :data:`CLEARED_AGE_FACTOR` times the longest
#: age that a lost run reached, whichever is greater. Unit: seconds.
MIN_CLEARED_S = 4.0
CLEARED_AGE_FACTOR = 3.0

#: Upper bound on the age at which a run clears the history. Unit: seconds.
MAX_CLEARED_S = 60.0

#: Longest delay of the next start while the outcome of a loss is unknown. Unit: seconds.
MAX_UNKNOWN_WAIT_S = 8.0

#: Back-off before the start that follows a second loss; doubles with each loss. Unit: seconds.
FIRST_BACKOFF_S = 1.0

#: Maximum age of a recorded start, when a new leader takes over, at which the loss of its worker
#: counts as an early crash. Allows 1.0 s for the take-over. Unit: seconds.
MAX_RECORDED_START_AGE_S = EARLY_CRASH_S + 1.0


class LossOutcome(StrEnum):
    """State of a worker on which a task was started.

    `PLACED`: not known to be lost; the run may be active. `UNKNOWN`: the worker is unreachable and
    its lease has expired. `GONE`: the worker remained unreachable and its registry entry was
    removed; it may be partitioned and still running. `CRASHED`: a later incarnation has answered
    under its id, or its lease has expired and another worker answers at its address.
    """

    PLACED = "placed"
    UNKNOWN = "unknown"
    GONE = "gone"
    CRASHED = "crashed"


class LostRun(Struct, kw_only=True, omit_defaults=True, dict=True):
    """A run of a task and what became of the worker it was started on.

    Parameters
    ----------
    registry_id : str
    address : str
        Address at which the worker last answered.
    born_ms : int or None
        Start time of the worker's incarnation; None if it is not known, as in records of older
        releases. Unit: milliseconds since 1970.
    run_id : int
    fate : LossOutcome
    max_age_s : float
        Upper bound of the run's age when its worker was lost. Unit: seconds.
    is_soon : bool
        Whether the worker was lost early in the run, or during a trial run.
    has_begun : bool
        Whether the worker has confirmed that the run began.
    started_at : float
        Time of day at which the start was recorded. Unit: seconds.
    """

    registry_id: str = field(name="worker_id")
    address: str
    run_id: int
    fate: LossOutcome = LossOutcome.PLACED
    born_ms: int | None = None
    max_age_s: float = EARLY_CRASH_S
    is_soon: bool = True
    has_begun: bool = True
    started_at: float = 0.0

    @cached_property
    def worker_id(self):
        """Identity of the worker's incarnation."""
        return make_worker_id(self.registry_id, self.born_ms)


class CrashHistory:
    """Runs of one task whose workers were lost.

    Attributes
    ----------
    lost_runs : dict of str to LostRun
        By worker. Includes a recorded start (`LossOutcome.PLACED`), which was made durable before
        it was sent and whose worker may still be lost.
    last_lost_at : float
        Time of the latest loss. Unit: seconds.
    is_trial_exempt : bool
        Whether a trial run of the same step or image has passed since the last loss.
    unrecorded_change : int
        Change of the job that must be durable before the next start.
    """

    __slots__ = ("is_trial_exempt", "last_lost_at", "lost_runs", "unrecorded_change")

    def __init__(self, *, lost_runs=(), now=0.0):
        self.lost_runs = {each.worker_id: each for each in lost_runs}
        self.last_lost_at = now
        self.is_trial_exempt = False
        self.unrecorded_change = 0

    @property
    def losses(self):
        """Entries whose workers were lost, without recorded starts."""
        return [each for each in self.lost_runs.values() if each.fate is not LossOutcome.PLACED]

    @property
    def lost_addresses(self):
        """Addresses of the lost workers."""
        return {each.address for each in self.losses}

    @property
    def is_suspect(self):
        """Whether the task may crash the next worker as well."""
        return any(each.is_soon for each in self.losses)

    def has_other_early_loss(self, worker_id):
        """Whether a worker other than the given one was lost early."""
        return any(each.is_soon for each in self.losses if each.worker_id != worker_id)

    @property
    def must_be_recorded(self):
        """Whether the next start must be durable before it is sent."""
        losses = self.losses
        return len(losses) > 1 or any(
            each.is_soon and each.fate is not LossOutcome.UNKNOWN for each in losses
        )

    @property
    def crashes_workers(self):
        """Whether the crashes are attributed to the task rather than to its workers."""
        early_crash_addresses = {
            each.address
            for each in self.lost_runs.values()
            if each.fate is LossOutcome.CRASHED and each.has_begun and each.is_soon
        }
        if len(early_crash_addresses) >= MAX_EARLY_CRASHES:
            return True
        n_crashed = sum(each.fate is LossOutcome.CRASHED for each in self.losses)
        return len(self.losses) >= MAX_LOST_WORKERS and n_crashed >= MAX_EARLY_CRASHES

    @property
    def trial_s(self):
        """Age at which a trial run passes. Unit: seconds."""
        early_losses = [each for each in self.losses if each.is_soon]
        return MIN_TRIAL_S + TRIAL_AGE_FACTOR * _longest_age_s(early_losses)

    @property
    def cleared_s(self):
        """Age at which a run clears the history. Unit: seconds."""
        cleared_s = max(MIN_CLEARED_S, CLEARED_AGE_FACTOR * _longest_age_s(self.losses))
        return min(MAX_CLEARED_S, cleared_s)

    def may_start(self, now):
        """Whether the task may be started again now; not while a recorded start may be active."""
        losses = self.losses
        if len(losses) >= MAX_LOST_WORKERS or len(losses) < len(self.lost_runs):
            return False
        if len(losses) < 2:
            return True
        waited_s = now - self.last_lost_at
        if waited_s < FIRST_BACKOFF_S * 2 ** (len(losses) - 2):
            return False
        is_unknown = self.is_suspect and any(each.fate is LossOutcome.UNKNOWN for each in losses)
        return not is_unknown or waited_s >= MAX_UNKNOWN_WAIT_S

    def add_start(self, worker, *, run_id, started_at):
        """Add a start that is being recorded. Unit of `started_at`: seconds, time of day."""
        info = worker.info
        self.lost_runs[info.worker_id] = LostRun(
            registry_id=info.registry_id,
            born_ms=info.born_ms,
            address=worker.answered_address or info.address,
            run_id=run_id,
            has_begun=False,
            started_at=round(started_at, 2),
        )

    def confirm_start(self, worker_id):
        """Note that the run of a recorded start has begun; return whether there is such a start."""
        lost = self.lost_runs.get(worker_id)
        if lost is None or lost.fate is not LossOutcome.PLACED or lost.has_begun:
            return False
        self.lost_runs[worker_id] = structs.replace(lost, has_begun=True)
        return True

    def mark_stale_starts(self, wall_now):
        """Exclude recorded starts that are not recent from the early crashes.

        Their runs may have continued, or completed, while the store was unavailable.
        """
        for worker_id, lost in self.lost_runs.items():
            is_recent = 0.0 <= wall_now - lost.started_at <= MAX_RECORDED_START_AGE_S
            if lost.fate is LossOutcome.PLACED and not is_recent:
                self.lost_runs[worker_id] = structs.replace(lost, is_soon=False)

    def add_loss(self, run, outcome, now):
        """Add the loss of a run's worker, with its outcome."""
        worker = run.worker
        info = worker.info
        if run.is_adopted:
            # The age of the run is unknown. A start that is still recorded has not been cleared by
            # a surviving run, so its crash counts as early if the start is recent.
            placed = self.lost_runs.get(info.worker_id)
            has_begun = self._is_placed(info.worker_id) and placed.has_begun
            is_soon = has_begun and placed.is_soon
        else:
            is_soon = run.is_trial if self.is_suspect else run.survived_s < EARLY_CRASH_S
            has_begun = run.has_begun
        self.lost_runs[info.worker_id] = LostRun(
            registry_id=info.registry_id,
            born_ms=info.born_ms,
            address=worker.answered_address or info.address,
            run_id=run.run_id,
            fate=outcome,
            max_age_s=EARLY_CRASH_S if run.is_adopted else round(run.max_age_s(now), 2),
            is_soon=is_soon,
            has_begun=has_begun,
        )
        self.last_lost_at = now

    def _is_placed(self, worker_id):
        lost = self.lost_runs.get(worker_id)
        return lost is not None and lost.fate is LossOutcome.PLACED

    def remove(self, worker_id):
        """Remove the entry of a worker that is reachable or whose run ended normally."""
        return self.lost_runs.pop(worker_id, None) is not None

    def remove_placed(self, worker_id):
        """Remove the entry of a worker unless the worker was lost."""
        return self._is_placed(worker_id) and self.remove(worker_id)


def _longest_age_s(lost_runs):
    return max((each.max_age_s for each in lost_runs), default=0.0)
