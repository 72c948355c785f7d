"""A whole cell in one process, with load, faults and checks of the invariants."""

from ._demo import run_demo
from ._deployments import DEPLOYMENTS, Deployment

__all__ = ["DEPLOYMENTS", "Deployment", "run_demo"]
