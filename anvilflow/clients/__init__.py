"""Clients of the project's own contract: table, membership list and workers."""

from ._http import NOT_SENT, HttpClient
from ._membership import MemberInfo, MembershipClient, MembershipList
from ._objects import ObjectClient
from ._resource_store import LOG_KEPT, ResourceStore, Written
from ._table import Condition, Row, TableClient, Write
from ._worker import ClaimReport, FinishedTask, SyncReport, WorkerClient

__all__ = [
    "LOG_KEPT",
    "NOT_SENT",
    "ClaimReport",
    "Condition",
    "FinishedTask",
    "HttpClient",
    "MemberInfo",
    "MembershipClient",
    "MembershipList",
    "ObjectClient",
    "ResourceStore",
    "Row",
    "SyncReport",
    "TableClient",
    "WorkerClient",
    "Write",
    "Written",
]
