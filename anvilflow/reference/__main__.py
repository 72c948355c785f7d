"""Writes the generated pages: ``python -m anvilflow.reference pages docs/operators``."""

from pathlib import Path

import fire

from ._capacity import render_capacity
from ._pages import render_pages


def pages(folder="docs/operators"):
    """Write the operators' pages into a folder."""
    for name, text in render_pages().items():
        Path(folder, name).write_text(text, encoding="utf-8")


def capacity(sweep, template, page):
    """Write the capacity page from the results of a sweep."""
    Path(page).write_text(render_capacity(sweep, template), encoding="utf-8")


if __name__ == "__main__":
    fire.Fire({"pages": pages, "capacity": capacity})
