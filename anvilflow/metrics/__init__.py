"""Counters, durations and waiting times of a process, and its metrics page."""

from ._meters import COUNTS, GAUGES, TIMES, Meters
from ._metrics import Metrics, summarize

__all__ = ["COUNTS", "GAUGES", "TIMES", "Meters", "Metrics", "summarize"]
