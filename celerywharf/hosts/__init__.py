"""The entry host: all parts of one process put together."""

from celerywharf.hosts._host import Host

__all__ = ('Host',)
