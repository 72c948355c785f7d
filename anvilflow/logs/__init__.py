"""Structured logs: one JSON object a line on standard output, bounded and never blocking."""

from ._explain import Line, explain_job, lines_of_job, read_log
from ._json_lines import JsonLinesHandler, install_json_logs

__all__ = [
    "JsonLinesHandler",
    "Line",
    "explain_job",
    "install_json_logs",
    "lines_of_job",
    "read_log",
]
