"""Logging as JSON lines."""

from celerywharf.logs._json import (
    configure,
    configure_bounded,
    log_context,
)

__all__ = ('configure', 'configure_bounded', 'log_context')
