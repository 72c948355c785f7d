"""Numbers of the runs of a job's tasks: higher than all that earlier leaders may have used."""

#: Run numbers that each leader may use beyond those of its predecessor without a record.
RUNS_PER_TERM = 1000

#: Run numbers that a record reserves beyond the highest one in use, and the number of unused ones
#: at which the next are reserved. These last while the record is written.
RESERVED_RUNS = 1000
MIN_UNUSED_RUNS = 500

#: Run numbers that are skipped after a worker has refused one without having a run of the task;
#: each further refusal in a row multiplies them by the factor, up to the maximum. The first skip
#: rarely needs a record; four pass any count of runs that one leader can reach.
FIRST_SKIP = 250
SKIP_FACTOR = 256
MAX_SKIP = 2**30

#: Largest run number that is reached by skipping: programs that hold a number as a double tell
#: whole numbers apart up to here.
MAX_SKIPPED_TO = 2**53 - 1


def skipped_runs(run_id, n_refusals):
    """Return how many numbers to skip after `run_id`, which a worker was the last to refuse.

    Parameters
    ----------
    run_id : int
        Highest number of the task so far.
    n_refusals : int
        Refusals in a row by workers that had no run of the task.

    Examples
    --------
    >>> [skipped_runs(1, n_refusals) for n_refusals in range(4)]
    [0, 250, 64000, 16384000]
    >>> skipped_runs(1, 9) == MAX_SKIP
    True
    >>> skipped_runs(MAX_SKIPPED_TO - 5, 1)
    0
    """
    if not n_refusals:
        return 0
    n_skipped = min(MAX_SKIP, FIRST_SKIP * SKIP_FACTOR ** (n_refusals - 1))
    return n_skipped if run_id + n_skipped < MAX_SKIPPED_TO else 0


class RunNumbers:
    """Numbers that one leader may give to the runs of one job's tasks.

    A worker refuses a run number that is not higher than the task's last one there, and a new
    leader does not know how often earlier leaders have started a task. It begins after the highest
    number that any of them may have used: each may use :data:`RUNS_PER_TERM` more than its
    predecessor, and further ones only after the job's record has reserved them.

    Parameters
    ----------
    term : int
        Number of leaders so far, including this one.
    is_inherited : bool
        Whether an earlier leader may have started tasks of the job.
    reserved, reserved_term : int, default=0
        Highest number that the job's record reserves, and the term of the leader that reserved it.

    Notes
    -----
    `reserved` and `reserved_term` are to be written with the next record of the job. Numbers up to
    `limit` may be used now.
    """

    __slots__ = (
        "_highest",
        "_last_earlier",
        "_reserved_by_change",
        "_term",
        "limit",
        "reserved",
        "reserved_term",
    )

    def __init__(self, *, term, is_inherited, reserved=0, reserved_term=0):
        n_later_terms = max(0, term - reserved_term)
        self._term = term
        self.reserved = reserved
        self.reserved_term = reserved_term
        self._reserved_by_change = 0
        self.limit = reserved + n_later_terms * RUNS_PER_TERM
        last_earlier = reserved + max(0, n_later_terms - 1) * RUNS_PER_TERM
        self._last_earlier = last_earlier if is_inherited or reserved else 0
        self._highest = self._last_earlier

    @property
    def may_use_next(self):
        """Whether the next number of every task may be used now."""
        return self._highest < self.limit

    @property
    def needs_reservation(self):
        """Whether few numbers are left, including those that the next record reserves."""
        return max(self.limit, self.reserved) - self._highest <= MIN_UNUSED_RUNS

    def next_of(self, task):
        """Return the number of a task's next run."""
        n_skipped = skipped_runs(task.run_id, task.n_number_refusals)
        return max(task.run_id + n_skipped, self._last_earlier) + 1

    def note_used(self, run_id):
        """Note that a task has had the number `run_id`, or skips those up to it."""
        self._highest = max(self._highest, run_id)

    def reserve(self, change):
        """Reserve more numbers, to be recorded with the job's `change`."""
        self.reserved = self._highest + RESERVED_RUNS
        self.reserved_term = self._term
        self._reserved_by_change = change

    def recorded(self, change):
        """Note that the job's record is durable up to `change`; return whether `limit` rose."""
        if self.limit >= self.reserved or change < self._reserved_by_change:
            return False
        self.limit = self.reserved
        return True
