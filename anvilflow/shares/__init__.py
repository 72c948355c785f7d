"""Order of the jobs of one priority when not all of them can be in time."""

from ._estimates import remaining_chain_s, remaining_work, whole_work
from ._ledger import DEFAULT_WEIGHT, RateLedger, UnusableWeight, usable_weight
from ._order import ShareCounts, ShareOrder

__all__ = [
    "DEFAULT_WEIGHT",
    "RateLedger",
    "ShareCounts",
    "ShareOrder",
    "UnusableWeight",
    "remaining_chain_s",
    "remaining_work",
    "usable_weight",
    "whole_work",
]
