"""Run an instance: ``python -m anvilflow.cell``; ANVILFLOW_CONFIG is the path of its settings."""

import os
import sys

from logbook import lookup_level

from ..exceptions import AnvilflowError
from ..logs import install_json_logs
from ._daemon import run_cell
from ._settings import load_cell_settings


def main():
    """Run an instance until SIGTERM; return the exit status."""

    def load():
        return load_cell_settings(os.environ.get("ANVILFLOW_CONFIG", ""))

    try:
        settings = load()
    except AnvilflowError as exc:
        print(exc, file=sys.stderr)
        return exc.exit_status
    install_json_logs(settings.instance, level=lookup_level(settings.log_level.upper()))
    return run_cell(settings, load)


if __name__ == "__main__":
    sys.exit(main())
