"""What the scheduler wants done."""

from msgspec import Struct, UnsetType


class StartRun(Struct, kw_only=True):
    """Start a task on a worker; `payload` is left out where the leader does not hold it."""

    worker_id: str
    task: str
    run_id: int
    payload: str | UnsetType
    checkpoint: str
    ticket: str


class StopRun(Struct, kw_only=True):
    """Stop a run, and bar it where it has not arrived yet."""

    worker_id: str
    task: str
    run_id: int
    why: str


class SetPace(Struct, kw_only=True):
    """Let a run work at a share of its speed. Unit: percent."""

    worker_id: str
    task: str
    run_id: int
    percent: int


class RequestAdvice(Struct, kw_only=True):
    """Ask which of some workers may run a step; `length_s` is how long the answer takes."""

    step: str
    workers: list[str]
    length_s: float


class NoteLostWorker(Struct, kw_only=True):
    """Report that a worker was lost, and which tasks were running on it.

    Parameters
    ----------
    worker_id, address : str
    known_by : str
        ``replaced``: another incarnation answers at its address. ``unlisted``: it did not answer
        and its entry remained absent; it may be partitioned rather than dead.
    tasks : list of str
        Tasks that were running there.
    runs_and_losses : dict of str to list of int
        By suspect task: its run there, and the number of workers lost while running the task.
    """

    worker_id: str
    address: str
    known_by: str
    tasks: list[str]
    runs_and_losses: dict[str, list[int]]


class NoteCrashingTask(Struct, kw_only=True):
    """Report that a job was failed because one of its tasks crashes workers.

    Parameters
    ----------
    job, task : str
    workers : list of str
        Workers that crashed while running the task.
    runs : list of int
        The task's runs on these workers.
    """

    job: str
    task: str
    workers: list[str]
    runs: list[int]


class NoteWait(Struct, kw_only=True):
    """Say why tasks of a step wait.

    Parameters
    ----------
    step : str
    n_waiting : int
    n_allowed, n_refused : int
        Workers that advice has allowed at some time, and those that it has not.
    n_open : int
        Workers that may run the step and take work now.
    n_with_room : int
        Those of them on which a task fits.
    """

    step: str
    n_waiting: int
    n_allowed: int
    n_refused: int
    n_open: int
    n_with_room: int
