"""Validated settings of hosts and fronts, read from INI files."""

from celerywharf.settings._front import FrontSettings
from celerywharf.settings._loading import load, loads
from celerywharf.settings._models import (
    GenerationSettings,
    HostSection,
    HostSettings,
    KeySection,
    LimitSection,
    LogSection,
    MembershipSettings,
    OrderSettings,
    PeerSection,
    PlatformSection,
)

__all__ = (
    'FrontSettings',
    'GenerationSettings',
    'HostSection',
    'HostSettings',
    'KeySection',
    'LimitSection',
    'LogSection',
    'MembershipSettings',
    'OrderSettings',
    'PeerSection',
    'PlatformSection',
    'load',
    'loads',
)
