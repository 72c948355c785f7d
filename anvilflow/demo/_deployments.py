"""The cells of two users, with customers and workloads."""

from msgspec import Struct

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


class Deployment(Struct, kw_only=True):
    """A cell, its customers and their workloads.

    Parameters
    ----------
    domains : list of str
    capacity : Amounts
        Capacity of each worker.
    workers_per_rack : int
    small, large, background : str
        Names of the customers with short requests, with gang jobs, and with continuous batch jobs.
    lookup, order, assembly, refresh : Workload
    """

    domains: list[str]
    capacity: Amounts
    workers_per_rack: int
    small: str
    large: str
    background: str
    lookup: Workload
    order: Workload
    assembly: Workload
    refresh: Workload
    n_instances: int = 9
    n_workers: int = 24

    def declarations(self):
        """Return the resources declared in the cell."""
        return [
            Policy(name="interactive", rules=ServicePolicy()),
            Policy(name="background", rules=BatchPolicy()),
            Policy(name="together", rules=GangPolicy()),
            Customer(name=self.small, priority=200),
            Customer(name=self.large),
            Customer(name=self.background, priority=50),
            self.lookup,
            self.order,
            self.assembly,
            self.refresh,
        ]


def _make_workloads(names, cpu_milli, memory_mb):
    """Return the four workloads by field of :class:`Deployment`.

    A gang task needs four times, a batch task two times the resources of a request.
    """
    lookup, order, assembly, refresh = names

    def needs(factor):
        return Amounts(cpu_milli=cpu_milli * factor, memory_mb=memory_mb * factor)

    return {
        "lookup": Workload(
            name=lookup,
            work=WorkKind.SERVICE,
            policy="interactive",
            needs=needs(1),
            run_time_s=0.02,
        ),
        "order": Workload(
            name=order,
            work=WorkKind.SERVICE,
            policy="interactive",
            needs=needs(1),
            run_time_s=0.05,
            idempotent=False,
        ),
        "assembly": Workload(
            name=assembly, work=WorkKind.GANG, policy="together", needs=needs(4), run_time_s=1.0
        ),
        "refresh": Workload(
            name=refresh, work=WorkKind.BATCH, policy="background", needs=needs(2), run_time_s=0.8
        ),
    }


DEPLOYMENTS = {
    "lonestar": Deployment(
        domains=["austin", "san-antonio", "waco"],
        capacity=Amounts(cpu_milli=16_000, memory_mb=32_768, slots=8),
        workers_per_rack=8,
        small="showrooms",
        large="grand-tile",
        background="catalogue",
        **_make_workloads(
            ("swatch-lookup", "sample-order", "board-assembly", "catalogue-refresh"), 500, 512
        ),
    ),
    "quito": Deployment(
        domains=["quito-norte", "quito-sur", "quito-centro", "quito-valles"],
        capacity=Amounts(cpu_milli=32_000, memory_mb=65_536, slots=8),
        workers_per_rack=6,
        small="describers",
        large="broadcasters",
        background="museum-guides",
        **_make_workloads(("line-check", "recorded-take", "scene-pass", "voicing"), 1000, 1024),
    ),
}
