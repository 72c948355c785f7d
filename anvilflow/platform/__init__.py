"""Adapter to the users' platform; the names on its wire are used only in this package."""

from ._advice import Advice, AdviceClient
from ._config import decode_config
from ._front import JobsResource, ReadyResource
from ._jobs import JOB_ID, decode_job
from ._registry import can_be_worker_id, decode_worker
from ._store import Row, RowCondition, RowWrite, StoreClient
from ._tables import CONFIG_KEY, OPERATOR_TABLE, REGISTRY_TABLE
from ._workers import WorkerCalls

__all__ = [
    "CONFIG_KEY",
    "JOB_ID",
    "OPERATOR_TABLE",
    "REGISTRY_TABLE",
    "Advice",
    "AdviceClient",
    "JobsResource",
    "ReadyResource",
    "Row",
    "RowCondition",
    "RowWrite",
    "StoreClient",
    "WorkerCalls",
    "can_be_worker_id",
    "decode_config",
    "decode_job",
    "decode_worker",
]
