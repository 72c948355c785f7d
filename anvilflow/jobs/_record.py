"""Durable progress of a job, from which another instance can continue it."""

import re
from typing import Annotated

from msgspec import Meta, Struct

from ._crash_history import LostRun

_TASK_KEY = re.compile(r"(0|[1-9][0-9]{0,9})(\.(0|[1-9][0-9]{0,9})){2}")

#: Type of run numbers that are decoded; messages between instances have fields of 64 bits.
_RunNumber = Annotated[int, Meta(ge=0, le=2**53 - 1)]


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
    failures: dict[str, list[_RunNumber]] = {}
    checkpoints: dict[str, str] = {}
    lost_runs: dict[str, list[LostRun]] = {}
    max_run_id: _RunNumber = 0
    max_run_id_term: _RunNumber = 0

    def fits(self, spec):
        """Whether the record names only steps and tasks that a job of this :class:`JobSpec` has."""
        tasks = [f"{key}.{index}" for key, done in self.done_tasks.items() for index in done]
        tasks += [*self.failures, *self.checkpoints, *self.lost_runs]
        steps = [f"{key}.0" for key in (*self.done_steps, *self.done_tasks)]
        return all(_has_task(spec, name) for name in (*steps, *tasks))


def _has_task(spec, name):
    """Whether a job has the task called ``OCCURRENCE.STEP.INDEX``."""
    if _TASK_KEY.fullmatch(name) is None:
        return False
    occurrence, number, index = map(int, name.split("."))
    return (
        occurrence < max(1, spec.n_occurrences)
        and number < len(spec.steps)
        and index < spec.steps[number].n_tasks
    )


class EndedJob(Struct, kw_only=True, omit_defaults=True):
    """Row of a job that has ended: its final state, its account and the time of its end.

    `held` is what its runs that had not ended at that time occupied, as in :func:`demand_of`. Unit
    of the time: seconds.
    """

    state: str
    ended_at: float = 0.0
    account: str = ""
    held: tuple[int, int, int] = (0, 0, 0)
