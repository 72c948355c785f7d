"""Base class of the structures that are decoded from the platform's JSON."""

from msgspec import Struct


class Wire(Struct, rename=lambda name: name.replace("_", "-")):
    """Structure with hyphenated field names on the wire; zero and false fields may be omitted."""
