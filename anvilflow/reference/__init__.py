"""Reference pages generated from the code, so that they match it."""

from ._capacity import render_capacity
from ._pages import PAGES, render_pages

__all__ = ["PAGES", "render_capacity", "render_pages"]
