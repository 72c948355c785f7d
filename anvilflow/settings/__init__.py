"""Settings of one process, read from JSON with comments and checked before the start."""

from ._address import Address, parse_address
from ._load import check_settings, load_settings, parse_settings
from ._model import (
    InstanceSettings,
    LeaseSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PlatformSettings,
    Settings,
    StoreSettings,
    TimingSettings,
)

__all__ = [
    "Address",
    "InstanceSettings",
    "LeaseSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "StoreSettings",
    "TimingSettings",
    "check_settings",
    "load_settings",
    "parse_address",
    "parse_settings",
]
