"""In which order backend servers are asked for a grant."""

from __future__ import annotations

import functools
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from celerywharf.structures import HostIdentity
from celerywharf.tables import BackendServer
from celerywharf.utils import rendezvous_order
from celerywharf.wire.admissions import Summary

SUMMARY_FADE_S = 5.0
UNKNOWN_LOAD = 0.5
OTHER_ZONE_PENALTY = 0.1
AFFINITY_BONUS = 0.3
REMEMBERED_PREFIXES = 10_000


@dataclass(frozen=True, slots=True)
class Plan:
    """Backend servers in the order in which they are asked.

    Attributes:
        near: those of this region.
        far: those of other regions, where the table allows it.
    """

    near: tuple[BackendServer, ...]
    far: tuple[BackendServer, ...]

    @property
    def empty(self) -> bool:
        """Tell whether there is nothing to ask."""
        return not (self.near or self.far)


class Chooser:
    """Prefers little load, the own zone, and whoever holds the prefix.

    Of the nearer ones two random candidates are compared, so that hosts with
    the same late reports do not all run to the same backend server.
    """

    def __init__(self, identity: HostIdentity, rng: Random) -> None:
        self.identity = identity
        self.rng = rng
        self.summaries: dict[str, tuple[float, Summary]] = {}
        self.in_flight: dict[str, int] = {}
        self.placed: OrderedDict[str, str] = OrderedDict()

    def take(self, summary: Summary, now: float) -> None:
        """Take in how busy a backend server is."""
        self.summaries[summary.backend_server] = (now, summary)

    def started(self, backend_server: str, prefix_hash: str) -> None:
        """Note where a request went."""
        count = self.in_flight.get(backend_server, 0)
        self.in_flight[backend_server] = count + 1
        if prefix_hash:
            self.placed.pop(prefix_hash, None)
            self.placed[prefix_hash] = backend_server
        while len(self.placed) > REMEMBERED_PREFIXES:
            self.placed.popitem(last=False)

    def ended(self, backend_server: str) -> None:
        """Note that a request there came to an end."""
        self.in_flight[backend_server] -= 1
        if not self.in_flight[backend_server]:
            self.in_flight.pop(backend_server)

    def load(self, backend_server: str, now: float) -> float:
        """Estimate the load, 1 for full; a late report counts less."""
        known = self.summaries.get(backend_server)
        if known is None:
            return UNKNOWN_LOAD
        taken_s, summary = known
        reported = summary.running + summary.waiting
        load = reported / max(summary.capacity, 1)
        trust = max(0, 1 - (now - taken_s) / SUMMARY_FADE_S)
        return UNKNOWN_LOAD + (load - UNKNOWN_LOAD) * trust

    def plan(
        self,
        allowed: Iterable[BackendServer],
        prefix_hash: str,
        holders: frozenset[str],
        now: float,
    ) -> Plan:
        """Order what is allowed.

        Args:
            allowed: backend servers that may be used.
            prefix_hash: hash of the prompt's first characters, or empty.
            holders: names of those known to hold the prefix.
            now: monotonic seconds.
        """
        region = self.identity.region
        near: list[BackendServer] = []
        far: list[BackendServer] = []
        for backend in allowed:
            (near if backend.region == region else far).append(backend)
        return Plan(
            self._order(near, prefix_hash, holders, now),
            self._order(far, prefix_hash, holders, now),
        )

    def _order(
        self,
        backends: list[BackendServer],
        prefix_hash: str,
        holders: frozenset[str],
        now: float,
    ) -> tuple[BackendServer, ...]:
        liked = self._liked(backends, prefix_hash) | holders
        score = functools.partial(self._score, liked, now)
        candidates = self.rng.sample(backends, min(2, len(backends)))
        candidates.extend(one for one in backends if one.name in liked)
        first = sorted(candidates, key=score)
        rest = [one for one in backends if one not in candidates]
        self.rng.shuffle(rest)
        return tuple(dict.fromkeys([*first, *sorted(rest, key=score)]))

    def _liked(
        self,
        backends: list[BackendServer],
        prefix_hash: str,
    ) -> frozenset[str]:
        if not prefix_hash or not backends:
            return frozenset()
        names = [one.name for one in backends]
        placed = self.placed.get(prefix_hash)
        if placed in names:
            return frozenset((placed,))
        # All hosts send a new prefix to the same place without a word.
        return frozenset(rendezvous_order(prefix_hash, names)[:1])

    def _score(
        self,
        liked: frozenset[str],
        now: float,
        backend: BackendServer,
    ) -> float:
        load = self.load(backend.name, now)
        if backend.availability_zone != self.identity.availability_zone:
            load += OTHER_ZONE_PENALTY
        return load - AFFINITY_BONUS * (backend.name in liked)
