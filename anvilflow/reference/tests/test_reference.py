"""The generated pages match the code."""

from pathlib import Path

import pytest

from anvilflow.reference import PAGES, render_pages

FOLDER = Path(__file__).parents[3] / "docs" / "operators"


@pytest.mark.parametrize("name", PAGES)
def test_page_is_up_to_date(name):
    assert (FOLDER / name).read_text(encoding="utf-8") == render_pages()[name]
