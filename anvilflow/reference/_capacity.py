"""The capacity page: figures of one sweep over cell sizes, extrapolated to the users' target.

The sweep runs one scenario at three sizes of a cell; ``docs/sweep.json`` holds its results. A
figure is assumed to grow with a power of the number of instances. The exponent is the slope of the
line fitted to the logarithms.
"""

import statistics
from math import log
from pathlib import Path

import json5
import msgspec
from msgspec import Struct

#: Number of instances to which the figures are extrapolated: the target of the users' sites.
TARGET_INSTANCES = 951

#: Bounds of the exponent in an extrapolation: three points are too few to conclude that a figure
#: grows faster than the square, and no figure is assumed to shrink.
MIN_EXPONENT = 0.0
MAX_EXPONENT = 2.0


class Figure(Struct, kw_only=True, forbid_unknown_fields=True):
    """One figure of a sweep, with a value for each size.

    `middle` is the middle value over all instances, `busiest` that of the highest instance.
    """

    name: str
    unit: str
    middle: list[float]
    busiest: list[float]


class Sweep(Struct, kw_only=True, forbid_unknown_fields=True):
    """Results of one sweep, with a value for each size."""

    commit: str
    date: str
    instances: list[int]
    workers: list[int]
    worth: list[float]
    broken: list[str]
    figures: list[Figure]


def read_sweep(path):
    """Read a :class:`Sweep` from a file."""
    return msgspec.convert(json5.loads(Path(path).read_text(encoding="utf-8")), Sweep)


def growth_exponent(instances, values):
    """Return the exponent `k` of a figure that grows with the number of instances to the power `k`.

    Examples
    --------
    >>> growth_exponent([10, 100], [3.0, 30.0])
    1.0
    """
    line = statistics.linear_regression([log(n) for n in instances], [log(v) for v in values])
    return round(line.slope, 2)


def extrapolate_to_target(instances, values):
    """Return a figure extrapolated from the largest size to `TARGET_INSTANCES`."""
    exponent = min(MAX_EXPONENT, max(MIN_EXPONENT, growth_exponent(instances, values)))
    return values[-1] * (TARGET_INSTANCES / instances[-1]) ** exponent


def render_capacity(sweep, template):
    """Return the text of the capacity page.

    Parameters
    ----------
    sweep : str or Path
        File with the results of a sweep, JSON with comments.
    template : str or Path
        File with the text of the page and format fields for the computed values.
    """
    data = read_sweep(sweep)
    return (
        Path(template)
        .read_text(encoding="utf-8")
        .format(
            commit=data.commit,
            date=data.date,
            target=TARGET_INSTANCES,
            days="\n".join(_scenario_rows(data)),
            figures="\n".join(_figure_rows(data)),
        )
    )


def _scenario_rows(data):
    yield "| instances | workers | worth | rules broken |"
    yield "|---|---|---|---|"
    rows = zip(data.instances, data.workers, data.worth, data.broken, strict=True)
    for n_instances, n_workers, worth, broken in rows:
        yield f"| {n_instances} | {n_workers} | {worth} | {broken} |"


def _figure_rows(data):
    sizes = " | ".join(f"{n}" for n in data.instances)
    yield f"| figure | unit | {sizes} | power | at {TARGET_INSTANCES} |"
    yield f"|---|---|{'---|' * len(data.instances)}---|---|"
    for figure in data.figures:
        pairs = zip(figure.middle, figure.busiest, strict=True)
        cells = " | ".join(f"{middle:g} / {busiest:g}" for middle, busiest in pairs)
        exponent = growth_exponent(data.instances, figure.busiest)
        estimate = extrapolate_to_target(data.instances, figure.busiest)
        yield f"| {figure.name} | {figure.unit} | {cells} | {exponent} | {estimate:,.0f} |"
