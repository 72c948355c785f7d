"""Base of the structures that are read from the wire."""

from msgspec import Struct


class Wire(Struct, rename=lambda name: name.replace("_", "-")):
    """Fields are spelled with hyphens on the wire; those that are zero or false may be left out."""
