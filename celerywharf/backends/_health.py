"""Health of backend servers, as observed by this host."""

from __future__ import annotations

import logging
from random import Random

from celerywharf.backends._demands import ServiceDemand
from celerywharf.backends._directory import Directory
from celerywharf.backends._loads import Loads
from celerywharf.backends._reachability import Reachability
from celerywharf.backends._servers import BackendServer
from celerywharf.backends._windows import Reason, RecoveryWindows, WindowChange
from celerywharf.backends._zones import ServiceZone, ZoneFailureDetector
from celerywharf.backends.outliers import READMISSION_LIMITS, Outliers

logger = logging.getLogger(__name__)


def _log_change(change: WindowChange) -> None:
    is_frequent = (
        change.reason is Reason.no_bad_news or change.event == 'exceeded'
    )
    logger.log(
        logging.DEBUG if is_frequent else logging.INFO,
        'window of a server',
        extra={
            'event': change.event,
            'backend_server': change.server.name,
            'size': change.size,
            'reason': change.reason.name,
        },
    )


class ServerHealth:
    """Tracks the health of backend servers by the outcomes of sends.

    Attributes:
        directory: the known backend servers.
        loads: their load and when they last responded.
        outliers: ejects servers that fail or are slow.
        windows: limit what is sent to servers that start or recover; none is
            opened if this host limits only readmission after an ejection.
        zones: detects zones whose servers fail together.
        reachability: detects services to which this host has no path.
    """

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        random: Random | None = None,
        *,
        has_recovery_windows: bool = True,
    ) -> None:
        self.directory = directory
        self.loads = loads
        self.has_recovery_windows = has_recovery_windows
        self.outliers = Outliers(
            () if has_recovery_windows else READMISSION_LIMITS
        )
        self.windows = RecoveryWindows(
            loads, ServiceDemand(directory, loads), random or Random()
        )
        self.windows.subscribers.append(_log_change)
        directory.starts.subscribers.append(self._restarted)
        self.zones = ZoneFailureDetector()
        self.reachability = Reachability(directory)

    def started(self, server: BackendServer) -> None:
        """Record the start of a send."""
        self.outliers.started(server.name)
        self.windows.sent(server.name)

    def ended(self, server: BackendServer) -> None:
        """Record the end of a send, whatever its outcome."""
        self.outliers.ended(server.name)

    def succeeded(self, server: BackendServer, now_s: float) -> None:
        """Record a successful send."""
        on_trial = self.windows.is_open(server.name)
        self.outliers.succeeded(server.name, on_trial=on_trial)
        self.loads.mark_alive(server.name, now_s)

    def reached(self, server: BackendServer) -> None:
        """Record that a server has answered, if only to refuse."""
        self.reachability.reached(server.service)

    def failed(self, server: BackendServer, now_s: float) -> None:
        """Record a failure reported by a server that is still reachable."""
        bad = self.windows.failed(server.name, now_s)
        self._record_error(server, now_s, bad=bad)

    def refused(self, server: BackendServer, now_s: float) -> None:
        """Record that a server has refused a request."""
        bad = self.windows.refused(server.name, now_s)
        self._record_error(server, now_s, bad=bad)

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
        self.windows.retain(self.directory.servers)

    def usable(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server may be sent another request."""
        return self.is_sound(server, now_s) and not self.is_held_back(
            server, now_s
        )

    def is_sound(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server is not ejected."""
        return self.outliers.usable(server.name, now_s)

    def is_held_back(self, server: BackendServer, now_s: float) -> bool:
        """Return whether the window of a server has no room for this host."""
        return not self.windows.allows(server.name, now_s)

    def suspect(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server may have failed together with its zone."""
        return self.zones.suspect(
            ServiceZone(server.service, server.availability_zone),
            self.directory.known_since_s(server.name),
            self.loads.alive_at_s(server.name),
            now_s,
        )

    def _restarted(self, server: BackendServer, now_s: float) -> None:
        """Begin anew with an incarnation: the one before it has ended."""
        self.loads.restarted(server.name)
        if self.has_recovery_windows:
            self.outliers.restarted(server.name)
            if self.is_sound(server, now_s):
                self.windows.started(server, now_s)

    def _record_error(
        self, server: BackendServer, now_s: float, *, bad: bool
    ) -> None:
        ejected = self.outliers.failed(server.name, now_s)
        if bad and not ejected:
            ejected = self.outliers.eject(server.name, now_s)
        if ejected:
            logger.info('ejected', extra={'backend_server': server.name})
        if ejected and self.has_recovery_windows:
            until_s = self.outliers.ejected_until_s(server.name)
            self.windows.ejected(server, until_s)

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
