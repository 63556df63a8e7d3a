"""A hybrid logical clock: close to wall time and consistent with causes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MICROS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A hybrid time.

    Attributes:
        micros: microseconds since 1970.
        count: counter within the microsecond.
    """

    micros: int
    count: int


NO_STAMP = Stamp(0, 0)


class HybridClock:
    """Returns strictly increasing stamps, also across messages between hosts.

    Attributes:
        wall: returns the wall time, seconds since 1970.
        last: the latest stamp returned, ``NO_STAMP`` before the first.
    """

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.last = NO_STAMP

    def tick(self) -> Stamp:
        """Return the stamp of a local event."""
        return self._advance(NO_STAMP)

    def merge(self, received: Stamp) -> Stamp:
        """Return the stamp of the receipt of a message stamped ``received``."""
        return self._advance(received)

    def _advance(self, received: Stamp) -> Stamp:
        now = Stamp(int(self.wall() * MICROS_PER_SECOND), 0)
        latest = max(self.last, received)
        if now > latest:
            self.last = now
        else:
            self.last = Stamp(latest.micros, latest.count + 1)
        return self.last
