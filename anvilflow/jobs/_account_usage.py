"""Resources that the runs of each client account occupy in the whole cell."""

from itertools import pairwise

from ._accounts import add_demands, demand_of

_NONE = (0, 0, 0)


class AccountUsage:
    """Keeps count of the processor, memory and accelerators that each account's runs occupy.

    A run counts from the decision to start it until its end is certain, on whatever worker.

    Notes
    -----
    A new leader learns only from the workers which runs its predecessors have started. Until all of
    them have answered, each job that may have such runs counts with an upper bound, see
    :meth:`assume`, or with its known runs where these occupy more. Runs of jobs that have ended are
    counted in the same way, see :meth:`add_leftover`.
    """

    __slots__ = ("_assumed", "_ended", "_hidden", "_known", "_leftover", "_used")

    def __init__(self):
        self._used = {}
        # By job with a bound: its account and bound, and what its known runs occupy.
        self._assumed = {}
        self._known = {}
        # By account: by how much the bounds of its jobs exceed their known runs.
        self._hidden = {}
        self._leftover = {}
        # By ended job: the bound with which it counted.
        self._ended = {}

    def add(self, job, step):
        """Count a run of a job's step."""
        self._change(job, step, 1)

    def remove(self, job, step):
        """Count a run of a job's step no more."""
        self._change(job, step, -1)

    def used(self, account):
        """Return what an account's runs may occupy in total, in the order of :func:`demand_of`."""
        used = self._used.get(account, _NONE)
        for bounds in (self._hidden, self._leftover):
            if account in bounds:
                used = add_demands(used, bounds[account])
        return used

    def accounts(self):
        """Return the names of the accounts whose runs may occupy anything."""
        return sorted(self._used.keys() | self._hidden.keys() | self._leftover.keys())

    # Runs of earlier leaders

    @property
    def has_assumptions(self):
        """Whether some jobs count with an upper bound."""
        return bool(self._assumed)

    @property
    def has_leftovers(self):
        """Whether runs of ended jobs are counted."""
        return bool(self._leftover)

    def assume(self, job_id, account, bound):
        """Count a job with at least `bound`, as it may have runs that no worker has listed yet.

        Must be called before any run of the job is counted.
        """
        if job_id in self._assumed or bound == _NONE:
            return
        self._assumed[job_id] = (account, bound)
        self._known[job_id] = _NONE
        self._hidden[account] = add_demands(self._hidden.get(account, _NONE), bound)

    def bound_of(self, job_id):
        """Return the upper bound with which a job counts, or counted when it ended."""
        if job_id in self._assumed:
            return self._assumed[job_id][1]
        return self._ended.get(job_id, _NONE)

    def job_ended(self, job_id):
        """Count what exceeds the known runs of a job that has ended as left over.

        Runs of such a job are not counted any more when their worker lists them.
        """
        if job_id not in self._assumed:
            return
        account, bound = self._assumed.pop(job_id)
        known = self._known.pop(job_id)
        hidden = tuple(max(0, most - now) for most, now in zip(bound, known, strict=True))
        if any(hidden):
            self._ended[job_id] = bound
        self._hidden[account] = add_demands(self._hidden[account], tuple(-each for each in hidden))
        self.add_leftover(account, hidden)

    def drop_assumptions(self):
        """Count known runs only from now on, as all runs are known."""
        self._assumed.clear()
        self._known.clear()
        self._hidden.clear()

    def add_leftover(self, account, held):
        """Count what the runs of an ended job held when an earlier leader recorded its end."""
        if account and held != _NONE:
            self._leftover[account] = add_demands(self._leftover.get(account, _NONE), held)

    def drop_leftovers(self):
        """Count the runs of ended jobs no more, as they have ended."""
        self._leftover.clear()
        self._ended.clear()

    def _change(self, job, step, sign):
        account = job.owner
        if not account:
            return
        cpu, memory, accelerators = demand_of(step)
        change = (sign * cpu, sign * memory, sign * accelerators)
        used = add_demands(self._used.get(account, _NONE), change)
        if used == _NONE:
            self._used.pop(account, None)
        else:
            self._used[account] = used
        if job.job_id in self._assumed:
            self._change_known(job.job_id, change)

    def _change_known(self, job_id, change):
        account, bound = self._assumed[job_id]
        before = self._known[job_id]
        after = self._known[job_id] = add_demands(before, change)
        self._hidden[account] = tuple(
            hidden + max(0, most - new) - max(0, most - old)
            for hidden, most, old, new in zip(
                self._hidden[account], bound, before, after, strict=True
            )
        )


def max_concurrent_demand(steps):
    """Return an upper bound of what a job's tasks occupy at the same time.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps of the job that are not done. Where each of them runs after the one before it, only
        one can have runs; otherwise all of them count.

    Notes
    -----
    A task that allows copies counts twice.
    """
    steps = list(steps)
    demands = [_whole_demand(step) for step in steps]
    if not demands:
        return _NONE
    combine = max if _is_chain(steps) else sum
    return tuple(combine(each) for each in zip(*demands, strict=True))


def _is_chain(steps):
    in_order = sorted(steps, key=lambda step: step.number)
    is_single = len({step.occurrence for step in in_order}) == 1
    return is_single and all(
        earlier.number in later.spec.after for earlier, later in pairwise(in_order)
    )


def _whole_demand(step):
    n_runs = (len(step.tasks) - step.n_done) * (2 if step.spec.speculative else 1)
    return tuple(n_runs * amount for amount in demand_of(step.spec))
