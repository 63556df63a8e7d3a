"""Counts of answers by software version and route."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Durations are counted in buckets whose limits grow by the root of two; the
# last one begins at 14 s.
BUCKETS = 24
SHORTEST_S = 0.005
PER_DOUBLING = 2


def bucket_of(duration_s: float) -> int:
    """Return the number of the bucket of a duration in seconds."""
    if duration_s <= SHORTEST_S:
        return 0
    doublings = math.log2(duration_s / SHORTEST_S)
    return min(int(PER_DOUBLING * doublings) + 1, BUCKETS - 1)


def _sums(first: list[int], second: list[int]) -> list[int]:
    return list(map(sum, zip(first, second, strict=True)))


def _empty() -> list[int]:
    return [0 for _ in range(BUCKETS)]


@dataclass(slots=True)
class RouteTally:
    """Answers on one route by the new version, or by the others.

    Attributes:
        ended: sends that have ended.
        failed: those that the server answered wrongly or too late.
        broken: those whose connection broke; the server may have crashed.
        first: sends by the time to the first event or the whole answer.
        pace: streams by the mean time between two events.
        late: sends that wait for their first event, or ended without one, by
            how long they have waited.
    """

    ended: int = 0
    failed: int = 0
    broken: int = 0
    first: list[int] = field(default_factory=_empty)
    pace: list[int] = field(default_factory=_empty)
    late: list[int] = field(default_factory=_empty)

    def add(self, other: RouteTally) -> None:
        """Add the counts of other hosts."""
        self.ended += other.ended
        self.failed += other.failed
        self.broken += other.broken
        self.first = _sums(self.first, other.first)
        self.pace = _sums(self.pace, other.pace)
        self.late = _sums(self.late, other.late)


@dataclass(slots=True)
class ServiceTally:
    """What hosts have counted since an order.

    Attributes:
        service: name of the service.
        order_version: version of the row of the order.
        requests: of callers to the service.
        exposed: sends to the new version.
        routes: answers by route and by whether they are the new version's.
    """

    service: str
    order_version: int
    requests: int = 0
    exposed: int = 0
    routes: defaultdict[tuple[str, bool], RouteTally] = field(
        default_factory=lambda: defaultdict(RouteTally)
    )

    def add(self, other: ServiceTally) -> None:
        """Add the counts of other hosts, if they are of the same order."""
        if (other.service, other.order_version) != (
            self.service,
            self.order_version,
        ):
            return
        self.requests += other.requests
        self.exposed += other.exposed
        for key, tally in other.routes.items():
            self.routes[key].add(tally)

    def add_all(self, others: Iterable[ServiceTally]) -> ServiceTally:
        """Add the counts of several hosts; return this tally."""
        for other in others:
            self.add(other)
        return self

    def ended(self, *, is_new: bool) -> int:
        """Return how many sends to a version have ended, on all routes."""
        return sum(
            tally.ended
            for (_, tally_is_new), tally in self.routes.items()
            if tally_is_new == is_new
        )
