"""Ranks the backend servers to request a grant for."""

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

SUMMARY_MAX_AGE_S = 5.0  # confidence in a summary falls linearly to 0
NEUTRAL_LOAD = 0.5  # assumed where no recent summary is known
OTHER_ZONE_PENALTY = 0.1  # added to the load
AFFINITY_BONUS = 0.3  # subtracted from the load for a cached prefix
PLACED_PREFIX_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class Candidates:
    """Backend servers in the order in which they are tried.

    Attributes:
        same_region: those of this host's region.
        other_regions: those of other regions that the table allows.
    """

    same_region: tuple[BackendServer, ...]
    other_regions: tuple[BackendServer, ...]

    @property
    def empty(self) -> bool:
        """Return whether there are no candidates."""
        return not (self.same_region or self.other_regions)


class BackendSelector:
    """Ranks backend servers by load, zone and cached prefix.

    Two random backend servers, and those that may cache the prefix, are
    compared first.  Otherwise hosts with the same late reports would all
    choose the same backend server.

    Attributes:
        summaries: last load summary and its time, by backend server.
        in_flight: number of running requests of this host, by backend server.
        last_placement: backend server last used, by prefix hash.
    """

    def __init__(self, identity: HostIdentity, rng: Random) -> None:
        self.identity = identity
        self.rng = rng
        self.summaries: dict[str, tuple[float, Summary]] = {}
        self.in_flight: dict[str, int] = {}
        self.last_placement: OrderedDict[str, str] = OrderedDict()

    def update_load(self, summary: Summary, now: float) -> None:
        """Store the load summary of a backend server."""
        self.summaries[summary.backend_server] = (now, summary)

    def started(self, backend_server: str, prefix_hash: str) -> None:
        """Record that a request was sent to a backend server."""
        count = self.in_flight.get(backend_server, 0)
        self.in_flight[backend_server] = count + 1
        if prefix_hash:
            self.last_placement.pop(prefix_hash, None)
            self.last_placement[prefix_hash] = backend_server
        while len(self.last_placement) > PLACED_PREFIX_LIMIT:
            self.last_placement.popitem(last=False)

    def ended(self, backend_server: str) -> None:
        """Record that a request at a backend server has ended."""
        self.in_flight[backend_server] -= 1
        if not self.in_flight[backend_server]:
            self.in_flight.pop(backend_server)

    def load(self, backend_server: str, now: float) -> float:
        """Estimate the load, 1 for full.

        The estimate moves from the last summary towards ``NEUTRAL_LOAD`` as
        the summary ages.
        """
        entry = self.summaries.get(backend_server)
        if entry is None:
            return NEUTRAL_LOAD
        received_s, summary = entry
        reported = summary.running + summary.waiting
        load = reported / max(summary.capacity, 1)
        confidence = max(0, 1 - (now - received_s) / SUMMARY_MAX_AGE_S)
        return NEUTRAL_LOAD + (load - NEUTRAL_LOAD) * confidence

    def rank(
        self,
        allowed: Iterable[BackendServer],
        prefix_hash: str,
        holders: frozenset[str],
        now: float,
    ) -> Candidates:
        """Rank the allowed backend servers of each region.

        Args:
            allowed: backend servers that may be used.
            prefix_hash: hash of the prompt's first characters, or empty.
            holders: names of those that probably cache the prefix.
            now: monotonic seconds.
        """
        region = self.identity.region
        same_region: list[BackendServer] = []
        other_regions: list[BackendServer] = []
        for backend in allowed:
            (same_region if backend.region == region else other_regions).append(
                backend
            )
        return Candidates(
            self._order(same_region, prefix_hash, holders, now),
            self._order(other_regions, prefix_hash, holders, now),
        )

    def _order(
        self,
        backends: list[BackendServer],
        prefix_hash: str,
        holders: frozenset[str],
        now: float,
    ) -> tuple[BackendServer, ...]:
        preferred = self._preferred(backends, prefix_hash) | holders
        score = functools.partial(self._score, preferred, now)
        candidates = self.rng.sample(backends, min(2, len(backends)))
        candidates.extend(
            backend for backend in backends if backend.name in preferred
        )
        first = sorted(candidates, key=score)
        rest = [backend for backend in backends if backend not in candidates]
        self.rng.shuffle(rest)
        return tuple(dict.fromkeys([*first, *sorted(rest, key=score)]))

    def _preferred(
        self,
        backends: list[BackendServer],
        prefix_hash: str,
    ) -> frozenset[str]:
        if not prefix_hash or not backends:
            return frozenset()
        names = [backend.name for backend in backends]
        last_placement = self.last_placement.get(prefix_hash)
        if last_placement in names:
            return frozenset((last_placement,))
        # Hashing sends a new prefix to the same place from all hosts, without
        # any messages between them.
        return frozenset(rendezvous_order(prefix_hash, names)[:1])

    def _score(
        self,
        preferred: frozenset[str],
        now: float,
        backend: BackendServer,
    ) -> float:
        load = self.load(backend.name, now)
        if backend.availability_zone != self.identity.availability_zone:
            load += OTHER_ZONE_PENALTY
        return load - AFFINITY_BONUS * (backend.name in preferred)
