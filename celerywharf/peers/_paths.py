"""Choice of the host through which a request is passed."""

from __future__ import annotations

import abc
import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from celerywharf.peers._directory import PeerHost

# Other hosts' loads and cuts are as old as this when they are used.
REFRESH_PERIOD_S = 0.8
# Nobody was found: hosts announce themselves again within a second.
EMPTY_REFRESH_PERIOD_S = 0.3
FAILED_FOR_S = 1.0
CHOICES = 2
# Requests that a host in this zone may have more than one in another.
OTHER_ZONE_COST = 8


class PeerSource(abc.ABC):
    """Knows which hosts reach a service."""

    @abc.abstractmethod
    async def find(self, service: str) -> Sequence[PeerHost]:
        """Return some hosts that reach a service."""


@dataclass(slots=True)
class _Found:
    hosts: Sequence[PeerHost]
    at_s: float


class PeerPaths:
    """Chooses hosts that reach a service, by their load and zone.

    Two of those known are drawn at random and the less loaded one is taken, so
    that hosts that are cut off together do not all choose the same.

    Attributes:
        availability_zone: zone of this host.
        source: whom to ask; None if this host shares nothing with others.
        found: the last answer, by service.
        requests: requests of this host in progress, by name of the host that
            serves them.
        failed_until_s: hosts that are passed over while there are others, by
            name.
    """

    def __init__(
        self,
        availability_zone: str,
        now: Callable[[], float],
        random: Random,
    ) -> None:
        self.availability_zone = availability_zone
        self.now = now
        self.random = random
        self.source: PeerSource | None = None
        self.found: dict[str, _Found] = {}
        self.searches: dict[str, asyncio.Task] = {}
        self.requests: Counter[str] = Counter()
        self.failed_until_s: dict[str, float] = {}

    async def choose(
        self, service: str, excluded: Collection[str]
    ) -> PeerHost | None:
        """Return a host that reaches a service; None if none is known."""
        if self.source is None:
            return None
        hosts = await self._find(service)
        now_s = self.now()
        untried = [host for host in hosts if host.name not in excluded]
        candidates = [
            host
            for host in untried
            if self.failed_until_s.get(host.name, 0) <= now_s
        ] or untried
        drawn = self.random.sample(candidates, min(len(candidates), CHOICES))
        return min(drawn, key=self._cost, default=None)

    def failed(self, host: PeerHost) -> None:
        """Pass over a host that declined a request or was not reached."""
        now_s = self.now()
        self.failed_until_s = {
            name: until_s
            for name, until_s in self.failed_until_s.items()
            if until_s > now_s
        }
        self.failed_until_s[host.name] = now_s + FAILED_FOR_S

    def started(self, host: PeerHost) -> None:
        """Count a request that is passed to a host."""
        self.requests[host.name] += 1

    def ended(self, host: PeerHost) -> None:
        """Count it no longer."""
        self.requests[host.name] -= 1
        if not self.requests[host.name]:
            self.requests.pop(host.name)

    def _cost(self, host: PeerHost) -> float:
        cost = max(host.load, self.requests[host.name])
        if host.availability_zone != self.availability_zone:
            cost += OTHER_ZONE_COST
        return cost + self.random.random()

    async def _find(self, service: str) -> Sequence[PeerHost]:
        """Return the last answer; ask again if it is too old."""
        found = self.found.get(service)
        if found is not None:
            period_s = (
                REFRESH_PERIOD_S if found.hosts else EMPTY_REFRESH_PERIOD_S
            )
            if self.now() - found.at_s < period_s:
                return found.hosts
        search = self.searches.get(service)
        if search is None:
            search = asyncio.ensure_future(self._search(service))
            self.searches[service] = search
        # A caller that leaves must not end the search of the others.
        return await asyncio.shield(search)

    async def _search(self, service: str) -> Sequence[PeerHost]:
        try:
            hosts = await self.source.find(service)
        finally:
            self.searches.pop(service, None)
        self.found[service] = _Found(hosts, self.now())
        return hosts
