"""Which software versions the backend servers of a service have had lately."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

from celerywharf.backends._servers import BackendServer

# Longer than callers wait for a stream.
VERSIONS_KEPT_S = 120.0


class SoftwareVersions:
    """Counts the servers of each software version, by service.

    A version of which no server is left is kept for a while: streams that it
    began may still be taken up.

    Attributes:
        counts: number of known servers by version, by service.
        subscribers: called when a service has got or lost a version.
        gone_s: when a version was first found to have no server, by service
            and version; None before the next query.
    """

    def __init__(self) -> None:
        self.counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.gone_s: dict[tuple[str, str], float | None] = {}
        self.subscribers: list[Callable[[], None]] = []

    def added(self, server: BackendServer) -> None:
        """Count a server."""
        counts = self.counts[server.service]
        counts[server.software_version] += 1
        self.gone_s.pop((server.service, server.software_version), None)
        if counts[server.software_version] == 1:
            self._notify()

    def removed(self, server: BackendServer) -> None:
        """Count a server no longer."""
        counts = self.counts[server.service]
        counts[server.software_version] -= 1
        if not counts[server.software_version]:
            counts.pop(server.software_version)
            self.gone_s[server.service, server.software_version] = None
        if not counts:
            self.counts.pop(server.service)
        if server.software_version not in counts:
            self._notify()

    def present(self) -> dict[str, frozenset[str]]:
        """Return the versions of the servers now, by service."""
        return {
            service: frozenset(counts)
            for service, counts in self.counts.items()
        }

    def _notify(self) -> None:
        for subscriber in self.subscribers:
            subscriber()

    def recent(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service now or a short time ago."""
        gone = tuple(key for key in self.gone_s if key[0] == service)
        for key in gone:
            gone_s = self.gone_s[key]
            if gone_s is None:
                self.gone_s[key] = now_s
            elif now_s - gone_s > VERSIONS_KEPT_S:
                self.gone_s.pop(key)
        kept = (version for name, version in self.gone_s if name == service)
        return frozenset(self.counts.get(service, ())).union(kept)
