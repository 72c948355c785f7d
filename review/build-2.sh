#!/bin/sh
# Builds the stand-ins of the cases 4 to 6, after the build of the deploy file. They use Python's
# standard library only: there is nothing to install, and no network is needed.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m py_compile review/lib2/*.py review/[456]/case.py
