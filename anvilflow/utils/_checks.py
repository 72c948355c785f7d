"""Value checks for settings, declarations and calls."""

import re

from ..exceptions import DeclarationError

NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")


def check_name(name, path, *, error=DeclarationError):
    """Return `name`; raise unless it is a lower-case name of 1 to 63 characters.

    Parameters
    ----------
    name : str
        The value to check.
    path : str
        Path of the value in its document, for the error message.
    error : type, default=DeclarationError
        The exception class to raise, with an error code.

    Examples
    --------
    >>> check_name("sample-desk", "$.name")
    'sample-desk'
    """
    if not isinstance(name, str) or not NAME_PATTERN.match(name):
        raise error(
            f"{path}: {name!r} is no name; allowed: 1 to 63 of a-z, 0-9, '-' and '.', "
            "first and last a letter or digit"
        )
    return name


def check_positive(value, path, *, error=DeclarationError):
    """Return `value`; raise unless it is above zero."""
    if value <= 0:
        raise error(f"{path}: {value} is out of range; allowed: above 0")
    return value


def check_fraction(value, path, *, error=DeclarationError):
    """Return `value`; raise unless it lies between 0 and 1."""
    if not 0 <= value <= 1:
        raise error(f"{path}: {value} is out of range; allowed: 0 to 1")
    return value


def check_one_of(value, allowed, path, *, error=DeclarationError):
    """Return `value`; raise unless it is one of `allowed`."""
    if value not in allowed:
        raise error(f"{path}: {value!r} is unknown; allowed: {', '.join(sorted(allowed))}")
    return value
