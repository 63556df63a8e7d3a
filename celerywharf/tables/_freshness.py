"""Tracks whether a replica is ready and how stale it may be."""

from __future__ import annotations

from collections.abc import Collection

from celerywharf.wire.tables import TableDigest

# Gives an age beyond ABSENT_AGE_S, which the operators' API shows as null.
NEVER_CONFIRMED_S = -1e9


class Freshness:
    """Readiness of a replica and when it was last known to be current.

    Attributes:
        ready: True once the replica has been read from the platform, or has
            the highest revision among the reachable peers.
        confirmed_s: latest monotonic time at which the replica is known to
            have had every change committed on the platform.
    """

    def __init__(self) -> None:
        self.ready = False
        self.confirmed_s = NEVER_CONFIRMED_S

    def age_s(self, now: float) -> float:
        """Return the seconds since the replica was known to be current."""
        return now - self.confirmed_s

    def on_platform_read(self, started_s: float) -> None:
        """Record a complete read of the platform that began at a time."""
        self.ready = True
        self.confirmed_s = max(self.confirmed_s, started_s)

    def on_peer_digest(
        self,
        digest: TableDigest,
        revision: int,
        now: float,
    ) -> None:
        """Use the age of a ready peer's replica unless the peer is ahead."""
        if digest.ready and digest.revision <= revision:
            confirmed_s = now - digest.platform_age_s
            self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def on_peer_revisions(
        self,
        revisions: Collection[int],
        revision: int,
    ) -> None:
        """Become ready if no peer is ahead.

        Args:
            revisions: revisions of the ready peers, at least one.
            revision: revision of this replica.
        """
        if revision >= max(revisions):
            self.ready = True
