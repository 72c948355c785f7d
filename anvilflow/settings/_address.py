"""Network addresses of the form ``IP:PORT``."""

import ipaddress
from typing import NamedTuple

from ..exceptions import SettingsError

MAX_PORT = 65535


class Address(NamedTuple):
    """An IP address and a port; with port 0 the kernel chooses a free port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


def parse_address(text, path="$"):
    """Return the :class:`Address` written in `text`.

    Parameters
    ----------
    text : str
        ``IP:PORT``. Host names are refused, since peers are configured by IP address.
    path : str, default="$"
        Path of the value in the settings, for the error message.

    Raises
    ------
    SettingsError
        AF101, when `text` is not an address.

    Examples
    --------
    >>> parse_address("127.0.0.1:7101")
    Address(host='127.0.0.1', port=7101)
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as exc:
        raise SettingsError(f"{path}: {text!r} is not an address; allowed: IP:PORT") from exc
    if not 0 <= number <= MAX_PORT:
        raise SettingsError(f"{path}: port {number} is out of range; allowed: 0 to {MAX_PORT}")
    return Address(host, number)
