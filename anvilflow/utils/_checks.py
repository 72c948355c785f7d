"""Value checks that are shared by settings, declarations and calls."""

import re

from ..exceptions import DeclarationError

NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")


def check_name(name, path, *, error=DeclarationError):
    """Raise unless `name` is a lower-case name of 1 to 63 characters.

    Parameters
    ----------
    name : str
        The value.
    path : str
        Where the value stands, for the message.
    error : type, default=DeclarationError
        The coded error to raise.

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
    """Raise unless `value` is above zero."""
    if value <= 0:
        raise error(f"{path}: {value} is out of range; allowed: above 0")
    return value


def check_fraction(value, path, *, error=DeclarationError):
    """Raise unless `value` lies between 0 and 1."""
    if not 0 <= value <= 1:
        raise error(f"{path}: {value} is out of range; allowed: 0 to 1")
    return value


def check_one_of(value, allowed, path, *, error=DeclarationError):
    """Raise unless `value` is one of `allowed`."""
    if value not in allowed:
        raise error(f"{path}: {value!r} is unknown; allowed: {', '.join(sorted(allowed))}")
    return value
