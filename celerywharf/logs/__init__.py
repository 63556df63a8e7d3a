"""Logs as JSON lines."""

from celerywharf.logs._json import configure, log_context

__all__ = ('configure', 'log_context')
