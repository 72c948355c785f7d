"""Amounts of the resources that tasks ask for and workers offer."""

from msgspec import Struct


class Shape(Struct, frozen=True):
    """Processor, memory and accelerators of a task, a place or a worker.

    Parameters
    ----------
    cpu_milli, memory_mb, accelerators : int
        Units: thousandths of a core, megabytes, devices.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of_step(cls, spec):
        """Return what one task of a step occupies; demands below zero count as zero.

        Background tasks use only the processor time that others leave.
        """
        return cls(
            0 if spec.fills else max(0, spec.cpu_milli),
            max(0, spec.memory_mb),
            max(0, spec.accelerators),
        )

    @classmethod
    def of_worker(cls, info):
        """Return the total capacity of a worker."""
        return cls(info.cpu_milli, info.memory_mb, info.accelerators)

    @classmethod
    def free_on(cls, worker):
        """Return the free capacity of a worker; an amount is negative while runs exceed it."""
        return cls(worker.cpu_free, worker.memory_free, worker.gpu_free)

    @property
    def is_empty(self):
        """Whether no resource is asked for."""
        return not (self.cpu_milli or self.memory_mb or self.accelerators)

    def times(self, n):
        """Return `n` times this shape."""
        return Shape(n * self.cpu_milli, n * self.memory_mb, n * self.accelerators)

    def plus(self, other):
        """Return the sum of two shapes."""
        return Shape(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other):
        """Return what is left without another shape; an amount may become negative."""
        return self.plus(other.times(-1))

    def holds(self, other):
        """Whether another shape fits into this one."""
        return (
            self.cpu_milli >= other.cpu_milli
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def n_times(self, other):
        """Return how many times another shape fits into this one; 0 for an empty one.

        Examples
        --------
        >>> Shape(64_000, 20_000).n_times(Shape(9_000, 8_000))
        2
        """
        pairs = (
            (self.cpu_milli, other.cpu_milli),
            (self.memory_mb, other.memory_mb),
            (self.accelerators, other.accelerators),
        )
        return max(0, min((free // each for free, each in pairs if each > 0), default=0))
