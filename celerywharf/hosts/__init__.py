"""The entry host, assembled from the parts of the process."""

from celerywharf.hosts._host import Host

__all__ = ('Host',)
