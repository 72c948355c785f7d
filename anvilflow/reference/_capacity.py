"""The page of capacity at the users' target, worked out from one sweep over sizes of a cell.

The sweep plays one day at three sizes; ``docs/sweep.json`` keeps what it showed. A figure is taken
to grow with a power of the number of instances, the slope of a line through the logarithms.
"""

import statistics
from math import log
from pathlib import Path

import json5
import msgspec
from msgspec import Struct

#: Instances for which the page says where the figures lead: those of the sites' own target.
TARGET_INSTANCES = 951

#: Powers between which a figure is carried on: more than the square is not to be believed of three
#: points, and no figure is taken to shrink.
MIN_POWER = 0.0
MAX_POWER = 2.0


class Figure(Struct, kw_only=True, forbid_unknown_fields=True):
    """One figure of a sweep, by size; `middle` is of all instances, `busiest` of the highest."""

    name: str
    unit: str
    middle: list[float]
    busiest: list[float]


class Sweep(Struct, kw_only=True, forbid_unknown_fields=True):
    """What one sweep showed, by size."""

    commit: str
    date: str
    instances: list[int]
    workers: list[int]
    worth: list[float]
    broken: list[str]
    figures: list[Figure]


def read_sweep(path):
    """Return the :class:`Sweep` of a file."""
    return msgspec.convert(json5.loads(Path(path).read_text(encoding="utf-8")), Sweep)


def power(instances, values):
    """Return the power of the number of instances with which a figure grows.

    Examples
    --------
    >>> power([10, 100], [3.0, 30.0])
    1.0
    """
    line = statistics.linear_regression([log(n) for n in instances], [log(v) for v in values])
    return round(line.slope, 2)


def at_target(instances, values):
    """Return where a figure leads at the target, carried on from the largest size."""
    grown = min(MAX_POWER, max(MIN_POWER, power(instances, values)))
    return values[-1] * (TARGET_INSTANCES / instances[-1]) ** grown


def render_capacity(sweep, template):
    """Return the text of the page.

    Parameters
    ----------
    sweep : str or Path
        What a sweep showed, JSON with comments.
    template : str or Path
        The page with places for what is worked out.
    """
    shown = read_sweep(sweep)
    return (
        Path(template)
        .read_text(encoding="utf-8")
        .format(
            commit=shown.commit,
            date=shown.date,
            target=TARGET_INSTANCES,
            days="\n".join(_days(shown)),
            figures="\n".join(_figures(shown)),
        )
    )


def _days(shown):
    yield "| instances | workers | worth | rules broken |"
    yield "|---|---|---|---|"
    rows = zip(shown.instances, shown.workers, shown.worth, shown.broken, strict=True)
    for n_instances, n_workers, worth, broken in rows:
        yield f"| {n_instances} | {n_workers} | {worth} | {broken} |"


def _figures(shown):
    sizes = " | ".join(f"{n}" for n in shown.instances)
    yield f"| figure | unit | {sizes} | power | at {TARGET_INSTANCES} |"
    yield f"|---|---|{'---|' * len(shown.instances)}---|---|"
    for figure in shown.figures:
        pairs = zip(figure.middle, figure.busiest, strict=True)
        cells = " | ".join(f"{middle:g} / {busiest:g}" for middle, busiest in pairs)
        grows = power(shown.instances, figure.busiest)
        leads = at_target(shown.instances, figure.busiest)
        yield f"| {figure.name} | {figure.unit} | {cells} | {grows} | {leads:,.0f} |"
