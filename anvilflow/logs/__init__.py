"""Structured logs as JSON lines, rate-limited and non-blocking, and explanations of single jobs."""

from ._explain import Line, explain_job, read_log, select_job_lines
from ._json_lines import JsonLinesHandler, install_json_logs

__all__ = [
    "JsonLinesHandler",
    "Line",
    "explain_job",
    "install_json_logs",
    "read_log",
    "select_job_lines",
]
