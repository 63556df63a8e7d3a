"""HTTP towards callers and operators."""

from celerywharf.edge._handlers import EdgeHandler
from celerywharf.edge._server import build_server

__all__ = ('EdgeHandler', 'build_server')
