"""Settings of an instance of a cell, read from JSON with comments and checked."""

from pathlib import Path

import json5
import msgspec
from msgspec import Struct

from ..exceptions import SettingsError
from ..jobs import SchedulingPolicy

#: The only supported way in which workers receive commands: each command is a call to the worker.
COMMANDS_BY_CALL = "invocation"

#: Contract of a cell with accounts.
ACCOUNTS_CONTRACT = "tenants"

#: Contract of a cell whose clients may ask for more than its workers can run.
PRESSURE_CONTRACT = "pressure"

#: Processor of an instance whose settings do not give it: such an instance ranks neither first nor
#: last among the candidates for leader. Unit: thousandths of a core.
DEFAULT_CPU_MILLI = 1000


class ListenSettings(Struct, kw_only=True):
    """Addresses on which the process listens.

    Parameters
    ----------
    front, ready, peers : str
        Addresses for clients, for the balancer's check and for other instances. ``IP:PORT``.
    peers_public : str, default=""
        Address at which other instances reach `peers` if it is another one, as behind a proxy;
        empty: that of `peers`.
    metrics : str, default=""
        Address for operators, with metrics and a dump of the state; empty: not served.
    """

    front: str
    ready: str
    peers: str
    peers_public: str = ""
    metrics: str = ""

    @property
    def peers_address(self):
        """Address at which other instances reach this one."""
        return self.peers_public or self.peers


class Bounds(Struct, kw_only=True):
    """Limits set by the platform.

    Parameters
    ----------
    grace_s : float, default=6.0
        Time from SIGTERM to SIGKILL. Unit: seconds.
    max_lease_s : float, default=6.0
        Longest lease. Unit: seconds.
    stop_s : float, default=0.9
        Longest time that the stop of a run takes. Unit: seconds.
    max_command_delay_s : float, default=12.0
        Longest time after which a worker may execute a command that it has not answered. A job with
        such a start completes no earlier, see `jobs/_completion.py`. Unit: seconds.
    status_kept_s : float, default=120.0
        Time for which the state of an ended job is kept. Unit: seconds.
    config_apply_s : float, default=2.0
        Time within which a change of the configuration must be in force. Unit: seconds.
    strict_revocation : bool, default=False
        Whether a call with an API key is refused unless this instance knows that the key was in
        force `revoke_s` ago. Otherwise, the newest configuration that it has read decides.
    revoke_s : float, default=5.0
        Time after which a key that was removed must not be accepted any more. Unit: seconds.
    """

    grace_s: float = 6.0
    max_lease_s: float = 6.0
    stop_s: float = 0.9
    max_command_delay_s: float = 12.0
    status_kept_s: float = 120.0
    config_apply_s: float = 2.0
    strict_revocation: bool = False
    revoke_s: float = 5.0


class CellSettings(Struct, kw_only=True):
    """All settings of an instance.

    Parameters
    ----------
    instance, failure_domain : str
    listen : ListenSettings
    store, advice : str
        Addresses of the platform's services; `advice` may be empty.
    bounds : Bounds
    orders : {"invocation"}
        How workers receive commands; only calls to the workers are supported.
    contracts : list of str
        Parts of the platform's contract that are in force. With ``accounts``, calls need API keys,
        whatever the configuration contains.
    log_level : str
    link_mbps : float or None, default=None
        Bandwidth of the instance's own link; None: unknown. Unit: Mbit/s.
    cpu_share, cores : float or None, default=None
        Processor of the instance: its share of one core, and the speed of that core as a multiple
        of a standard core. If either is missing or not above zero, the instance counts as having
        one whole core.
    scheduling : SchedulingPolicy
        Thresholds and switches of scheduling decisions. Unlike in the other sections, an unknown
        key is an error here: the platform sends no keys of this section, and a misspelt key would
        silently leave the default in force.
    """

    instance: str
    failure_domain: str
    listen: ListenSettings
    store: str
    advice: str = ""
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    orders: str = COMMANDS_BY_CALL
    contracts: list[str] = []
    log_level: str = "info"
    link_mbps: float | None = None
    cpu_share: float | None = None
    cores: float | None = None
    scheduling: SchedulingPolicy = msgspec.field(default_factory=SchedulingPolicy)

    @property
    def has_accounts(self):
        """Whether the cell has accounts, so that calls need API keys."""
        return ACCOUNTS_CONTRACT in self.contracts

    @property
    def policy(self):
        """The scheduling policy, with its switches as the contracts in force call for them."""
        return self.scheduling.resolve(expects_pressure=PRESSURE_CONTRACT in self.contracts)

    @property
    def cpu_milli(self):
        """Processor of the instance. Unit: thousandths of a core."""
        milli = 1000 * (self.cpu_share or 0.0) * (self.cores or 0.0)
        return max(1, round(milli)) if 0 < milli < float("inf") else DEFAULT_CPU_MILLI


def load_cell_settings(path):
    """Read and check a settings file.

    Unknown keys are ignored, except in `scheduling`: the platform may send new ones.

    Raises
    ------
    SettingsError
        AF101, with the path of the invalid key.
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
    if settings.orders != COMMANDS_BY_CALL:
        raise SettingsError(
            f"{path}: $.orders: {settings.orders!r} is not supported; allowed: {COMMANDS_BY_CALL}"
        )
    for name in ("front", "ready", "peers", "peers_public", "metrics"):
        address = getattr(settings.listen, name)
        host, _, port = address.rpartition(":")
        is_left_out = not address and name in ("peers_public", "metrics")
        if not is_left_out and not (host and port.isdigit()):
            raise SettingsError(f"{path}: $.listen.{name}: not an address; allowed: IP:PORT")
    return settings
