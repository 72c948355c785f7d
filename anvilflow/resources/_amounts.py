"""Amounts of resources that a worker offers or a task takes."""

from typing import Annotated

from msgspec import Meta, Struct

_Count = Annotated[int, Meta(ge=0, le=10**9)]

#: Order in which amounts are compared and reported.
RESOURCE_NAMES = ("cpu_milli", "memory_mb", "accelerators", "slots")


class Amounts(
    Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    repr_omit_defaults=True,
    gc=False,
):
    """Amounts of each resource.

    Parameters
    ----------
    cpu_milli : int, default=0
        Thousandths of a processor.
    memory_mb : int, default=0
        Memory in MiB.
    accelerators : int, default=0
        Whole accelerators.
    slots : int, default=1
        Places for requests and tasks; each of them takes one unless declared otherwise.

    Examples
    --------
    >>> need = Amounts(cpu_milli=500, memory_mb=256)
    >>> need.fits(Amounts(cpu_milli=1000, memory_mb=1024, slots=8))
    True
    """

    cpu_milli: _Count = 0
    memory_mb: _Count = 0
    accelerators: _Count = 0
    slots: _Count = 1

    def fits(self, room):
        """Whether these amounts fit into `room`, the free amounts."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
        )

    def lacking(self, room):
        """Return the names of the resources of which `room`, the free amounts, has too little."""
        return [name for name in RESOURCE_NAMES if getattr(self, name) > getattr(room, name)]

    def plus(self, other):
        """Return the sum of both amounts."""
        return Amounts(
            cpu_milli=self.cpu_milli + other.cpu_milli,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
            slots=self.slots + other.slots,
        )

    def times(self, factor):
        """Return each amount multiplied by `factor`, rounded down."""
        return Amounts(
            cpu_milli=int(self.cpu_milli * factor),
            memory_mb=int(self.memory_mb * factor),
            accelerators=int(self.accelerators * factor),
            slots=int(self.slots * factor),
        )

    def dominant_share(self, capacity):
        """Return the largest share of `capacity` that these amounts take.

        Notes
        -----
        This is the measure of dominant resource fairness (Ghodsi et al., NSDI 2011): customers that
        need different resources are compared by the resource of which each needs the largest share.
        """
        share = 0.0
        if capacity.cpu_milli:
            share = self.cpu_milli / capacity.cpu_milli
        if capacity.memory_mb:
            share = max(share, self.memory_mb / capacity.memory_mb)
        if capacity.accelerators:
            share = max(share, self.accelerators / capacity.accelerators)
        if capacity.slots:
            share = max(share, self.slots / capacity.slots)
        return share
