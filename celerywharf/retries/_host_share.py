"""Retries of a host beyond what it may take or borrow."""

from __future__ import annotations

from random import Random

from celerywharf.retries._windows import SlidingCount

# Used until the reader of the zone has told how many hosts it has.
UNKNOWN_ZONE_HOSTS = 100
# The rest of a host's part is kept for streams in progress.
OTHERS_FRACTION = 0.5


class HostShare:
    """A host's equal part of a number of retries that all hosts share.

    It needs no other host at the moment of a retry, so it also serves while a
    zone has no lender or a new lender does not lend its fixed number yet.

    Each zone has an equal part and each of its hosts an equal part of that, so
    the sum over all hosts is the whole, however unequal the zones are.  A part
    below one is granted by chance.

    Attributes:
        total: retries within the window for all hosts together.
        zones: number of availability zones.
        zone_hosts: number of hosts in this zone, as last told by its reader.
    """

    def __init__(
        self, total: float, zones: int, window_s: float, random: Random
    ) -> None:
        self.total = total
        self.zones = max(zones, 1)
        self.random = random
        self.zone_hosts = UNKNOWN_ZONE_HOSTS
        self.draws = SlidingCount(window_s, generous=True)

    def take(self, now_s: float, *, in_progress: bool) -> bool:
        """Return whether one retry is granted.

        Args:
            now_s: monotonic seconds.
            in_progress: whether the caller already has a part of the answer.
        """
        share = self.total / (self.zones * max(self.zone_hosts, 1))
        drawn = self.draws.total(now_s)
        if share < 1:
            return not drawn and self._draw(now_s, share)
        limit = share if in_progress else share * OTHERS_FRACTION
        if drawn + 1 > limit:
            return False
        self.draws.add(1, now_s)
        return True

    def _draw(self, now_s: float, probability: float) -> bool:
        # A draw that fails counts too; otherwise the sum would grow with the
        # number of tries.
        self.draws.add(1, now_s)
        return self.random.random() < probability
