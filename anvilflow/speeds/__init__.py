"""Learnt speeds of workers, and what they say about where tasks should run.

A worker's *factor* is the duration of a task there relative to the mean over all workers of its
service: below 1 on fast workers, above 1 on slow ones.
"""

from ._choice import is_worth_waiting, speed_class
from ._speeds import KindSpeed, SpeedTracker, WorkerSpeed

__all__ = ["KindSpeed", "SpeedTracker", "WorkerSpeed", "is_worth_waiting", "speed_class"]
