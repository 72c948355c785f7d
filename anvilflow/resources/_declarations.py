"""Kinds of resources, their schemas and checks."""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..exceptions import DeclarationError
from ..utils import check_name
from ._amounts import Amounts


class WorkKind(StrEnum):
    """Kinds of work, each with its own kind of policy."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class JobPhase(StrEnum):
    """Phase of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class _Declared(
    Struct, kw_only=True, forbid_unknown_fields=True, repr_omit_defaults=True, tag_field="kind"
):
    """Base class of resources; the key ``kind`` names the class of each."""


class ServicePolicy(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True, tag="service"):
    """How service requests are queued and admitted.

    Parameters
    ----------
    queue_limit : int, default=256
        Largest number of requests of one customer that wait at one instance. Further requests are
        answered with "not run" at once.
    customer_share : float, default=0.75
        Of the slots of one instance that tasks do not take, the largest share that requests of one
        customer take, so that a slot is free when a request of another customer arrives.
    reserve : float, default=0.25
        Share of each worker that batch and gang tasks leave free for service requests. The
        largest reserve of all service policies applies.
    """

    queue_limit: Annotated[int, Meta(ge=1, le=100_000)] = 256
    customer_share: Annotated[float, Meta(gt=0, le=1)] = 0.75
    reserve: Annotated[float, Meta(ge=0, lt=1)] = 0.25


class BatchPolicy(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True, tag="batch"):
    """How the tasks of batch jobs are placed.

    Parameters
    ----------
    max_attempts : int, default=3
        Attempts of a task before its job fails.
    """

    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3


class GangPolicy(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True, tag="gang"):
    """How the tasks of gang jobs are placed: they run all at once or not at all.

    Parameters
    ----------
    hold_s : float, default=3.0
        Longest time for which places reserved for some tasks of a job wait until all of its tasks
        have one. Unit: seconds.
    max_attempts : int, default=3
        Attempts of a task before its job fails.
    """

    hold_s: Annotated[float, Meta(gt=0, le=600)] = 3.0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3


class Policy(_Declared, tag="Policy"):
    """A named policy for one kind of work.

    Parameters
    ----------
    name : str
    rules : ServicePolicy, BatchPolicy or GangPolicy
        The key ``type`` names the kind of policy.
    """

    name: str
    rules: ServicePolicy | BatchPolicy | GangPolicy


class Customer(_Declared, tag="Customer"):
    """A customer with its priority and quota.

    Parameters
    ----------
    name : str
    priority : int, default=100
        Weight in the fair queue; twice the weight gets twice the share under contention.
    quota : Amounts, default=None
        Largest amounts that the tasks of its jobs take at once in the whole cell. Without a quota
        there is no limit.
    """

    name: str
    priority: Annotated[int, Meta(ge=1, le=10_000)] = 100
    quota: Amounts | None = None


class Workload(_Declared, tag="Workload"):
    """A kind of request or task that targets can run.

    Parameters
    ----------
    name : str
    work : WorkKind
    policy : str
        Name of a :class:`Policy` of the same kind of work.
    needs : Amounts
        Resources that one request or task takes: an initial estimate, corrected by usage reports.
    run_time_s : float, default=1.0
        Expected run time. Unit: seconds.
    idempotent : bool, default=True
        Whether a request that may have run already can be sent again.
    """

    name: str
    work: WorkKind
    policy: str
    needs: Amounts
    run_time_s: Annotated[float, Meta(gt=0, le=10**7)] = 1.0
    idempotent: bool = True


class Job(_Declared, tag="Job"):
    """Tasks of one workload that a customer submitted together.

    Parameters
    ----------
    name : str
        Unique among the customer's jobs. Submitting the same job again changes nothing.
    customer : str
    workload : str
    tasks : list of str
        Payloads, one for each task.
    phase : JobPhase, default="waiting"
    n_done, n_failed : int, default=0
        Number of tasks that succeeded and that failed, updated when the phase changes.
    reason : str, default=""
        Why the job waits or failed.
    """

    name: str
    customer: str
    workload: str
    tasks: list[str]
    phase: JobPhase = JobPhase.WAITING
    n_done: int = 0
    n_failed: int = 0
    reason: str = ""


#: Kinds of resources that operators declare. Jobs are submitted by callers.
DECLARED_KINDS = {"Workload": Workload, "Policy": Policy, "Customer": Customer}

_ALL_KINDS = {**DECLARED_KINDS, "Job": Job}
_AnyResource = Workload | Policy | Customer | Job


def parse_resource(value):
    """Return the resource in `value`, a decoded JSON object, after checks.

    Raises
    ------
    DeclarationError
        AF102, with the path of the invalid key and the allowed values.

    Examples
    --------
    >>> parse_resource({"kind": "Customer", "name": "showrooms", "priority": 400})
    Customer(name='showrooms', priority=400)
    """
    try:
        resource = msgspec.convert(value, _AnyResource, strict=True)
    except msgspec.ValidationError as exc:
        raise DeclarationError(str(exc)) from exc
    return check_resource(resource)


def check_resource(resource):
    """Return the resource; raise AF102 if one of its names is malformed or a job has no tasks."""
    check_name(resource.name, "$.name")
    match resource:
        case Workload():
            check_name(resource.policy, "$.policy")
        case Job():
            check_name(resource.customer, "$.customer")
            check_name(resource.workload, "$.workload")
            if not resource.tasks:
                raise DeclarationError("$.tasks: the job has 0 tasks; allowed: at least 1")
    return resource


def resource_key(resource):
    """Return the key that identifies the resource: ``KIND/NAME`` or ``Job/CUSTOMER/NAME``."""
    match resource:
        case Job(customer=customer, name=name):
            return f"Job/{customer}/{name}"
        case _:
            return f"{type(resource).__name__}/{resource.name}"
