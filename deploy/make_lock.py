"""Writes deploy/requirements.lock: the part of requirements.lock that the cell needs to run."""

import re
from pathlib import Path

#: What the cell imports, and what these need in turn.
NEEDED = (
    *("attrs", "automat", "constantly", "hdrhistogram", "httptools", "hyperlink", "idna"),
    "incremental",
    *("json5", "logbook", "msgspec", "multipart", "packaging", "pbr", "prometheus-client", "six"),
    *("sortedcontainers", "thrift", "treq", "twisted", "typing-extensions", "xxhash"),
    *("zope-interface", "setuptools"),
)

#: A pinned package and the lines of hashes that belong to it.
_BLOCK = r"^([a-z0-9-]+)(?:\[[a-z,]+\])?==.*\n(?:[ \t].*\n)*"


def main():
    """Copy the blocks of the needed packages."""
    text = Path("requirements.lock").read_text(encoding="utf-8")
    whole = re.finditer(_BLOCK, text, flags=re.MULTILINE)
    kept = [match.group(0) for match in whole if match.group(1) in NEEDED]
    Path("deploy/requirements.lock").write_text("".join(kept), encoding="utf-8")


if __name__ == "__main__":
    main()
