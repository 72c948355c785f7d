"""Waiting times and counts of a process."""

from ._metrics import Metrics

__all__ = ["Metrics"]
