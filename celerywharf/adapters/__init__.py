"""The systems around a host, each behind one narrow adapter."""

from celerywharf.adapters._curl import CurlTransport
from celerywharf.adapters.transports import (
    HttpRequest,
    HttpResponse,
    StreamSink,
    Transfer,
    Transport,
)

__all__ = (
    'CurlTransport',
    'HttpRequest',
    'HttpResponse',
    'StreamSink',
    'Transfer',
    'Transport',
)
