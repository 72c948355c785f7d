"""Entry point of the command line, ``python -m anvilflow``."""

from anvilflow.cli import main

if __name__ == "__main__":
    main()
