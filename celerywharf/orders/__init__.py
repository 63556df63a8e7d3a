"""Orders to engines under fenced leases, and weights brought to zones."""

from celerywharf.orders._part import Orders

__all__ = ('Orders',)
