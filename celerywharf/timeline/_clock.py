"""A hybrid logical clock: near wall time, and never before a cause."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A time: microseconds since 1970 and a counter within them."""

    micros: int
    count: int


NO_STAMP = Stamp(0, 0)


class HybridClock:
    """Gives stamps that rise, also over messages between hosts."""

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.last = NO_STAMP

    def tick(self) -> Stamp:
        """Stamp a local event."""
        return self._advance(NO_STAMP)

    def merge(self, seen: Stamp) -> Stamp:
        """Stamp the receipt of a message that carries ``seen``."""
        return self._advance(seen)

    def _advance(self, seen: Stamp) -> Stamp:
        now = Stamp(int(self.wall() * MICROSECONDS), 0)
        latest = max(self.last, seen)
        if now > latest:
            self.last = now
        else:
            self.last = Stamp(latest.micros, latest.count + 1)
        return self.last
