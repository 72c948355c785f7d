"""Counters, durations and waiting times of a process, and its metrics page."""

from ._meters import COUNTS, TIMES, Meters
from ._metrics import Metrics, summarize

__all__ = ["COUNTS", "TIMES", "Meters", "Metrics", "summarize"]
