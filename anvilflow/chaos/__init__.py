"""Seeded runs of a whole cell under mixed faults, with the invariants checked on each history."""

from ._faults import FAULT_KINDS, FaultPlan
from ._run import ChaosReport, run_seed

__all__ = ["FAULT_KINDS", "ChaosReport", "FaultPlan", "run_seed"]
