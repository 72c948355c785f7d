"""Jobs, workers and scheduling decisions of a cell, free of input and output."""

from ._accounts import ApiKeys, ClientAccount, demand_of, may_access
from ._actions import (
    NoteCrashingTask,
    NoteLostWorker,
    NoteRefusedNumber,
    NoteUnusableWeight,
    NoteWait,
    RequestAdvice,
    SetPace,
    StartRun,
    StopRun,
)
from ._advice_queue import LONG_REQUEST_S
from ._crash_history import CrashHistory, LossOutcome, LostRun
from ._dropped_runs import NoteDroppedRun, RunProof
from ._grace_period import COMMAND_S, GracePeriod
from ._handover import HandoverWorker, make_handover
from ._job import ENDED_STATES, JobRun, JobState, TaskState, longest_chain_s
from ._policy import SchedulingPolicy
from ._record import EndedJob, JobRecord
from ._scheduler import Scheduler
from ._spec import AdviceRules, Amount, CellConfig, JobSpec, Limits, Queue, StepSpec
from ._unanswered_starts import UnansweredStarts
from ._worker import Worker
from ._worker_id import make_worker_id
from ._worker_info import MAX_ENDS_PER_REPORT, RunEnd, RunReport, WorkerInfo, WorkerReport
from ._worker_speeds import services_with_speeds

__all__ = [
    "COMMAND_S",
    "ENDED_STATES",
    "LONG_REQUEST_S",
    "MAX_ENDS_PER_REPORT",
    "AdviceRules",
    "Amount",
    "ApiKeys",
    "CellConfig",
    "ClientAccount",
    "CrashHistory",
    "EndedJob",
    "GracePeriod",
    "HandoverWorker",
    "JobRecord",
    "JobRun",
    "JobSpec",
    "JobState",
    "Limits",
    "LossOutcome",
    "LostRun",
    "NoteCrashingTask",
    "NoteDroppedRun",
    "NoteLostWorker",
    "NoteRefusedNumber",
    "NoteUnusableWeight",
    "NoteWait",
    "Queue",
    "RequestAdvice",
    "RunEnd",
    "RunProof",
    "RunReport",
    "Scheduler",
    "SchedulingPolicy",
    "SetPace",
    "StartRun",
    "StepSpec",
    "StopRun",
    "TaskState",
    "UnansweredStarts",
    "Worker",
    "WorkerInfo",
    "WorkerReport",
    "demand_of",
    "longest_chain_s",
    "make_handover",
    "make_worker_id",
    "may_access",
    "services_with_speeds",
]
