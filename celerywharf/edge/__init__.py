"""HTTP interface for callers and operators."""

from celerywharf.edge._handlers import EdgeHandler, failure_content
from celerywharf.edge._server import build_server

__all__ = ('EdgeHandler', 'build_server', 'failure_content')
