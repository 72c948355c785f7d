"""Actions that the scheduler returns for the leader to carry out."""

from msgspec import Struct, UnsetType


class StartRun(Struct, kw_only=True):
    """Start a task on a worker; `payload` is UNSET where the leader does not hold it.

    `task` is the task's name, ``JOB.OCCURRENCE.STEP.INDEX``. `checkpoint` is empty where the run
    begins from the start. `ticket` is the advice service's permission to run the step there; empty
    where none is needed. `factor` is the learnt duration of tasks on the worker, relative to the
    mean, where it decides on the worker; None: it does not.
    """

    worker_id: str
    task: str
    run_id: int
    payload: str | UnsetType
    checkpoint: str
    ticket: str
    factor: float | None = None


class StopRun(Struct, kw_only=True):
    """Stop a run; a worker that has not received its start yet must refuse that start.

    `why` is the reason, for logs.
    """

    worker_id: str
    task: str
    run_id: int
    why: str


class SetPace(Struct, kw_only=True):
    """Limit a run to a share of its full speed. Unit: percent."""

    worker_id: str
    task: str
    run_id: int
    percent: int


class RequestAdvice(Struct, kw_only=True):
    """Request advice on which of the given workers may run a step.

    `registry_ids` are the ids of `workers` in the registry, in the same order. `length_s` is the
    duration that the request is expected to take, `waited_s` the time for which it was deferred.
    Unit: seconds. `number` tells the requests of a step apart; 0 where they need not be.
    """

    step: str
    workers: list[str]
    registry_ids: list[str]
    length_s: float
    waited_s: float = 0.0
    number: int = 0


class NoteLostWorker(Struct, kw_only=True):
    """Report that a worker was lost, and which tasks were running on it.

    Parameters
    ----------
    worker_id, address : str
    known_by : str
        How the loss was detected. ``replaced``: a later incarnation has answered under the worker's
        id, or its lease is over and another worker answers at its address. ``unlisted``: the worker
        did not answer and its registry entry remained absent; it may be partitioned rather than
        dead.
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


class NoteRefusedNumber(Struct, kw_only=True):
    """Report that a worker has had a higher run number of a task than the leader knows of.

    `run_id` is the number that it refused without having a run of the task, `n_refusals` counts the
    refusals in a row, and `next_run_id` is the task's next number.
    """

    worker_id: str
    task: str
    run_id: int
    n_refusals: int
    next_run_id: int


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
    """Report why tasks of a step are waiting.

    Parameters
    ----------
    step : str
    n_waiting : int
        Tasks of the step that are waiting.
    n_allowed, n_refused : int
        Workers that the advice service has allowed at some time, and those that it has refused.
    n_open : int
        Workers that may run the step and accept work now.
    n_with_room : int
        Open workers with enough free capacity for a task.
    n_kept : int
        Workers with enough free capacity of which the rest is kept for urgent tasks.
    n_tickets : int
        Workers for which the step has a valid ticket.
    advice : str
        State of the step's advice request: ``none``, ``in flight`` or ``deferred``.
    deferred_s : float
        Time for which the request has been deferred. Unit: seconds.
    account : str
        ClientAccount of the job; empty: none.
    limited_by : str
        Resources of which the account's maximum leaves too little for a task, with the amounts in
        use and the maximum; empty: none.
    rank : str
        Place of the job within its priority: ``guaranteed`` or ``excess`` of its account's rate,
        and ``in time`` or ``late``; empty: by its target completion time alone.
    """

    step: str
    n_waiting: int
    n_allowed: int
    n_refused: int
    n_open: int
    n_with_room: int
    n_kept: int = 0
    n_tickets: int = 0
    advice: str = "none"
    deferred_s: float = 0.0
    account: str = ""
    limited_by: str = ""
    rank: str = ""


class NoteUnusableWeight(Struct, kw_only=True):
    """Report that the weight of an account is not a positive number.

    Parameters
    ----------
    account, weight : str
        Name of the account, and its weight as text.
    used : float
        Weight that is used instead. Unit: jobs per second.
    """

    account: str
    weight: str
    used: float
