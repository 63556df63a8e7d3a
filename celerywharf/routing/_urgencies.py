"""Urgency of requests at engines, derived from the operator's priorities."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celerywharf.routing._configurations import Route

LEVELS = 10


@dataclass(frozen=True, slots=True)
class Urgencies:
    """Tells engines which requests to admit first and which to preempt last.

    Answers the load of a service whose engines lack room for all kinds of
    requests at once.  Only the order of priorities counts, not their values,
    so any integers may be configured.  Of more than ``LEVELS`` different
    priorities neighbours share an urgency.

    Attributes:
        by_account: priorities of client accounts that have one; they take
            precedence over those of routes.
        by_service: the different priorities of requests to a service, in
            ascending order, by name of the service.
    """

    by_account: Mapping[str, int] = field(default_factory=dict)
    by_service: Mapping[str, tuple[int, ...]] = field(default_factory=dict)

    def priority(self, route: Route, account: str | None) -> int:
        """Return the priority of a request; 0 is the most urgent."""
        return self.by_account.get(account or '', route.priority)

    def urgency(self, service: str, priority: int) -> int | None:
        """Return the urgency of a request at the engines, from 0 to 9.

        0 is the most urgent.  None if all requests to the service are equally
        urgent.
        """
        priorities = self.by_service.get(service, ())
        if len(priorities) < 2:
            return None
        rank = min(bisect_left(priorities, priority), len(priorities) - 1)
        if len(priorities) > LEVELS:
            return rank * LEVELS // len(priorities)
        return rank


def collect_urgencies(
    routes: Iterable[Route], by_account: Mapping[str, int]
) -> Urgencies:
    """Return the urgencies of all services that the routes lead to."""
    by_service: dict[str, set[int]] = {}
    for route in routes:
        for part in route.services:
            priorities = by_service.setdefault(part.service, set())
            priorities.add(route.priority)
            if not route.public:
                priorities.update(by_account.values())
    return Urgencies(
        by_account,
        {name: tuple(sorted(found)) for name, found in by_service.items()},
    )
