"""Capacity that is reserved for urgent tasks, in whole places on a few workers, and packing.

Demands are learnt from the steps that become ready and the runs that end. All state is local to the
leader: a new one reserves a share of each worker until it has learnt them.
"""

from ._demand import UrgentDemand
from ._packing import DemandSample, fragment_growth
from ._rates import DecayedRate
from ._reserve import PlaceReserve
from ._selection import select_workers
from ._shape import Shape

__all__ = [
    "DecayedRate",
    "DemandSample",
    "PlaceReserve",
    "Shape",
    "UrgentDemand",
    "fragment_growth",
    "select_workers",
]
