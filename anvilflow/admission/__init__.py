"""Admission of jobs by the capacity that will be free for them."""

from ._account_rates import AccountRates
from ._backlog_tracker import BacklogTracker
from ._decision import Admit, JobRequest, Outlook, Refuse, decide_admission
from ._forecast import BacklogReport, QueueWait, forecast_backlog
from ._gate import MAX_REPORT_AGE_S, AdmissionGate
from ._load import LoadMeter, PriorityLoad, ServiceLoad, processor_time
from ._run_times import RunTimes

__all__ = [
    "MAX_REPORT_AGE_S",
    "AccountRates",
    "AdmissionGate",
    "Admit",
    "BacklogReport",
    "BacklogTracker",
    "JobRequest",
    "LoadMeter",
    "Outlook",
    "PriorityLoad",
    "QueueWait",
    "Refuse",
    "RunTimes",
    "ServiceLoad",
    "decide_admission",
    "forecast_backlog",
    "processor_time",
]
