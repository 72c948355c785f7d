"""Kinds of jobs in a simulated load, and the results for their callers."""

from msgspec import Struct

from ..jobs import ClientAccount, Queue


class Burst(Struct, kw_only=True, frozen=True):
    """Time during which jobs arrive at a multiple of the usual rate.

    Parameters
    ----------
    begins_at, ends_at : float
        Unit: seconds.
    factor : float
    account : str, default=""
        Name of the account whose jobs come at that multiple; empty: the jobs of all.
    """

    begins_at: float
    ends_at: float
    factor: float
    account: str = ""

    def factor_at(self, now):
        """Return the factor on the usual rate at a time. Unit: seconds."""
        return self.factor if self.begins_at <= now < self.ends_at else 1.0


class LoadKind(Struct, kw_only=True, frozen=True):
    """Jobs of one kind: their arrival rate and their properties.

    Parameters
    ----------
    queue : Queue
    per_s : float
        Jobs that arrive per second.
    n_tasks : float
        Mean number of tasks of a step; the numbers are exponentially distributed.
    n_steps : int, default=1
    work_s : float
        Mean length of a task; `spread` is the standard deviation relative to it. Unit: seconds.
    estimate_off : float
        Largest relative error of the estimates, in either direction.
    cpu_milli, memory_mb : int
        Of a task; means if `demand_spread` is set, their standard deviation relative to them.
    accelerators : tuple of int
        Numbers of accelerators per task, of which one is drawn for each job.
    checkpointing : float
        Share of jobs whose tasks can resume from a checkpoint.
    good : float
        Share of workers that the advice allows.
    worth : float
    speculative : float
        Share of jobs whose tasks may have speculative copies.
    gang : bool
    tail_share, tail_factor : float
        Share of tasks that take `tail_factor` times as long.
    bursts : tuple of Burst
    accounts : tuple of ClientAccount
        Accounts that submit the jobs, in proportion to their weights; empty: none.
    """

    queue: Queue
    per_s: float
    n_tasks: float
    work_s: float
    worth: float
    n_steps: int = 1
    spread: float = 0.5
    estimate_off: float = 0.5
    cpu_milli: int = 1000
    memory_mb: int = 1000
    demand_spread: float = 0.0
    accelerators: tuple[int, ...] = (0,)
    checkpointing: float = 0.0
    good: float = 1.0
    speculative: float = 0.0
    gang: bool = False
    tail_share: float = 0.0
    tail_factor: float = 1.0
    bursts: tuple[Burst, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()

    def rates(self, now):
        """Return the jobs per second of each account at a time; of all jobs without accounts."""
        total = sum(account.weight for account in self.accounts)
        rates = {a.name: self.per_s * a.weight / total for a in self.accounts}
        rates = rates or {"": self.per_s}
        for burst in self.bursts:
            for name in rates:
                if burst.account in ("", name):
                    rates[name] *= burst.factor_at(now)
        return rates

    @property
    def max_per_s(self):
        """Upper bound of the jobs per second at any time."""
        edges = [burst.begins_at for burst in self.bursts]
        return max(sum(self.rates(now).values()) for now in [-1.0, *edges])

    def account_named(self, name):
        """Return the account called `name`, or None."""
        return next((each for each in self.accounts if each.name == name), None)


class KindResult(Struct, kw_only=True):
    """Results for the callers of one kind of jobs.

    Parameters
    ----------
    n_asked, n_in_time, n_late : int
        Submitted jobs, jobs completed within their objective, and jobs completed late.
    owed, earned : float
        Worth of the submitted jobs, and of the completed ones; a late job earns a fifth of its
        worth.
    waits_s : list of float
        Times from submission to the first start. Unit: seconds.
    took_s : dict of str to list of float
        By account, the times from submission to completion. Unit: seconds.
    asked, in_time : dict of str to int
        By account, the submitted jobs and those completed within their objective.
    """

    n_asked: int = 0
    n_in_time: int = 0
    n_late: int = 0
    owed: float = 0.0
    earned: float = 0.0
    waits_s: list[float] = []
    took_s: dict[str, list[float]] = {}
    asked: dict[str, int] = {}
    in_time: dict[str, int] = {}

    @property
    def share(self):
        """Earned worth as a share of the worth of all submitted jobs."""
        return self.earned / self.owed if self.owed else 1.0
