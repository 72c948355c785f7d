"""The page of capacity at the users' target, worked out from measured slopes.

Each slope is a least-squares line through the samples of one series in ``docs/slopes.jsonl``,
which ``make slopes`` measures on daemons that run as plain processes beside the stand-ins.
"""

import statistics
from pathlib import Path

from msgspec import Struct

from ..utils import decode_lenient

#: The users' target (letter 1).
N_WORKERS = 950
N_RUNNING = 14_000
STARTS_PER_S = 69
N_CUSTOMERS = 250
CHANGES_PER_DAY = 1800
BUDGET_CPU = 0.013
BUDGET_MB = 128
BUDGET_BYTES = 17_000
CONFIG_LIMIT_S = 17

#: Instances for which the page works the cost out.
_SIZES = (9, 24, 48, 96)

#: Tasks on each worker in the series of active workers.
_TASKS_PER_ACTIVE_WORKER = 50

_FIGURES = ("cpu", "memory_mb", "http_calls_s", "bytes_s")


class Slope(Struct, kw_only=True):
    """A line through measured points: `base` at 0 and `each` more per unit."""

    figure: str
    base: float
    each: float
    residual: float
    n_points: int
    low: float
    high: float

    def at(self, value):
        """Return the figure at `value`, never below 0."""
        return max(0.0, self.base + self.each * value)


def read_slopes(path):
    """Return the samples by series, from a file with one JSON object a line."""
    series = {}
    for line in Path(path).read_text(encoding="utf-8").splitlines():
        row = decode_lenient(line)
        row["bytes_s"] = row["http_bytes_s"] + row["peer_bytes_s"]
        series.setdefault(row["name"], []).append(row)
    return series


def fit(rows, figure):
    """Return the :class:`Slope` of a figure over a series."""
    values = [row["value"] for row in rows]
    figures = [row[figure] for row in rows]
    line = statistics.linear_regression(values, figures)
    residual = max(
        abs(line.intercept + line.slope * value - seen)
        for value, seen in zip(values, figures, strict=True)
    )
    return Slope(
        figure=figure,
        base=line.intercept,
        each=line.slope,
        residual=residual,
        n_points=len(rows),
        low=min(values),
        high=max(values),
    )


class _Costs:
    """Slopes of all series, and what follows at a number of instances."""

    def __init__(self, *, series):
        self.slopes = {
            name: {figure: fit(rows, figure) for figure in _FIGURES}
            for name, rows in series.items()
        }
        with_tasks = [row for row in series["running"] if row["value"] > 0]
        self.running = {figure: fit(with_tasks, figure) for figure in _FIGURES}

    def control(self, figure, n_instances):
        """Return what one daemon spends on control at the target."""
        workers = N_WORKERS / n_instances
        active = self.slopes["active"][figure]
        spare = _TASKS_PER_ACTIVE_WORKER - N_RUNNING / N_WORKERS
        each_worker = max(0.0, active.each - spare * max(0.0, self.running[figure].each))
        total = max(0.0, active.base) + workers * each_worker
        total += max(0.0, self.slopes["peers"][figure].each) * (n_instances - 1)
        return total + max(0.0, self.slopes["resources"][figure].each) * N_CUSTOMERS

    def starts(self, figure, n_instances):
        """Return what starting tasks adds."""
        return max(0.0, self.slopes["starts"][figure].each) * STARTS_PER_S / n_instances


def render_capacity(samples, template):
    """Return the text of the page.

    Parameters
    ----------
    samples : str or Path
        Measured samples, one JSON object a line.
    template : str or Path
        The page with places for what is worked out.
    """
    costs = _Costs(series=read_slopes(samples))
    return (
        Path(template)
        .read_text(encoding="utf-8")
        .format(
            slopes="\n".join(_slope_tables(costs)),
            sizes=_sizes_table(costs),
            records=2 * STARTS_PER_S,
            changes=f"{CHANGES_PER_DAY / 86_400:.3f}",
        )
    )


def _slope_tables(costs):
    yield "| series | figure | base | each | residual | points | range |"
    yield "|---|---|---|---|---|---|---|"
    for name, slopes in [*costs.slopes.items(), ("running, from 400", costs.running)]:
        for figure, slope in slopes.items():
            yield (
                f"| {name} | {figure} | {slope.base:.4g} | {slope.each:.3g} | "
                f"{slope.residual:.2g} | {slope.n_points} | {slope.low:g} to {slope.high:g} |"
            )


def _sizes_table(costs):
    lines = ["| instances | control: core | memory MB | bytes/s | starts: core | in budget |"]
    lines += ["|---|---|---|---|---|---|"]
    for size in _SIZES:
        cpu = costs.control("cpu", size)
        memory = costs.control("memory_mb", size) + costs.starts("memory_mb", size)
        traffic = costs.control("bytes_s", size)
        good = cpu <= BUDGET_CPU and memory <= BUDGET_MB and traffic <= BUDGET_BYTES
        lines.append(
            f"| {size} | {cpu:.2%} | {memory:.0f} | {traffic:,.0f} | "
            f"{costs.starts('cpu', size):.2%} | {'yes' if good else 'no'} |"
        )
    lines.append(f"| budget | {BUDGET_CPU:.1%} | {BUDGET_MB} | {BUDGET_BYTES:,} | | |")
    return "\n".join(lines)
