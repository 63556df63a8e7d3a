"""A serving system for long generations on engines that fail.

``celerywharf.serve('host.ini')`` runs an entry host.
"""

import importlib
from typing import Any

__version__ = '0.1.0'

# Imported when they are first used: a front that starts after a loss of power
# does not wait for the parts of an entry host.
HOMES = {
    'Address': 'celerywharf.structures',
    'CelerywharfError': 'celerywharf.exceptions',
    'Host': 'celerywharf.hosts',
    'HostIdentity': 'celerywharf.structures',
    'HostSettings': 'celerywharf.settings',
    'SettingsError': 'celerywharf.exceptions',
    'Verdict': 'celerywharf.structures',
    'check': 'celerywharf.api',
    'serve': 'celerywharf.api',
}

__all__ = ('__version__', *HOMES)


def __getattr__(name: str) -> Any:
    """Return a public name from the module that it lives in."""
    if name not in HOMES:
        raise AttributeError(f'celerywharf has no attribute {name!r}')
    return getattr(importlib.import_module(HOMES[name]), name)


def __dir__() -> list[str]:
    """Return all public names."""
    return sorted(__all__)
