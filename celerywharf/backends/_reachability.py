"""Whether this host has a path to the backend servers of a service."""

from __future__ import annotations

import asyncio
import logging

from celerywharf.backends._directory import Directory
from celerywharf.backends._servers import BackendServer

logger = logging.getLogger(__name__)

# Servers that fail one by one are fewer than this at a time in most services.
MIN_UNREACHED = 3


class Reachability:
    """Tells a host that reaches no server of a service from servers that fail.

    A host is cut off from a service once it has failed to connect to several of
    its servers, or to all if there are fewer, and has reached none in between.
    Whether the host or the service is at fault is not decided here: other hosts
    know whether they reach it.

    Attributes:
        directory: the known backend servers.
        unreached: names of servers that could not be connected to since any
            server of their service was last reached, by service.
        cut_off: services that this host does not reach.
        changed: set when a service is added to ``cut_off``.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.unreached: dict[str, set[str]] = {}
        self.cut_off: set[str] = set()
        self.changed = asyncio.Event()

    def unreachable(self, server: BackendServer) -> None:
        """Record that no connection to a server could be established."""
        service = server.service
        names = self.unreached.setdefault(service, set())
        if len(names) < MIN_UNREACHED:
            names.add(server.name)
        servers = len(self.directory.usable(service))
        enough = min(MIN_UNREACHED, max(servers, 1))
        if service in self.cut_off or len(names) < enough:
            return
        self.cut_off.add(service)
        self.changed.set()
        logger.warning(
            'no path to service',
            extra={
                'service': service,
                'unreached': sorted(names),
                'servers': servers,
            },
        )

    def reached(self, service: str) -> None:
        """Record that a server of a service has answered or accepted."""
        self.unreached.pop(service, None)
        if service in self.cut_off:
            self.cut_off.discard(service)
            logger.info('path to service restored', extra={'service': service})

    def is_cut_off(self, service: str) -> bool:
        """Return whether this host reaches no server of a service.

        False if the service has no servers: no other host reaches any either.
        """
        if service not in self.cut_off:
            return False
        if self.directory.usable(service):
            return True
        self.cut_off.discard(service)
        self.unreached.pop(service, None)
        return False
