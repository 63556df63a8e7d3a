"""Orders to engines under fenced leases, and weight transfers to zones."""

from celerywharf.orders._part import Orders

__all__ = ('Orders',)
