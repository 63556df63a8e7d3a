"""The front: a process between callers and backend servers."""

from celerywharf.fronts._front import Front

__all__ = ('Front',)
