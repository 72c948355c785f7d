"""Check of the addresses that other programs write."""

import ipaddress
import re

from ..exceptions import PlatformError

_MAX_PORT = 65_535

#: Host name as in RFC 1123: labels of letters, digits and inner hyphens.
_LABEL = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
_HOST_NAME = re.compile(rf"{_LABEL}(?:\.{_LABEL})*\.?", re.ASCII)
_MAX_HOST_NAME = 253


def check_address(address, path):
    """Raise an error unless `address` is ``HOST:PORT``, with an IPv6 address in brackets.

    An address that passes can be used in the URL of a request as it is.

    Parameters
    ----------
    address : str
    path : str
        Path of the value, for the error message.

    Raises
    ------
    PlatformError
        AF401, the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    is_port = len(port) <= 5 and port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT
    if not (is_port and (_is_host_name(host) or _is_ipv6(host))):
        raise PlatformError(f"not HOST:PORT - at `{path}`: {address[:80]!r}")


def _is_host_name(host):
    """Whether a host is a name or an IPv4 address."""
    return len(host) <= _MAX_HOST_NAME and _HOST_NAME.fullmatch(host) is not None


def _is_ipv6(host):
    # A zone index names an interface of one machine, and may contain any character.
    if not (host.startswith("[") and host.endswith("]")) or "%" in host:
        return False
    try:
        ipaddress.IPv6Address(host[1:-1])
    except ValueError:
        return False
    return True
