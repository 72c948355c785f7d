"""Generated pages are up to date."""

from pathlib import Path

import pytest

from anvilflow.reference import PAGES, render_capacity, render_pages

DOCS = Path(__file__).parents[3] / "docs"
FOLDER = DOCS / "operators"


@pytest.mark.parametrize("name", PAGES)
def test_page_matches_the_code(name):
    assert (FOLDER / name).read_text(encoding="utf-8") == render_pages()[name]


def test_capacity_matches_the_measured_samples():
    """The page is computed from the samples, so a figure edited by hand fails this test."""
    page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
    assert page == render_capacity(DOCS / "sweep.json", DOCS / "capacity.md.in")
