"""Whom to ask for a view of the zone, so that no host stays alone."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from celerywharf.structures import Address


class Introductions:
    """Addresses worth trying that no live host is known at.

    They come from the settings, from hosts believed dead (a link may have
    healed) and from the platform's list, which lags: it names hosts that are
    gone and misses new ones, so it is never taken for the truth.
    """

    def __init__(self, seeds: Iterable[Address], rng: Random) -> None:
        self.seeds = frozenset(seeds)
        self.rng = rng
        self.hints: frozenset[Address] = frozenset()

    def hinted(self, addresses: Iterable[Address]) -> None:
        """Take what the platform lists now, in place of its last list."""
        self.hints = frozenset(addresses)

    def candidates(
        self,
        live: Iterable[Address],
        dead: Iterable[Address],
    ) -> list[Address]:
        """List what may be asked, in a stable order."""
        known = self.seeds | self.hints | frozenset(dead)
        return sorted(known - frozenset(live))

    def choose(
        self,
        live: Iterable[Address],
        dead: Iterable[Address],
    ) -> list[Address]:
        """Choose whom to ask now: one, or every seed while quite alone."""
        addresses = self.candidates(live, dead)
        alone = len(frozenset(live)) <= 1
        if alone or not addresses:
            return addresses
        return [self.rng.choice(addresses)]
