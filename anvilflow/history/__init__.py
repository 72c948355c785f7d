"""Recorded events of a run, and the invariants checked on them."""

from ._checker import Verdict, check_history
from ._recorder import (
    Answered,
    ConfigAccepted,
    ConfigInForce,
    History,
    RunBegan,
    RunEnded,
    Sent,
    TargetLeaving,
    WorkerKnown,
)

__all__ = [
    "Answered",
    "ConfigAccepted",
    "ConfigInForce",
    "History",
    "RunBegan",
    "RunEnded",
    "Sent",
    "TargetLeaving",
    "Verdict",
    "WorkerKnown",
    "check_history",
]
