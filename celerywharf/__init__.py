"""A serving system for long generations on engines that fail.

``celerywharf.serve('host.ini')`` runs an entry host.
"""

__version__ = '0.1.0'

from celerywharf.api import check, serve
from celerywharf.exceptions import CelerywharfError, SettingsError
from celerywharf.hosts import Host
from celerywharf.settings import HostSettings
from celerywharf.structures import Address, HostIdentity, Verdict

__all__ = (
    'Address',
    'CelerywharfError',
    'Host',
    'HostIdentity',
    'HostSettings',
    'SettingsError',
    'Verdict',
    '__version__',
    'check',
    'serve',
)
