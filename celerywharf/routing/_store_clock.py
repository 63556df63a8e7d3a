"""What a host knows of the store's clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Of two steady clocks, each of which is off by 500 ppm at most.
MAX_DRIFT = 0.001


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """Bounds of this host's clock minus the store's clock, in seconds.

    Attributes:
        least_s: it is not less than this.
        most_s: it is not more than this.
    """

    least_s: float
    most_s: float

    @property
    def width_s(self) -> float:
        """Return how far apart the bounds are, in seconds."""
        return self.most_s - self.least_s

    def widened(self, elapsed_s: float) -> ClockOffset:
        """Return the bounds some time later, or earlier, in seconds."""
        drift_s = MAX_DRIFT * abs(elapsed_s)
        return ClockOffset(self.least_s - drift_s, self.most_s + drift_s)

    def within(self, other: ClockOffset) -> ClockOffset | None:
        """Return the bounds that keep to both; None if they contradict."""
        least_s = max(self.least_s, other.least_s)
        most_s = min(self.most_s, other.most_s)
        return ClockOffset(least_s, most_s) if least_s <= most_s else None


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """When a call to the store was sent and answered.

    Attributes:
        sent_s: when the call was sent, in seconds of CLOCK_BOOTTIME.
        received_s: when the answer was received, same clock.
        store_s: the store's monotonic clock as stated in the answer, seconds.
        era: era of the store in which it answered; 0 if unknown.
        relayed: another host made the call and relayed the answer, so
            ``sent_s`` does not bound the age of the answer.
        offset: bounds that the other host stated in a relayed answer; None if
            it stated none.
    """

    sent_s: float
    received_s: float
    store_s: float
    relayed: bool = False
    era: int = 0
    offset: ClockOffset | None = None

    def offset_bounds(self) -> ClockOffset | None:
        """Return the bounds that the answer sets; None if it sets none.

        The store's clock was read at some moment of the call.
        """
        bounds = self.offset
        if not self.relayed:
            bounds = ClockOffset(
                self.sent_s - self.store_s, self.received_s - self.store_s
            )
        return bounds and bounds.widened(self.received_s - self.sent_s)


class StoreClock:
    """Converts between this host's and the store's clock.

    An answer may have been on its way or unread for any part of its call, so
    it only bounds the difference of the clocks.  Each use of a converted time
    takes the bound that is safe for it.

    Attributes:
        era: newest era of the store that an answer has named.
        offset: as known at ``learned_s``; None before the first answer.
        learned_s: seconds of CLOCK_BOOTTIME.
        relayed_s: when another host has last stated it, same clock.
        is_outdated: no answer of the newest era has set bounds, and the store's
            clock may have been set.
    """

    def __init__(self) -> None:
        self.era = 0
        self.offset: ClockOffset | None = None
        self.learned_s: float = 0
        self.relayed_s = -math.inf
        self.is_outdated = False

    def offset_at(self, now_s: float) -> ClockOffset | None:
        """Return the difference of the clocks at a time of this host.

        None while no bounds of it are known.
        """
        if self.offset is None or self.is_outdated:
            return None
        return self.offset.widened(now_s - self.learned_s)

    def learn(self, timing: AnswerTiming) -> bool:
        """Learn from an answer.

        Returns:
            Whether the clock was not known before, or has been set.
        """
        if timing.era > self.era:
            self.era = timing.era
            self.is_outdated = self.offset is not None
        bounds = timing.offset_bounds()
        if bounds is None or 0 < timing.era < self.era:
            return False
        now_s = max(timing.received_s, self.learned_s)
        bounds = bounds.widened(now_s - timing.received_s)
        known = self.offset_at(now_s)
        both = known and known.within(bounds)
        self.offset = both or bounds
        self.learned_s = now_s
        if timing.relayed:
            self.relayed_s = timing.received_s
        self.is_outdated = False
        return both is None

    def date(self, timing: AnswerTiming) -> float | None:
        """Return when the store gave an answer, at the earliest.

        Returns:
            Seconds of CLOCK_BOOTTIME; None if that is not known.
        """
        sent_s = -math.inf if timing.relayed else timing.sent_s
        offset = self.offset_at(timing.received_s)
        if offset is None or math.isinf(timing.store_s):
            return None if timing.relayed else timing.sent_s
        answered_s = timing.store_s + offset.least_s
        # The clocks have drifted since then.
        answered_s -= MAX_DRIFT * max(timing.received_s - answered_s, 0)
        return min(max(answered_s, sent_s), timing.received_s)

    def store_bounds_s(self, now_s: float) -> tuple[float, float]:
        """Return the earliest and the latest time that the store may have.

        Outdated bounds are used until there are new ones; before the first
        answer, this host's own clock is.
        """
        if self.offset is None:
            return now_s, now_s
        offset = self.offset.widened(now_s - self.learned_s)
        return now_s - offset.most_s, now_s - offset.least_s
