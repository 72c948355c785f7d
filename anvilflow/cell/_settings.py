"""Settings of an instance on the users' platform: JSON with comments, checked."""

from pathlib import Path

import json5
import msgspec
from msgspec import Struct

from ..exceptions import SettingsError
from ..jobs import SchedulingPolicy

#: The one way in which workers take orders that is built: each is a call.
ORDERS_BY_CALL = "invocation"

#: Processor of an instance whose settings do not tell it: it is neither first nor last to become
#: the leader. Unit: thousandths of a core.
DEFAULT_CPU_MILLI = 1000


class ListenSettings(Struct, kw_only=True):
    """Addresses that the process serves.

    Parameters
    ----------
    front, ready, peers : str
        For clients, for the balancer's check, for other instances. ``IP:PORT``.
    peers_public : str, default=""
        Where other instances reach `peers` when something stands in between; empty: at `peers`.
    metrics : str, default=""
        For operators: metrics and a dump of the state; empty: not served.
    """

    front: str
    ready: str
    peers: str
    peers_public: str = ""
    metrics: str = ""

    @property
    def peers_address(self):
        """Where other instances reach this one."""
        return self.peers_public or self.peers


class Bounds(Struct, kw_only=True):
    """Limits that the platform sets; `config_apply_s` is the time for a change of configuration."""

    grace_s: float = 6.0
    max_lease_s: float = 6.0
    stop_s: float = 0.9
    status_kept_s: float = 120.0
    config_apply_s: float = 2.0


class CellSettings(Struct, kw_only=True):
    """Everything that an instance is told at its start.

    Parameters
    ----------
    instance, failure_domain : str
    listen : ListenSettings
    store, advice : str
        Addresses of the platform's services; `advice` may be empty.
    bounds : Bounds
    orders : {"invocation"}
        How workers take orders; only calls to them are built.
    log_level : str
    link_mbps : float or None, default=None
        Bandwidth of the instance's own link; None: not known. Unit: Mbit/s.
    cpu_share, cores : float or None, default=None
        Processor of the instance: a share of one core, and how many times as fast as a core it is.
        Where one is missing or not above zero, the instance counts as having a whole core.
    scheduling : SchedulingPolicy
        Thresholds and switches of decisions. Unlike elsewhere, an unknown key is refused here: the
        platform sends none, and a misspelt one would silently leave the default in force.
    """

    instance: str
    failure_domain: str
    listen: ListenSettings
    store: str
    advice: str = ""
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    orders: str = ORDERS_BY_CALL
    log_level: str = "info"
    link_mbps: float | None = None
    cpu_share: float | None = None
    cores: float | None = None
    scheduling: SchedulingPolicy = msgspec.field(default_factory=SchedulingPolicy)

    @property
    def cpu_milli(self):
        """Processor of the instance. Unit: thousandths of a core."""
        milli = 1000 * (self.cpu_share or 0.0) * (self.cores or 0.0)
        return max(1, round(milli)) if 0 < milli < float("inf") else DEFAULT_CPU_MILLI


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
    for name in ("front", "ready", "peers", "peers_public", "metrics"):
        address = getattr(settings.listen, name)
        host, _, port = address.rpartition(":")
        is_left_out = not address and name in ("peers_public", "metrics")
        if not is_left_out and not (host and port.isdigit()):
            raise SettingsError(f"{path}: $.listen.{name}: allowed: IP:PORT")
    return settings
