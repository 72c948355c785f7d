"""Kinds of jobs in a simulated load, and the results for their callers."""

from msgspec import Struct

from ..jobs import Queue


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
    """

    n_asked: int = 0
    n_in_time: int = 0
    n_late: int = 0
    owed: float = 0.0
    earned: float = 0.0
    waits_s: list[float] = []

    @property
    def share(self):
        """Earned worth as a share of the worth of all submitted jobs."""
        return self.earned / self.owed if self.owed else 1.0
