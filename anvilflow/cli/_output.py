"""Output of results as JSON or as a table, and of errors."""

import sys

import msgspec

from ..exceptions import CallError
from ..utils import check_one_of


def check_output(output):
    """Raise AF301 unless `output` is ``json`` or ``table``."""
    return check_one_of(output, {"json", "table"}, "--output", error=CallError)


def show(rows, columns, output):
    """Print `rows`, a list of dicts, as JSON or as a table of `columns`."""
    if output == "json":
        print(msgspec.json.format(msgspec.json.encode(rows), indent=2).decode())
        return
    lines = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[number]) for line in lines)) if lines else len(column)
        for number, column in enumerate(columns)
    ]
    for line in [[column.upper() for column in columns], *lines]:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def complain(error):
    """Print a coded error on one line of standard error."""
    print(" ".join(str(error).split()), file=sys.stderr)
