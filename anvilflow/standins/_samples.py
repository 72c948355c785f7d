"""Sample declarations for tests, benchmarks and the demo."""

from ..resources import (
    Amounts,
    BatchPolicy,
    Customer,
    GangPolicy,
    Policy,
    ServicePolicy,
    WorkKind,
    Workload,
)


def make_declarations(customers=("small", "large"), *, reserve=0.25, quota=None):
    """Return three policies, the customers and one workload of each kind.

    Parameters
    ----------
    customers : iterable of str, default=("small", "large")
    reserve : float, default=0.25
        Share of each worker kept free for service requests.
    quota : Amounts, default=None
        Quota of each customer.

    Examples
    --------
    >>> [item.name for item in make_declarations() if isinstance(item, Workload)]
    ['lookup', 'refresh', 'assembly']
    """
    return [
        Policy(name="interactive", rules=ServicePolicy(reserve=reserve)),
        Policy(name="background", rules=BatchPolicy()),
        Policy(name="together", rules=GangPolicy()),
        *(Customer(name=name, quota=quota) for name in customers),
        Workload(
            name="lookup",
            work=WorkKind.SERVICE,
            policy="interactive",
            needs=Amounts(cpu_milli=500, memory_mb=256),
            run_time_s=0.02,
        ),
        Workload(
            name="refresh",
            work=WorkKind.BATCH,
            policy="background",
            needs=Amounts(cpu_milli=1000, memory_mb=1024),
            run_time_s=1.0,
        ),
        Workload(
            name="assembly",
            work=WorkKind.GANG,
            policy="together",
            needs=Amounts(cpu_milli=2000, memory_mb=2048),
            run_time_s=1.0,
        ),
    ]
