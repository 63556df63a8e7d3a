"""The front: a process between callers and backend servers."""

from celerywharf.fronts._front import Front
from celerywharf.fronts._serving import serve_front

__all__ = ('Front', 'serve_front')
