"""Which backend servers are fit for work, by all that this host saw."""

from __future__ import annotations

import logging

from celerywharf.backends._directory import Directory
from celerywharf.backends._loads import Loads
from celerywharf.backends._servers import BackendServer
from celerywharf.backends._zones import ZoneFailures, ZonePart
from celerywharf.backends.outliers import Outliers

logger = logging.getLogger(__name__)


class ServerHealth:
    """Takes the outcomes of sends and judges backend servers by them."""

    def __init__(self, directory: Directory, loads: Loads) -> None:
        self.directory = directory
        self.loads = loads
        self.outliers = Outliers()
        self.zones = ZoneFailures()

    def started(self, server: BackendServer) -> None:
        """Note a send."""
        self.outliers.started(server.name)

    def ended(self, server: BackendServer) -> None:
        """Note the end of a send, however it ended."""
        self.outliers.ended(server.name)

    def succeeded(self, server: BackendServer, now_s: float) -> None:
        """Note that a server did its work."""
        self.outliers.succeeded(server.name)
        self.loads.alive(server.name, now_s)

    def failed(self, server: BackendServer, now_s: float) -> None:
        """Note a failure of a server that is there."""
        if self.outliers.failed(server.name, now_s):
            logger.info('ejected', extra={'backend_server': server.name})

    def lost(self, server: BackendServer, now_s: float) -> None:
        """Note that a server went silent or broke its connections."""
        self.failed(server, now_s)
        self._fail_zone(server, now_s)

    def unreachable(self, server: BackendServer, now_s: float) -> None:
        """Note that a server could not be connected."""
        self.outliers.unreachable(server.name, now_s)
        self._fail_zone(server, now_s)

    def replaced(self, server: BackendServer, now_s: float) -> None:
        """Note that another server has a server's address."""
        logger.info('replaced', extra={'backend_server': server.name})
        self.directory.replaced(server)
        self._fail_zone(server, now_s)

    def sweep(self) -> None:
        """Drop what is known of servers that are gone."""
        self.outliers.keep(self.directory.servers)
        self.loads.keep(self.directory.servers)

    def usable(self, server: BackendServer, now_s: float) -> bool:
        """Tell whether a server may get work."""
        return self.outliers.usable(server.name, now_s)

    def suspect(self, server: BackendServer, now_s: float) -> bool:
        """Tell whether a server may have failed with its zone."""
        return self.zones.suspect(
            ZonePart(server.service, server.availability_zone),
            self.directory.known_since_s(server.name),
            self.loads.alive_at_s(server.name),
            now_s,
        )

    def _fail_zone(self, server: BackendServer, now_s: float) -> None:
        zone = server.availability_zone
        alike = [
            other
            for other in self.directory.usable(server.service)
            if other.availability_zone == zone
        ]
        part = ZonePart(server.service, zone)
        if self.zones.failed(part, server.name, len(alike), now_s):
            logger.info(
                'zone suspect',
                extra={'availability_zone': zone, 'service': server.service},
            )
