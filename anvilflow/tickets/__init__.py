"""Use of the advice service when more steps wait for advice than it can answer."""

from ._budget import CallerBudget
from ._callers import CallerTable
from ._naming import Candidate, RequestTiming, choose_names
from ._planner import TicketPlanner

__all__ = [
    "CallerBudget",
    "CallerTable",
    "Candidate",
    "RequestTiming",
    "TicketPlanner",
    "choose_names",
]
