"""How often a front calls a store that does not answer."""

from __future__ import annotations

from random import Random

FIRST_WAIT_S = 0.7
GROWTH = 2.0
# Average time between calls of all fronts of a zone together, at least.
ZONE_CALL_PERIOD_S = 0.1
# The longest waits: with a reader, which goes on calling and whose answers the
# others get at once, and without one.
MAX_WAIT_S = 4.0
MAX_WAIT_ALONE_S = 2.0
JITTER = 0.5  # a wait is drawn between this fraction and the whole of it


class StoreBackoff:
    """Spaces the calls of a front while the store does not answer it.

    Answers outages of the store in which each front of a large zone would call
    it several times a second.  The waits grow with the number of fronts, so
    that the zone as a whole keeps calling: the first of them that is answered
    becomes the reader of the others.

    Attributes:
        failures: failed calls since the last answer.
        next_call_s: no call is due before this time.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.failures = 0
        self.next_call_s = float('-inf')

    def due(self, now_s: float) -> bool:
        """Return whether the store may be called."""
        return now_s >= self.next_call_s

    def failed(
        self, now_s: float, zone_hosts: int, *, has_reader: bool
    ) -> None:
        """Record a failed call.

        Args:
            now_s: seconds.
            zone_hosts: number of fronts in the zone.
            has_reader: whether another front is the reader and answers.
        """
        longest_s = MAX_WAIT_S if has_reader else MAX_WAIT_ALONE_S
        longest_s = min(longest_s, zone_hosts * ZONE_CALL_PERIOD_S)
        wait_s = min(FIRST_WAIT_S * GROWTH**self.failures, longest_s)
        self.failures = min(self.failures + 1, 10)
        fraction = JITTER + (1 - JITTER) * self.random.random()
        self.next_call_s = now_s + wait_s * fraction

    def answered(self) -> None:
        """Record an answer of the store."""
        self.failures = 0
        self.next_call_s = float('-inf')
