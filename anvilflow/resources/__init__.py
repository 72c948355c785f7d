"""Resources that operators declare (workloads, policies, customers), and jobs."""

from ._amounts import RESOURCE_NAMES, Amounts
from ._catalog import Catalog, Change, check_references
from ._declarations import (
    DECLARED_KINDS,
    BatchPolicy,
    Customer,
    GangPolicy,
    Job,
    JobPhase,
    Policy,
    ServicePolicy,
    WorkKind,
    Workload,
    check_resource,
    parse_resource,
    resource_key,
)

__all__ = [
    "DECLARED_KINDS",
    "RESOURCE_NAMES",
    "Amounts",
    "BatchPolicy",
    "Catalog",
    "Change",
    "Customer",
    "GangPolicy",
    "Job",
    "JobPhase",
    "Policy",
    "ServicePolicy",
    "WorkKind",
    "Workload",
    "check_references",
    "check_resource",
    "parse_resource",
    "resource_key",
]
