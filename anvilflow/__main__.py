"""Run the command line with ``python -m anvilflow``."""

from anvilflow.cli import main

if __name__ == "__main__":
    main()
