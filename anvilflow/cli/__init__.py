"""The ``anvilflow`` command line."""

from ._declared import find_declarations, plan_changes
from ._program import Program, main

__all__ = ["Program", "find_declarations", "main", "plan_changes"]
