"""Order among the jobs of one priority, by guaranteed rates and by the time that is left."""

from collections import defaultdict
from enum import IntEnum

from msgspec import Struct

from ._estimates import remaining_chain_s, remaining_work, whole_work
from ._ledger import RateLedger

#: Factor on stated estimates in the decision that a job can no longer be in time. Estimates may be
#: too high by a half, and a job that is given up too early is late for no reason.
EARLIEST_END_FACTOR = 1 / 1.5

#: Time after which the estimate of a job with runs is renewed: workers report their progress about
#: twice a second. Unit: seconds.
ESTIMATE_VALID_S = 0.5

#: Least time between two reviews of all waiting jobs. Unit: seconds.
REVIEW_INTERVAL_S = 0.1

#: Share of the starts of a priority that late jobs get while others are waiting, those that were
#: accepted first before all others. Without it, a job that is late would wait for as long as
#: callers ask for more than there is.
LATE_SHARE = 0.05

#: Most starts that a late job makes before all others in one turn. A large job neither waits until
#: the share covers all of its tasks, nor does it hold up the jobs in time with all of them.
MAX_TURN_STARTS = 20

#: Share of its work from which a job that has begun keeps its rank when it becomes late. Its runs
#: hold capacity, and it would be overtaken by all new jobs just before its end.
ENDING_SHARE = 0.25

_NEVER = float("inf")


class Rank(IntEnum):
    """Groups of the jobs of one priority, the first one first."""

    TURN = 0
    GUARANTEED = 1
    GUARANTEED_LATE = 2
    EXCESS = 3
    EXCESS_LATE = 4


class ShareCounts(Struct, kw_only=True, frozen=True):
    """Numbers of jobs with waiting tasks at the last review.

    Parameters
    ----------
    n_guaranteed, n_excess : int
        Jobs within and beyond the guaranteed rates of their accounts.
    n_late : int
        Jobs of either group that can no longer be in time.
    """

    n_guaranteed: int = 0
    n_excess: int = 0
    n_late: int = 0


class Standing:
    """What decides a job's rank and does not change at each plan.

    `start_tag` orders excess, `late_at` is the time from which the job can no longer be in time,
    `due_by` its target completion time, `work` what its tasks still have to do. `expires_at` and
    `change` tell until when, and for which progress of the job, the latter three hold.
    `n_turn_starts` is how many starts the job, which is late, makes before all others, unless it is
    no longer late or its occurrence that is due at `turn_due_by` is done.
    """

    __slots__ = (
        "change",
        "due_by",
        "expires_at",
        "is_excess",
        "late_at",
        "n_turn_starts",
        "start_tag",
        "turn_due_by",
        "work",
    )

    def __init__(self):
        self.is_excess = False
        self.start_tag = 0.0
        self.late_at = _NEVER
        self.due_by = _NEVER
        self.work = 0.0
        self.expires_at = -_NEVER
        self.change = 0
        self.n_turn_starts = 0
        self.turn_due_by = _NEVER

    @property
    def has_turn(self):
        """Whether the job goes before all others."""
        return self.n_turn_starts > 0


