"""The front: forwards callers' requests to backend servers.

A front is a host in its form for the users' platform.
"""

from celerywharf.fronts._front import Front
from celerywharf.fronts._serving import serve_front

__all__ = ('Front', 'serve_front')
