"""Calls to application services; non-idempotent calls run at most once."""

from celerywharf.applications._handlers import APPLICATION_ROUTES
from celerywharf.applications._service import Applications

__all__ = ('APPLICATION_ROUTES', 'Applications')
