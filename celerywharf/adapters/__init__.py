"""Clients of the systems that a host calls, and the HTTP transport."""

from celerywharf.adapters._curl import CurlTransport
from celerywharf.adapters.platforms import (
    ListedHost,
    Platform,
    ScanPage,
    StoredRow,
)
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
    'ListedHost',
    'Platform',
    'ScanPage',
    'StoredRow',
    'StreamSink',
    'Transfer',
    'Transport',
)
