"""Health of backend servers, as observed by this host."""

from __future__ import annotations

import logging

from celerywharf.backends._directory import Directory
from celerywharf.backends._loads import Loads
from celerywharf.backends._reachability import Reachability
from celerywharf.backends._servers import BackendServer
from celerywharf.backends._zones import ServiceZone, ZoneFailureDetector
from celerywharf.backends.outliers import Outliers

logger = logging.getLogger(__name__)


class ServerHealth:
    """Tracks the health of backend servers by the outcomes of sends.

    Attributes:
        directory: the known backend servers.
        loads: their load and when they last responded.
        outliers: ejects servers that fail or are slow.
        zones: detects zones whose servers fail together.
        reachability: detects services to which this host has no path.
    """

    def __init__(self, directory: Directory, loads: Loads) -> None:
        self.directory = directory
        self.loads = loads
        self.outliers = Outliers()
        self.zones = ZoneFailureDetector()
        self.reachability = Reachability(directory)

    def started(self, server: BackendServer) -> None:
        """Record the start of a send."""
        self.outliers.started(server.name)

    def ended(self, server: BackendServer) -> None:
        """Record the end of a send, whatever its outcome."""
        self.outliers.ended(server.name)

    def succeeded(self, server: BackendServer, now_s: float) -> None:
        """Record a successful send."""
        self.outliers.succeeded(server.name)
        self.loads.mark_alive(server.name, now_s)

    def reached(self, server: BackendServer) -> None:
        """Record that a server has answered, if only to refuse."""
        self.reachability.reached(server.service)

    def failed(self, server: BackendServer, now_s: float) -> None:
        """Record a failure reported by a server that is still reachable."""
        if self.outliers.failed(server.name, now_s):
            logger.info('ejected', extra={'backend_server': server.name})

    def lost(self, server: BackendServer, now_s: float) -> None:
        """Record that a server broke a connection."""
        self.failed(server, now_s)
        self._record_zone_failure(server, now_s)

    def silent(self, server: BackendServer, now_s: float) -> None:
        """Record that a server has stopped responding, and may go on."""
        self.outliers.skip(server.name, now_s)
        self._record_zone_failure(server, now_s)

    def unreachable(self, server: BackendServer, now_s: float) -> None:
        """Record that no connection to a server could be established."""
        self.outliers.skip(server.name, now_s)
        self.reachability.unreachable(server)
        self._record_zone_failure(server, now_s)

    def leaving(self, incarnation: str) -> None:
        """Record that an incarnation of a server says that it leaves."""
        if self.directory.has_departed(incarnation):
            return
        logger.info('leaving', extra={'backend_server': incarnation})
        self.directory.leaving(incarnation)

    def replaced(self, server: BackendServer, now_s: float) -> None:
        """Record that another server now uses a server's address."""
        logger.info('replaced', extra={'backend_server': server.name})
        self.directory.replaced(server)
        self._record_zone_failure(server, now_s)

    def sweep(self) -> None:
        """Evict the records of servers that are no longer in the directory.

        Records of servers with requests in progress are kept.
        """
        self.outliers.retain(self.directory.servers)
        self.loads.retain(self.directory.servers)

    def usable(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server may be sent another request."""
        return self.outliers.usable(server.name, now_s)

    def suspect(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server may have failed together with its zone."""
        return self.zones.suspect(
            ServiceZone(server.service, server.availability_zone),
            self.directory.known_since_s(server.name),
            self.loads.alive_at_s(server.name),
            now_s,
        )

    def _record_zone_failure(self, server: BackendServer, now_s: float) -> None:
        zone = server.availability_zone
        peers = [
            other
            for other in self.directory.usable(server.service)
            if other.availability_zone == zone
        ]
        service_zone = ServiceZone(server.service, zone)
        if self.zones.record_failure(
            service_zone, server.name, len(peers), now_s
        ):
            logger.info(
                'zone suspect',
                extra={'availability_zone': zone, 'service': server.service},
            )
