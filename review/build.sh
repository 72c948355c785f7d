#!/bin/sh
# Checks that the stand-ins and the cases can be started: they need Python 3.11 and nothing else.
cd "$(dirname "$0")" || exit 1
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("checked", path)
PYTHON
