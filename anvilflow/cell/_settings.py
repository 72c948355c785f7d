"""Settings of an instance on the users' platform: JSON with comments, checked."""

from pathlib import Path

import json5
import msgspec
from msgspec import Struct

from ..exceptions import SettingsError

#: The one way in which workers take orders that is built: each is a call.
ORDERS_BY_CALL = "invocation"


class ListenSettings(Struct, kw_only=True):
    """Addresses that the process serves."""

    front: str
    ready: str
    peers: str


class Bounds(Struct, kw_only=True):
    """Limits that the platform sets."""

    grace_s: float = 6.0
    max_lease_s: float = 6.0
    stop_s: float = 0.9
    status_kept_s: float = 120.0


class CellSettings(Struct, kw_only=True):
    """Everything that an instance is told at its start.

    Parameters
    ----------
    instance, failure_domain : str
    first_start : bool
        Whether the whole system starts for the first time.
    listen : ListenSettings
    store, advice : str
        Addresses of the platform's services; `advice` may be empty.
    bounds : Bounds
    orders : {"invocation"}
        How workers take orders; only calls to them are built.
    log_level : str
    """

    instance: str
    failure_domain: str
    listen: ListenSettings
    store: str
    advice: str = ""
    first_start: bool = False
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    orders: str = ORDERS_BY_CALL
    log_level: str = "info"


def load_cell_settings(path):
    """Read and check a settings file; AF101 with the path of the key that is wrong.

    Keys that this version does not know are ignored: the platform may send new ones.
    """
    try:
        values = json5.loads(Path(path).read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
    except (ValueError, RecursionError) as exc:
        raise SettingsError(f"{path}: not JSON with comments: {exc}") from exc
    try:
        settings = msgspec.convert(values, CellSettings, strict=True)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    if settings.orders != ORDERS_BY_CALL:
        raise SettingsError(
            f"{path}: $.orders: {settings.orders!r} is not built; allowed: {ORDERS_BY_CALL}"
        )
    for name in ("front", "ready", "peers"):
        host, _, port = getattr(settings.listen, name).rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"{path}: $.listen.{name}: allowed: IP:PORT")
    return settings
