"""Operator API of a host: the shared table, status and draining."""

from celerywharf.operators._handlers import OperatorHandler
from celerywharf.operators._hosts import HOST_ROUTES
from celerywharf.operators._tables import TABLE_ROUTES

OPERATOR_ROUTES = (*TABLE_ROUTES, *HOST_ROUTES)

__all__ = ('OPERATOR_ROUTES', 'OperatorHandler')
