"""Waiting times and counts of a process."""

from ._meters import COUNTS, TIMES, Meters
from ._metrics import Metrics, summarize

__all__ = ["COUNTS", "TIMES", "Meters", "Metrics", "summarize"]
