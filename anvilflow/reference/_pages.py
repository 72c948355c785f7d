"""The reference pages on settings, declarations, error codes and metrics."""

import inspect

import msgspec

from .. import exceptions
from ..metrics import COUNTS, GAUGES, TIMES, Metrics
from ..resources import BatchPolicy, Customer, GangPolicy, ServicePolicy, Workload
from ..settings import Settings

_NOTE = "Written from the code by `make reference`; do not edit.\n"


def _settings_page():
    lines = ["# Settings", "", _NOTE]
    schema = msgspec.json.schema(Settings)
    definitions = schema["$defs"]
    for section, reference in definitions["Settings"]["properties"].items():
        name = (reference.get("$ref") or reference["allOf"][0]["$ref"]).rsplit("/", 1)[1]
        definition = definitions[name]
        lines += [f"## {section}", "", definition.get("description", ""), ""]
        lines += ["| key | meaning | default | allowed |", "|---|---|---|---|"]
        for key, value in definition["properties"].items():
            default = f"`{value['default']}`" if "default" in value else "required"
            lines.append(
                f"| `{key}` | {value.get('description', '')} | {default} | {_allowed(value)} |"
            )
        lines.append("")
    return "\n".join(lines)


def _allowed(value):
    if "enum" in value:
        return ", ".join(f"`{item}`" for item in value["enum"])
    low, high = value.get("minimum"), value.get("maximum")
    if low is None and high is None:
        return value.get("type", "")
    return f"{low if low is not None else ''} to {high if high is not None else ''}"


def _declarations_page():
    lines = ["# Declarations", "", _NOTE]
    for kind in (Customer, Workload, ServicePolicy, BatchPolicy, GangPolicy):
        lines += [f"## {kind.__name__}", "", "```", inspect.cleandoc(kind.__doc__), "```", ""]
    return "\n".join(lines)


def _errors_page():
    lines = ["# Error codes", "", _NOTE]
    lines += ["| code | meaning | HTTP | exit status |", "|---|---|---|---|"]
    kinds = [getattr(exceptions, name) for name in exceptions.__all__]
    for kind in sorted(kinds, key=lambda kind: kind.code):
        meaning = inspect.cleandoc(kind.__doc__).splitlines()[0]
        lines.append(f"| {kind.code} | {meaning} | {kind.http_status} | {kind.exit_status} |")
    return "\n".join([*lines, ""])


def _metrics_page():
    lines = ["# Metrics", "", _NOTE, "| metric | labels | meaning |", "|---|---|---|"]
    metrics = Metrics()
    metrics.waited("customer", "kind", 0.1)
    for family in metrics.registry.collect():
        labels = {label for sample in family.samples for label in sample.labels}
        names = ", ".join(sorted(labels)) or _LABELS.get(family.name, "")
        lines.append(f"| `{family.name}` | {names} | {family.documentation} |")
    lines += ["", "On the users' platform:", "", "| metric | labels | meaning |", "|---|---|---|"]
    for name, (meaning, labels) in COUNTS.items():
        lines.append(f"| `anvilflow_{name}` | {', '.join(labels)} | {meaning} |")
    for name, meaning in GAUGES.items():
        lines.append(f"| `anvilflow_{name}` |  | {meaning} |")
    for name, meaning in TIMES.items():
        lines.append(f"| `anvilflow_{name}_seconds` | quantile | {meaning} |")
    return "\n".join([*lines, ""])


#: Labels of metrics that have no samples in a new registry.
_LABELS = {"anvilflow_requests": "outcome", "anvilflow_placements": "kind"}

PAGES = {
    "SETTINGS.md": _settings_page,
    "DECLARATIONS.md": _declarations_page,
    "ERRORS.md": _errors_page,
    "METRICS.md": _metrics_page,
}


def render_pages():
    """Return the text of each page by file name."""
    return {name: render() for name, render in PAGES.items()}
