"""Decides whether a replica is ready and how old its news may be."""

from __future__ import annotations

from collections.abc import Collection

from celerywharf.wire.tables import TableDigest

NEVER_S = -1e9


class Freshness:
    """When the replica was last known to be as new as the platform.

    Attributes:
        ready: True once the platform, or the highest revision among the
            reachable peers, has been read.
        confirmed_s: monotonic time at which the replica had all that the
            platform had.
    """

    def __init__(self) -> None:
        self.ready = False
        self.confirmed_s = NEVER_S

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self.confirmed_s

    def platform_read(self, started_s: float) -> None:
        """Take a complete read of the platform that began then."""
        self.ready = True
        self.confirmed_s = max(self.confirmed_s, started_s)

    def peer_compared(
        self,
        digest: TableDigest,
        revision: int,
        now: float,
    ) -> None:
        """Take over a peer's confirmation when it knows nothing newer."""
        if digest.ready and digest.revision <= revision:
            confirmed_s = now - digest.platform_age_s
            self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def peers_asked(
        self,
        revisions: Collection[int],
        revision: int,
    ) -> None:
        """Become ready when no ready peer is ahead; at least one answered."""
        if revision >= max(revisions):
            self.ready = True
