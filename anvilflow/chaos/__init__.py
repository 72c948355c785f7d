"""Seeded runs of a whole cell under mixed faults, each judged by its history."""

from ._faults import FAULT_KINDS, FaultPlan
from ._run import ChaosReport, run_seed

__all__ = ["FAULT_KINDS", "ChaosReport", "FaultPlan", "run_seed"]
