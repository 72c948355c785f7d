"""Loading and validation of a settings file."""

from pathlib import Path

import json5
import msgspec

from ..exceptions import SettingsError
from ..utils import check_name
from ._address import parse_address
from ._model import Settings

#: Renewals that must fit into the lease of a task: that many may fail in a row before it expires.
MIN_RENEWALS_PER_LEASE = 3


def load_settings(path):
    """Read and validate the settings file at `path`.

    Parameters
    ----------
    path : str or Path
        A file in JSON with comments.

    Returns
    -------
    settings : Settings

    Raises
    ------
    SettingsError
        AF101, with the path of the key and the allowed values.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8 text"
        raise SettingsError(f"{path}: cannot be read: {reason}") from exc
    return parse_settings(text)


def parse_settings(text):
    """Return the validated :class:`Settings` parsed from `text`."""
    try:
        values = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        raise SettingsError(f"not JSON with comments: {exc}") from exc
    try:
        settings = msgspec.convert(values, Settings, strict=True)
    except msgspec.ValidationError as exc:
        raise SettingsError(str(exc)) from exc
    return check_settings(settings)


def check_settings(settings):
    """Raise AF101 for an invalid name or address or for conflicting keys; return `settings`."""
    check_name(settings.instance.name, "$.instance.name", error=SettingsError)
    check_name(settings.instance.failure_domain, "$.instance.failure_domain", error=SettingsError)
    check_name(settings.instance.region, "$.instance.region", error=SettingsError)
    _check_addresses(settings)
    _check_timing(settings)
    return settings


def _check_addresses(settings):
    seen = {}
    for section in ("listen", "platform"):
        values = msgspec.structs.asdict(getattr(settings, section))
        for key, text in values.items():
            path = f"$.{section}.{key}"
            address = parse_address(text, path)
            if address.port and address in seen:
                raise SettingsError(f"{path}: {address} is already used by {seen[address]}")
            seen[address] = path


def _check_timing(settings):
    timing = settings.timing
    if timing.suspect_s < 2 * timing.heartbeat_s:
        raise SettingsError(
            f"$.timing.suspect_s: {timing.suspect_s} clashes with $.timing.heartbeat_s "
            f"{timing.heartbeat_s}; allowed: at least twice as long"
        )
    if timing.idle_sync_s < timing.worker_sync_s:
        raise SettingsError(
            f"$.timing.idle_sync_s: {timing.idle_sync_s} clashes with $.timing.worker_sync_s "
            f"{timing.worker_sync_s}; allowed: at least as long"
        )
    min_lease_s = MIN_RENEWALS_PER_LEASE * (timing.worker_sync_s + timing.worker_timeout_s)
    if settings.lease.task_s < min_lease_s:
        raise SettingsError(
            f"$.lease.task_s: {settings.lease.task_s} clashes with $.timing.worker_sync_s and "
            f"$.timing.worker_timeout_s; allowed: at least {min_lease_s:g}, so that "
            f"{MIN_RENEWALS_PER_LEASE} renewals fit into a lease"
        )
