"""Directory of the known backend servers."""

from __future__ import annotations

from dataclasses import replace

from celerywharf.backends._servers import BackendServer, server_name
from celerywharf.backends._software_versions import SoftwareVersions
from celerywharf.backends._starts import ServerStarts

# Servers whose entries expired during an outage of the store publish them again
# within two seconds after its end.
OUTAGE_GRACE_S = 2.0
# An entry written before its server departed arrives at most seconds after the
# departure; a system of 12,000 servers replaces this many in two days.
MAX_DEPARTED = 10_000


class Directory:
    """Tracks the entries of backend servers in the store.

    Entries expire while the store is unavailable even though their servers are
    alive.  An entry that is removed during an outage, or shortly after it, is
    therefore kept until ``OUTAGE_GRACE_S`` after the outage; otherwise removed
    entries are dropped immediately.  An incarnation that announced that it is
    draining stays excluded, even if an older entry arrives later.

    Attributes:
        servers: all entries, by name.
        accepting: servers that accept new requests, by service and name.
        departed: incarnations that were draining or were replaced, the latest
            last.
        last_removed: ``born_ms`` and sequence of the last entry that was
            removed, by name; older entries come from an outdated copy.
        missing: names whose entries were removed around an outage.
        since_s: when the incarnation was first seen, by name.
        software_versions: those of the servers now and lately.
        outage_ended_s: end of the last outage; None before the first.
        in_outage: whether the store is unavailable.
        starts: tells of servers that start.
    """

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self.accepting: dict[str, dict[str, BackendServer]] = {}
        self.departed: dict[str, None] = {}
        self.last_removed: dict[str, tuple[int, int]] = {}
        self.missing: set[str] = set()
        self.since_s: dict[str, float] = {}
        self.software_versions = SoftwareVersions()
        self.outage_ended_s: float | None = None
        self.in_outage = False
        self.starts = ServerStarts()

    def outage(self) -> None:
        """Record that the store has become unavailable."""
        self.in_outage = True

    def store_restored(self, now_s: float) -> None:
        """Record that the store has come back from an older copy.

        Servers whose entries it lacks write them again.  An outage goes on:
        also an answer that refuses a call may tell of the copy.
        """
        self.outage_ended_s = now_s

    def restored(self, now_s: float) -> None:
        """Record that the store is available again."""
        if self.in_outage:
            self.in_outage = False
            self.outage_ended_s = now_s

    def known_since_s(self, name: str) -> float:
        """Return when the incarnation was first seen; 0 if it is unknown."""
        return self.since_s.get(name, 0)

    def update(self, server: BackendServer, now_s: float) -> None:
        """Apply an entry, unless a newer one of the server is known."""
        known = self.servers.get(server.name)
        if known is not None and _is_older(server, known):
            return
        last_removed = self.last_removed.get(server.name)
        if known is None and last_removed is not None:
            if (server.born_ms, server.sequence) <= last_removed:
                return
            self.last_removed.pop(server.name)
        self.missing.discard(server.name)
        if known is None or known.born_ms != server.born_ms:
            self.since_s[server.name] = now_s
            self.starts.appeared(server, last_removed, now_s)
        if server.draining:
            self._mark_departed(server.incarnation)
        elif self.has_departed(server.incarnation):
            server = replace(server, draining=True)
        if known is not None:
            self._stop_accepting(known)
            self.software_versions.removed(known)
        self.servers[server.name] = server
        self.software_versions.added(server)
        if not server.draining:
            self.accepting.setdefault(server.service, {})[server.name] = server

    def replaced(self, server: BackendServer) -> None:
        """Drop an incarnation whose address another backend server now uses.

        Later entries of the same incarnation do not make it usable again.
        """
        self._mark_departed(server.incarnation)
        self.drop(server.name)

    def leaving(self, incarnation: str) -> None:
        """Stop to use an incarnation that says that it leaves.

        Later entries of the same incarnation do not make it usable again.
        """
        self._mark_departed(incarnation)
        known = self.servers.get(server_name(incarnation))
        if known is not None and known.incarnation == incarnation:
            self.servers[known.name] = replace(known, draining=True)
            self._stop_accepting(known)

    def unreadable(self, name: str) -> None:
        """Drop a server whose new entry describes no usable server."""
        self.drop(name)

    def removed(self, name: str, now_s: float) -> None:
        """Apply the removal of an entry."""
        if name in self.servers and self._outage_recent(now_s):
            self.missing.add(name)
        else:
            self._forget(name)

    def replace_all(
        self,
        servers: list[BackendServer],
        now_s: float,
    ) -> None:
        """Apply a snapshot of all entries."""
        names = {server.name for server in servers}
        for server in servers:
            self.update(server, now_s)
        for name in tuple(self.servers):
            if name not in names:
                self.removed(name, now_s)
        self.starts.entries_read(now_s)

    def expire(self, now_s: float) -> list[str]:
        """Drop entries still missing after the grace period of an outage.

        Returns:
            The names of the dropped servers, sorted.
        """
        if not self.missing or self._outage_recent(now_s):
            return []
        expired = sorted(self.missing)
        for name in expired:
            self._forget(name)
        return expired

    def drop(self, name: str) -> None:
        """Remove a backend server immediately, if it is known."""
        self.missing.discard(name)
        self.since_s.pop(name, None)
        known = self.servers.pop(name, None)
        if known is not None:
            self._stop_accepting(known)
            self.software_versions.removed(known)

    def has_departed(self, incarnation: str) -> bool:
        """Return whether an incarnation leaves or was replaced."""
        if incarnation in self.departed:
            return True
        known = self.servers.get(server_name(incarnation))
        if known is None or known.incarnation != incarnation:
            return False
        return known.draining

    def accepts(self, server: BackendServer) -> bool:
        """Return whether an incarnation accepts requests."""
        known = self.accepting.get(server.service, {}).get(server.name)
        return known is not None and known.incarnation == server.incarnation

    def usable(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service that accept requests."""
        return list(self.accepting.get(service, {}).values())

    def _forget(self, name: str) -> None:
        """Drop a server whose entry was removed, and remember the entry."""
        known = self.servers.get(name)
        if known is not None:
            self.last_removed.pop(name, None)
            self.last_removed[name] = (known.born_ms, known.sequence)
            if len(self.last_removed) > MAX_DEPARTED:
                self.last_removed.pop(next(iter(self.last_removed)))
        self.drop(name)

    def _mark_departed(self, incarnation: str) -> None:
        self.departed.pop(incarnation, None)
        self.departed[incarnation] = None
        if len(self.departed) > MAX_DEPARTED:
            self.departed.pop(next(iter(self.departed)))

    def _stop_accepting(self, server: BackendServer) -> None:
        servers = self.accepting.get(server.service, {})
        servers.pop(server.name, None)
        if not servers:
            self.accepting.pop(server.service, None)

    def _outage_recent(self, now_s: float) -> bool:
        if self.in_outage:
            return True
        ended_s = self.outage_ended_s
        return ended_s is not None and now_s < ended_s + OUTAGE_GRACE_S


def _is_older(server: BackendServer, known: BackendServer) -> bool:
    return (server.born_ms, server.sequence) < (
        known.born_ms,
        known.sequence,
    )
