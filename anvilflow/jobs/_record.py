"""What is durable of a job's progress: enough for another instance to go on with it."""

from msgspec import Struct

from ._crash_history import LostRun


class JobRecord(Struct, kw_only=True, omit_defaults=True):
    """Progress of a job that has not ended.

    Parameters
    ----------
    begun : bool
        Whether any task was ever seen running.
    done_steps : list of str
        ``OCCURRENCE.STEP`` of each step that is done.
    done_tasks : dict of str to list of int
        Done tasks of each step that is partly done.
    failures : dict of str to list of int
        By ``OCCURRENCE.STEP.INDEX``: the runs whose ends count as attempts. An end that is listed
        again after a take-over, or later than that of a newer run, is known by its run.
    checkpoints : dict of str to str
    lost_runs : dict of str to list of LostRun
        By task as above: the runs whose workers were lost, and the latest recorded start.
    """

    begun: bool = False
    done_steps: list[str] = []
    done_tasks: dict[str, list[int]] = {}
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    lost_runs: dict[str, list[LostRun]] = {}


class EndedJob(Struct, kw_only=True):
    """What stays of a job that has ended: its final state, and when it did. Unit: seconds."""

    state: str
    ended_at: float = 0.0
