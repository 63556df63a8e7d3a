"""Retries of a host whose lender does not answer."""

from __future__ import annotations

from random import Random

from celerywharf.retries._windows import SlidingCount

# Used until a lender has told how many hosts the zone has.
UNKNOWN_ZONE_HOSTS = 100


class EmergencyShare:
    """Lets a host continue a stream while its zone has no lender.

    Each zone has an equal part and each of its hosts an equal part of that, so
    the sum over all hosts is the whole, however unequal the zones are.  A part
    below one is granted by chance.

    Attributes:
        total: retries within the window for all hosts together.
        zones: number of availability zones.
        zone_hosts: number of hosts in this zone, as last told by a lender.
    """

    def __init__(
        self, total: float, zones: int, window_s: float, random: Random
    ) -> None:
        self.total = total
        self.zones = max(zones, 1)
        self.random = random
        self.zone_hosts = UNKNOWN_ZONE_HOSTS
        self.draws = SlidingCount(window_s, generous=True)

    def take(self, now_s: float) -> bool:
        """Return whether a stream in progress may be sent once more."""
        share = self.total / (self.zones * max(self.zone_hosts, 1))
        # Without this, trying often would grant more than the share.
        drawn = self.draws.total(now_s)
        if drawn >= max(share, 1):
            return False
        self.draws.add(1, now_s)
        return share >= 1 or self.random.random() < share
