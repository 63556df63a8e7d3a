"""How fast a backend server drains, and what that means for a wait."""

from __future__ import annotations

import math
from dataclasses import dataclass

SMOOTHING = 0.1
DEVIATIONS = 2.0
RETRY_AFTER_LEAST_S = 0.5
RETRY_AFTER_MOST_S = 60.0


@dataclass(slots=True)
class DrainRate:
    """Learns how long requests hold a slot.

    Attributes:
        held_s: smoothed seconds; 0 before the first request ended.
    """

    held_s: float = 0

    def note(self, held_s: float) -> None:
        """Take the time that a request held its slot."""
        if not self.held_s:
            self.held_s = held_s
        self.held_s += SMOOTHING * (held_s - self.held_s)

    def wait_s(self, ahead: int, slots: float) -> float:
        """Estimate the wait behind ``ahead`` requests for ``slots`` slots."""
        return (ahead + 1) * self.held_s / max(slots, 1)

    def rate(self, slots: float) -> float:
        """Return how many requests end in a second on some slots."""
        return max(slots, 1) / self.held_s if self.held_s else 1

    def longest_wait_s(self, ahead: int, slots: float) -> float:
        """Estimate a wait that few requests exceed.

        The ends of requests come by chance; the spread of the wait grows
        with the root of how many of them it takes.
        """
        return self.wait_s(ahead, slots) + self._spread_s(ahead, slots)

    def shortest_wait_s(self, ahead: int, slots: float) -> float:
        """Estimate a wait that few requests undercut."""
        return self.wait_s(ahead, slots) - self._spread_s(ahead, slots)

    def _spread_s(self, ahead: int, slots: float) -> float:
        return DEVIATIONS * math.sqrt(ahead + 1) * self.held_s / max(slots, 1)


@dataclass(slots=True)
class Promises:
    """Spreads out those who were told to come back.

    Each client account has its own: a flood of one must not keep another
    away.

    Attributes:
        count: requests told to come back that are not due yet.
        seen_s: when ``count`` was last brought up to date.
    """

    count: float = 0
    seen_s: float = 0

    def retry_after_s(self, late_s: float, rate: float, now: float) -> float:
        """Say when to come back, each caller after the one before.

        Args:
            late_s: by how much the deadline would be missed now.
            rate: requests of the account that end in a second.
            now: monotonic seconds.
        """
        elapsed_s = now - self.seen_s
        self.count = max(0, self.count - elapsed_s * rate) + 1
        self.seen_s = now
        due_s = late_s + self.count / rate
        return min(max(due_s, RETRY_AFTER_LEAST_S), RETRY_AFTER_MOST_S)
