"""Jobs of a cell: what clients submit and what is decided next, without input or output."""

from ._actions import AskAdvice, NoteWait, SetPace, StartRun, StopRun
from ._apart import ApartWorker, held_apart
from ._job import ENDED_STATES, JobRun, JobState, TaskState, longest_chain_s
from ._record import EndedJob, JobRecord
from ._scheduler import Scheduler
from ._settling import ORDER_S, Settling
from ._spec import AdviceRules, CellConfig, JobSpec, Limits, Queue, StepSpec
from ._worker import RunEnd, RunReport, Worker, WorkerInfo, WorkerReport

__all__ = [
    "ENDED_STATES",
    "ORDER_S",
    "AdviceRules",
    "ApartWorker",
    "AskAdvice",
    "CellConfig",
    "EndedJob",
    "JobRecord",
    "JobRun",
    "JobSpec",
    "JobState",
    "Limits",
    "NoteWait",
    "Queue",
    "RunEnd",
    "RunReport",
    "Scheduler",
    "SetPace",
    "Settling",
    "StartRun",
    "StepSpec",
    "StopRun",
    "TaskState",
    "Worker",
    "WorkerInfo",
    "WorkerReport",
    "held_apart",
    "longest_chain_s",
]
