"""A serving system for long generations on engines that fail.

``celerywharf.serve('host.ini')`` runs an entry host.
"""

import importlib
from typing import Any

__version__ = '0.1.0'

# Module of each public name.  The modules are imported on first use, so that a
# front, which must start fast after a loss of power, does not import the parts
# of an entry host.
MODULE_BY_NAME = {
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

__all__ = ('__version__', *MODULE_BY_NAME)


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in MODULE_BY_NAME:
        raise AttributeError(f'celerywharf has no attribute {name!r}')
    return getattr(importlib.import_module(MODULE_BY_NAME[name]), name)


def __dir__() -> list[str]:
    """Return the public names, sorted."""
    return sorted(__all__)
