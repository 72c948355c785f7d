"""Base class of the structures that are decoded from the platform's JSON."""

from msgspec import Struct

#: Largest whole number that every JSON reader keeps exact, and that any clock or counter reaches.
MAX_WHOLE_NUMBER = 2**53 - 1


class Wire(Struct, rename=lambda name: name.replace("_", "-")):
    """Structure with hyphenated field names on the wire; zero and false fields may be omitted."""
