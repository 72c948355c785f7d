"""Write deploy/requirements.lock: the part of requirements.lock that the cell needs at run time."""

import re
from pathlib import Path

#: Packages that the cell imports, and their dependencies.
NEEDED = (
    *("attrs", "automat", "constantly", "hdrhistogram", "httptools", "hyperlink", "idna"),
    "incremental",
    *("json5", "logbook", "msgspec", "multipart", "packaging", "pbr", "prometheus-client", "six"),
    *("sortedcontainers", "thrift", "treq", "twisted", "typing-extensions", "xxhash"),
    *("zope-interface", "setuptools"),
)

#: Pattern of a pinned package with its lines of hashes.
_ENTRY = r"^([a-z0-9-]+)(?:\[[a-z,]+\])?==.*\n(?:[ \t].*\n)*"


def main():
    """Copy the entries of the needed packages to the lock file."""
    text = Path("requirements.lock").read_text(encoding="utf-8")
    entries = re.finditer(_ENTRY, text, flags=re.MULTILINE)
    kept = [match.group(0) for match in entries if match.group(1) in NEEDED]
    Path("deploy/requirements.lock").write_text("".join(kept), encoding="utf-8")


if __name__ == "__main__":
    main()
