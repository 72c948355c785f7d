"""What the scheduler wants done."""

from msgspec import Struct


class StartRun(Struct, kw_only=True):
    """Start a task on a worker."""

    worker_id: str
    task: str
    run_id: int
    payload: str
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


class AskAdvice(Struct, kw_only=True):
    """Ask which of some workers may run a step; `length_s` is how long the answer takes."""

    step: str
    workers: list[str]
    length_s: float


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
