"""Which host may try a quarantined trait."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from celerywharf.sharing._store import SharedStore

# Longer than a loss takes to become known to all hosts.
TURN_S = 5.0


class TrialSchedule:
    """Gives the readers of all zones turns, so that one host tries at a time.

    Attributes:
        zone: availability zone of this host.
        zones: all availability zones, in an order that all hosts share.
        shared_store: tells whether this host is the zone's reader; None if it
            shares nothing with others.
    """

    def __init__(
        self, zone: str, zones: Iterable[str], shared_store: SharedStore | None
    ) -> None:
        self.zone = zone
        self.zones = sorted({zone, *zones})
        self.shared_store = shared_store

    def is_own(self, trait: str, store_time_s: float) -> bool:
        """Return whether it is this host's turn.

        Args:
            trait: what is quarantined.
            store_time_s: time on the store's clock.
        """
        if self.shared_store is not None and not self.shared_store.is_reader:
            return False
        turn = zlib.crc32(trait.encode()) + int(store_time_s // TURN_S)
        return self.zones[turn % len(self.zones)] == self.zone
