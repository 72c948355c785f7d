"""Settings of one process: JSON with comments, checked before anything starts."""

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
