"""Durable progress of a job, from which another instance can continue it."""

from msgspec import Struct

from ._crash_history import LostRun


class JobRecord(Struct, kw_only=True, omit_defaults=True):
    """Progress of a job that has not ended.

    Parameters
    ----------
    begun : bool
        Whether any task of the job has ever been reported as running.
    done_steps : list of str
        ``OCCURRENCE.STEP`` of each step that is done.
    done_tasks : dict of str to list of int
        Done tasks of each step that is partly done.
    failures : dict of str to list of int
        By ``OCCURRENCE.STEP.INDEX``: the runs that failed, each of which counts as one attempt. The
        run number identifies a failure that is reported again after a take-over, or after that of
        a newer run, so that each failure counts exactly once.
    checkpoints : dict of str to str
        By task as above: the checkpoint from which the next run resumes.
    lost_runs : dict of str to list of LostRun
        By task as above: the runs whose workers were lost, and the latest recorded start.
    max_run_id, max_run_id_term : int
        Highest run number that the leader of this term may use, see :class:`RunNumbers`; 0: it has
        not reserved any.
    """

    begun: bool = False
    done_steps: list[str] = []
    done_tasks: dict[str, list[int]] = {}
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    lost_runs: dict[str, list[LostRun]] = {}
    max_run_id: int = 0
    max_run_id_term: int = 0


class EndedJob(Struct, kw_only=True, omit_defaults=True):
    """Row of a job that has ended: its final state, its account and the time of its end.

    `held` is what its runs that had not ended at that time occupied, as in :func:`demand_of`. Unit
    of the time: seconds.
    """

    state: str
    ended_at: float = 0.0
    account: str = ""
    held: tuple[int, int, int] = (0, 0, 0)