class ShareOrder:
    """Ranks the waiting jobs of one priority.

    Jobs within the guaranteed rate of their account come before the excess of others. Of the jobs
    within the rate, those that can still be in time come before those that cannot, the earliest
    due first. Late jobs are ordered by their remaining work, so that most callers get their results
    soon, and the oldest of them have a share of the starts. Excess is ordered by the weights of the
    accounts. Nothing is held back: excess and late jobs get all that the jobs before them leave.

    Parameters
    ----------
    is_on : bool, default=True
        Whether the order is used. If not, it keeps nothing of the jobs.

    Notes
    -----
    Jobs without an account count as those of one account without excess. The order is not stored: a
    new leader derives it from the jobs, see :meth:`RateLedger.admit_inherited`.
    """

    __slots__ = ("_inherited", "_late_credit", "_reviewed_at", "counts", "is_on", "ledger")

    def __init__(self, *, is_on=True):
        self.is_on = is_on
        self.ledger = RateLedger()
        self.counts = ShareCounts()
        self._inherited = []
        self._late_credit = defaultdict(float)
        self._reviewed_at = -_NEVER

    def note_accepted(self, job, now):
        """Count an accepted job against the guaranteed rate of its account.

        Jobs that an earlier leader accepted are counted at the next review, the oldest first.
        """
        if job.inherited:
            self.note_present(job)
            return
        job.standing = Standing()
        account = job.account
        if not self.is_on or account is None:
            return
        if not self.ledger.admit(account.name, account.weight, now):
            self._make_excess(job, now)

    def note_present(self, job):
        """Count a job at the next review that was accepted before this order was used."""
        job.standing = Standing()
        if self.is_on and job.account is not None:
            self._inherited.append(job)

    def note_started(self, job, now):
        """Note that a run of a job is being started."""
        if not self.is_on:
            return
        standing = job.standing
        # Not at once: all starts of a job are ranked, and each estimate visits all of its tasks.
        standing.expires_at = min(standing.expires_at, now + REVIEW_INTERVAL_S)
        if standing.is_excess:
            self.ledger.note_started(standing.start_tag)
        if standing.has_turn:
            standing.n_turn_starts -= 1
        elif now <= standing.late_at:
            self._late_credit[job.queue.priority] += LATE_SHARE / (1 - LATE_SHARE)

    def rank(self, job, now):
        """Return the sort key of a job among those of its priority; the first one is the least."""
        standing = job.standing
        if now >= standing.expires_at or standing.change != job.change:
            _estimate(job, standing, now)
        if standing.has_turn:
            return (Rank.TURN, job.accepted_at, job.version)
        is_late = now > standing.late_at
        if standing.is_excess:
            rank = Rank.EXCESS_LATE if is_late else Rank.EXCESS
            return (rank, standing.start_tag, job.version)
        if is_late:
            return (Rank.GUARANTEED_LATE, standing.work, job.version)
        return (Rank.GUARANTEED, standing.due_by, job.version)

    def describe(self, job, now):
        """Return the job's rank for operators, for example ``excess, late``."""
        rank, *_ = self.rank(job, now)
        return _RANK_NAMES[rank]

    def review(self, jobs, now):
        """Renew what depends on all waiting jobs: grown guarantees, and the turns of late jobs.

        Called before each plan; does nothing within :data:`REVIEW_INTERVAL_S` of the last review.
        """
        if now < self._reviewed_at + REVIEW_INTERVAL_S:
            return
        self._reviewed_at = now
        self._count_inherited(now)
        waiting = [job for job in jobs if not job.is_idle and not job.is_ended]
        excess = defaultdict(list)
        late = defaultdict(list)
        n_late = 0
        for job in waiting:
            rank = self.rank(job, now)[0]
            if job.standing.is_excess:
                excess[job.account.name].append(job)
                self.ledger.set_weight(job.account.name, job.account.weight, now)
            if rank is Rank.GUARANTEED_LATE:
                late[job.queue.priority].append(job)
            n_late += now > job.standing.late_at
        n_excess = sum(map(len, excess.values()))
        self.counts = ShareCounts(
            n_guaranteed=len(waiting) - n_excess, n_excess=n_excess, n_late=n_late
        )
        self._grow_guarantees(excess, now)
        self._give_turns(late)

    def _count_inherited(self, now):
        inherited, self._inherited = self._inherited, []
        for job in sorted(inherited, key=_version):
            account = job.account
            objective_s = job.due_by - job.accepted_at
            if not self.ledger.admit_inherited(account.name, account.weight, objective_s, now):
                self._make_excess(job, now)

    def _make_excess(self, job, now):
        job.standing.is_excess = True
        job.standing.start_tag = self.ledger.start_tag(job.account.name, job.account.weight, now)

    def _grow_guarantees(self, excess, now):
        n_waiting = {name: len(jobs) for name, jobs in excess.items()}
        for name, n in self.ledger.take_surplus(n_waiting, now).items():
            for job in sorted(excess[name], key=_version)[:n]:
                job.standing.is_excess = False

    def _give_turns(self, late):
        for priority in list(self._late_credit):
            if priority not in late:
                del self._late_credit[priority]
        for priority, jobs in late.items():
            if self._late_credit[priority] < 1:
                continue
            first = next((job for job in sorted(jobs, key=_acceptance) if _n_ready(job)), None)
            if first is None:
                continue
            n_starts = min(MAX_TURN_STARTS, _n_ready(first))
            if self._late_credit[priority] >= n_starts:
                self._late_credit[priority] -= n_starts
                first.standing.n_turn_starts = n_starts
                first.standing.turn_due_by = first.standing.due_by


_RANK_NAMES = {
    Rank.TURN: "guaranteed, late, first in turn",
    Rank.GUARANTEED: "guaranteed, in time",
    Rank.GUARANTEED_LATE: "guaranteed, late",
    Rank.EXCESS: "excess, in time",
    Rank.EXCESS_LATE: "excess, late",
}


def _version(job):
    return job.version


def _n_ready(job):
    steps = job.steps.values()
    return sum(len(step.waiting()) for step in steps if step.ready_at is not None)


def _acceptance(job):
    return (job.accepted_at, job.version)


def _estimate(job, standing, now):
    """Bring the job's remaining work, and the time from which it is late, up to date."""
    standing.change = job.change
    standing.expires_at = _NEVER
    if job.is_long_running:
        # Its users are served while it runs, whenever it began.
        standing.work = 0.0
        return
    occurrences = defaultdict(list)
    for (occurrence, _), step in job.steps.items():
        occurrences[occurrence].append(step)
    standing.work = total_work = 0.0
    standing.late_at = standing.due_by = _NEVER
    for steps in occurrences.values():
        if all(step.is_done for step in steps):
            continue
        standing.work += remaining_work(steps)
        total_work += whole_work(steps)
        due_by = _due_by(job, steps)
        standing.due_by = min(standing.due_by, due_by)
        chain_s = remaining_chain_s(steps, now, estimate_factor=EARLIEST_END_FACTOR)
        late_at = due_by - chain_s
        if any(task.runs for step in steps for task in step.tasks):
            # The chain becomes shorter while its tasks run.
            standing.expires_at = now + ESTIMATE_VALID_S
            late_at = _NEVER if now <= late_at else late_at
        standing.late_at = min(standing.late_at, late_at)
    if now <= standing.late_at or standing.due_by > standing.turn_due_by:
        standing.n_turn_starts = 0
    if job.begun and standing.work < ENDING_SHARE * total_work:
        standing.late_at = _NEVER


def _due_by(job, steps):
    """Return the target completion time of one occurrence of a job."""
    began_at = [step.ready_at for step in steps if step.ready_at is not None]
    return min(began_at, default=job.accepted_at) + job.due_by - job.accepted_at
