"""Anvilflow: a scheduler for unlike workloads on one shared cluster."""

__version__ = "0.1.0"

__all__ = ["__version__"]
