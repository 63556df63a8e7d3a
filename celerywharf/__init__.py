"""A serving system for long generations on engines that fail."""

from celerywharf.structures import Address, HostIdentity, Verdict

__version__ = '0.1.0'

__all__ = ('Address', 'HostIdentity', 'Verdict', '__version__')
