"""Write the generated pages: ``python -m anvilflow.reference docs/operators``."""

from pathlib import Path

import fire

from ._pages import render_pages


def main(folder="docs/operators"):
    """Write all pages into a folder."""
    for name, text in render_pages().items():
        Path(folder, name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)
