"""Waiting times and counts of a process."""

from ._metrics import Metrics, summarize

__all__ = ["Metrics", "summarize"]
