"""Structured logs: one JSON object a line on standard output, bounded and never blocking."""

from ._json_lines import JsonLinesHandler, install_json_logs

__all__ = ["JsonLinesHandler", "install_json_logs"]
