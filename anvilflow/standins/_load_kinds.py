"""What comes in a played load, and what its callers get."""

from msgspec import Struct

from ..jobs import Queue


class LoadKind(Struct, kw_only=True, frozen=True):
    """Jobs of one kind: how many come, and what they are.

    Parameters
    ----------
    queue : Queue
    per_s : float
        Jobs a second.
    n_tasks : float
        Mean of a step; the numbers are spread exponentially.
    n_steps : int, default=1
    work_s : float
        Mean length of a task, and `spread` its standard deviation in parts. Unit: seconds.
    estimate_off : float
        How far estimates are off at the most, in parts either way.
    cpu_milli, memory_mb : int
    accelerators : tuple of int
        One of these is drawn for each job.
    checkpointing : float
        Share of the jobs whose tasks can resume.
    good : float
        Share of the workers that advice allows.
    worth : float
    speculative : float
        Share of the jobs whose tasks may have copies.
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
    accelerators: tuple[int, ...] = (0,)
    checkpointing: float = 0.0
    good: float = 1.0
    speculative: float = 0.0
    gang: bool = False


class KindResult(Struct, kw_only=True):
    """What the callers of one kind got.

    Parameters
    ----------
    n_asked, n_in_time, n_late : int
    owed, earned : float
        Worth of what was asked, and of what was done; a late job has a fifth of its own.
    waits_s : list of float
        From handing in to the first start. Unit: seconds.
    """

    n_asked: int = 0
    n_in_time: int = 0
    n_late: int = 0
    owed: float = 0.0
    earned: float = 0.0
    waits_s: list[float] = []

    @property
    def share(self):
        """Earned worth in parts of what was owed."""
        return self.earned / self.owed if self.owed else 1.0
