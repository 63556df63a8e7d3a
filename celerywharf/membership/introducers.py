"""Addresses to request a view from, so that no host stays isolated."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from celerywharf.structures import Address


class Introducers:
    """Candidate addresses at which no live host is known.

    They come from the settings, from hosts considered dead (a link may have
    recovered) and from the platform's host list.  That list lags: it names
    hosts that have stopped and misses new ones, so it serves only as a hint.
    """

    def __init__(self, seeds: Iterable[Address], rng: Random) -> None:
        self.seeds = frozenset(seeds)
        self.rng = rng
        self.hints: frozenset[Address] = frozenset()

    def update_hints(self, addresses: Iterable[Address]) -> None:
        """Replace the addresses from the platform's host list."""
        self.hints = frozenset(addresses)

    def candidates(
        self,
        live: Iterable[Address],
        dead: Iterable[Address],
    ) -> list[Address]:
        """Return the candidate addresses, sorted."""
        known = self.seeds | self.hints | frozenset(dead)
        return sorted(known - frozenset(live))

    def choose(
        self,
        live: Iterable[Address],
        dead: Iterable[Address],
    ) -> list[Address]:
        """Choose the addresses to ask now.

        All candidates while no other live host is known, else a random one.
        """
        addresses = self.candidates(live, dead)
        isolated = len(frozenset(live)) <= 1
        if isolated or not addresses:
            return addresses
        return [self.rng.choice(addresses)]
