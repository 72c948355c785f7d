"""Anvilflow: a scheduler for service, batch and gang workloads on one shared cluster."""

__version__ = "0.1.0"

__all__ = ["__version__"]
