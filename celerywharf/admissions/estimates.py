"""How fast a backend server drains, and what that means for a wait."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.1
RETRY_AFTER_LEAST_S = 0.5
RETRY_AFTER_MOST_S = 60.0


@dataclass(slots=True)
class DrainRate:
    """Learns how long requests hold a slot.

    Attributes:
        held_s: smoothed seconds; 0 before the first request ended.
        promised: requests told to come back that are not due yet.
        seen_s: when ``promised`` was last brought up to date.
    """

    held_s: float = 0
    promised: float = 0
    seen_s: float = 0

    def note(self, held_s: float) -> None:
        """Take the time that a request held its slot."""
        if not self.held_s:
            self.held_s = held_s
        self.held_s += SMOOTHING * (held_s - self.held_s)

    def wait_s(self, ahead: int, slots: float) -> float:
        """Estimate the wait behind ``ahead`` requests for ``slots`` slots."""
        return (ahead + 1) * self.held_s / max(slots, 1)

    def retry_after_s(self, late_s: float, slots: float, now: float) -> float:
        """Say when to come back, each caller after the one before.

        Args:
            late_s: by how much the deadline would be missed now.
            slots: slots that the client account can count on.
            now: monotonic seconds.
        """
        rate = max(slots, 1) / self.held_s if self.held_s else 1
        elapsed_s = now - self.seen_s
        self.promised = max(0, self.promised - elapsed_s * rate) + 1
        self.seen_s = now
        due_s = late_s + self.promised / rate
        return min(max(due_s, RETRY_AFTER_LEAST_S), RETRY_AFTER_MOST_S)
