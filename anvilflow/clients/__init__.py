"""Clients of the services in the project's own contract: table, objects, membership, workers."""

from ._http import NOT_SENT, HttpClient, InvalidRequestError, make_request
from ._http_connection import ResponseLostError
from ._membership import MemberInfo, MembershipClient, MembershipList
from ._objects import ObjectClient
from ._peer import Peer
from ._resource_store import MAX_LOG_CHANGES, ResourceStore, WriteResult
from ._table import Condition, Row, TableClient, Write
from ._worker import ClaimReport, FinishedTask, SyncReport, WorkerClient

__all__ = [
    "MAX_LOG_CHANGES",
    "NOT_SENT",
    "ClaimReport",
    "Condition",
    "FinishedTask",
    "HttpClient",
    "InvalidRequestError",
    "MemberInfo",
    "MembershipClient",
    "MembershipList",
    "ObjectClient",
    "Peer",
    "ResourceStore",
    "ResponseLostError",
    "Row",
    "SyncReport",
    "TableClient",
    "WorkerClient",
    "Write",
    "WriteResult",
    "make_request",
]
