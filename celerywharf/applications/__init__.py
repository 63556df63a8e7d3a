"""Calls to plain services: at most once where they may not be repeated."""

from celerywharf.applications._handlers import APPLICATION_ROUTES
from celerywharf.applications._service import Applications

__all__ = ('APPLICATION_ROUTES', 'Applications')
