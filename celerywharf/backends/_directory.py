"""Which backend servers there are."""

from __future__ import annotations

from dataclasses import replace

from celerywharf.backends._servers import BackendServer

# Entries that lapsed during an outage are back within two seconds of its end.
RETURN_S = 2.0
# An entry written before its server left comes seconds later at most; a system
# of 12,000 servers replaces this many in two days.
MOST_LEFT = 10_000


class Directory:
    """Follows the entries of backend servers.

    Entries lapse while the store is away although their servers live.  So an
    entry that vanishes around an outage is kept for a while after its end; one
    that vanishes otherwise is dropped at once.  A server that said that it is
    leaving stays left, whatever older entries say.

    Attributes:
        servers: all entries, by name.
        open: those that may get new work, by service and name.
        left: start of the incarnations that said that they leave.
        missing: names that vanished around an outage.
        since_s: when an incarnation was first seen.
    """

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self.open: dict[str, dict[str, BackendServer]] = {}
        self.left: dict[str, int] = {}
        self.missing: set[str] = set()
        self.since_s: dict[str, float] = {}
        self.outage_ended_s: float | None = None
        self.in_outage = False

    def outage(self) -> None:
        """Note that the store does not answer."""
        self.in_outage = True

    def restored(self, now_s: float) -> None:
        """Note that the store answers."""
        if self.in_outage:
            self.in_outage = False
            self.outage_ended_s = now_s

    def known_since_s(self, name: str) -> float:
        """Return when an incarnation was first seen."""
        return self.since_s.get(name, 0)

    def update(self, server: BackendServer, now_s: float) -> None:
        """Take an entry."""
        known = self.servers.get(server.name)
        if known is not None and _older(server, known):
            return
        self.missing.discard(server.name)
        if known is None or known.born_ms != server.born_ms:
            self.since_s[server.name] = now_s
        if server.draining:
            self._leaves(server)
        elif self.left.get(server.name) == server.born_ms:
            server = replace(server, draining=True)
        if known is not None:
            self._close(known)
        self.servers[server.name] = server
        if not server.draining:
            self.open.setdefault(server.service, {})[server.name] = server

    def replaced(self, server: BackendServer) -> None:
        """Note that another backend server answers at a server's address."""
        self._leaves(server)
        self.drop(server.name)

    def unreadable(self, name: str) -> None:
        """Take an entry that names no backend server to use."""
        self.drop(name)

    def removed(self, name: str, now_s: float) -> None:
        """Take the removal of an entry."""
        if name in self.servers and self._outage_recent(now_s):
            self.missing.add(name)
        else:
            self.drop(name)

    def replace_all(
        self,
        servers: list[BackendServer],
        now_s: float,
    ) -> None:
        """Take a reading of the whole table."""
        names = {server.name for server in servers}
        for server in servers:
            self.update(server, now_s)
        for name in tuple(self.servers):
            if name not in names:
                self.removed(name, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Drop what has not come back after an outage; return the names."""
        if not self.missing or self._outage_recent(now_s):
            return []
        expired = sorted(self.missing)
        for name in expired:
            self.drop(name)
        return expired

    def drop(self, name: str) -> None:
        """Forget a backend server."""
        self.missing.discard(name)
        self.since_s.pop(name, None)
        known = self.servers.pop(name, None)
        if known is not None:
            self._close(known)

    def usable(self, service: str) -> list[BackendServer]:
        """Return the backend servers that may get new work."""
        return list(self.open.get(service, {}).values())

    def _leaves(self, server: BackendServer) -> None:
        self.left.pop(server.name, None)
        self.left[server.name] = server.born_ms
        if len(self.left) > MOST_LEFT:
            self.left.pop(next(iter(self.left)))

    def _close(self, server: BackendServer) -> None:
        names = self.open.get(server.service, {})
        names.pop(server.name, None)
        if not names:
            self.open.pop(server.service, None)

    def _outage_recent(self, now_s: float) -> bool:
        if self.in_outage:
            return True
        ended_s = self.outage_ended_s
        return ended_s is not None and now_s < ended_s + RETURN_S


def _older(server: BackendServer, known: BackendServer) -> bool:
    return (server.born_ms, server.sequence) < (
        known.born_ms,
        known.sequence,
    )
