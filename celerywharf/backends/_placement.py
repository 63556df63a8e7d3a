"""Which backend server gets a request."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

from celerywharf.backends._directory import Directory
from celerywharf.backends._health import ServerHealth
from celerywharf.backends._loads import Loads
from celerywharf.backends._servers import BackendServer

# Costs of distance, in shares of a loaded server's slots.
CALL_ZONE_COST = 0.15
CALL_REGION_COST = 0.6
# The same for streams, in prompts that wait before this one.
STREAM_ZONE_COST = 0.4
STREAM_REGION_COST = 0.8
# A stream that runs slows a prompt down by about a quarter of a prompt.
RUNNING_COST = 0.25
# A server that may have failed with its zone is worse than a loaded one.
SUSPECT_COST = 4.0
SUSPECT_BACKUP_COST = 4.0
# Ranking takes a few microseconds a server.  A random part of this size misses
# the least loaded tenth of a service once in a thousand times.
MOST_RANKED = 128
TIE = 0.05  # random part that spreads equal choices


@dataclass(frozen=True, slots=True)
class Demand:
    """A request that needs a backend server.

    Attributes:
        service: what it is for.
        tokens: token memory it needs, 0 for plain calls.
        capacity_tokens: token memory of each backend server.
        excluded: names of backend servers that must not get it.
    """

    service: str
    tokens: int = 0
    capacity_tokens: int = 0
    excluded: Collection[str] = field(default=())


class Placement:
    """Chooses the least loaded backend server, near ones first.

    Answers two loads: plain calls, short and many, go by the share of slots
    taken; streams go by the prompts still to be read, which is what their
    first event waits for, and by the token memory left.
    """

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        health: ServerHealth,
        availability_zone: str,
        regions: dict[str, str],
        random: Random,
    ) -> None:
        self.directory = directory
        self.loads = loads
        self.health = health
        self.availability_zone = availability_zone
        self.regions = regions
        self.random = random

    def choose(self, demand: Demand, now_s: float) -> BackendServer | None:
        """Return the best backend server, None if none may get it."""
        return next(iter(self.ranked(demand, now_s)), None)

    def ranked(self, demand: Demand, now_s: float) -> list[BackendServer]:
        """Return the backend servers that may get a request, best first."""
        usable = [
            server
            for server in self._sample(demand.service)
            if server.name not in demand.excluded
            and self._fits(server, demand, now_s)
        ]
        healthy = [
            server for server in usable if self.health.usable(server, now_s)
        ]
        return sorted(
            healthy or usable,
            key=lambda server: self._cost(server, demand, now_s),
        )

    def backups(
        self,
        server: BackendServer,
        demand: Demand,
        now_s: float,
    ) -> list[BackendServer]:
        """Return where a copy of a run's memory may be kept, best first.

        Zones fail as a whole, so another zone is required; one of the same
        region is preferred.
        """
        others = [
            other
            for other in self._sample(server.service)
            if other.availability_zone != server.availability_zone
            and other.name not in demand.excluded
            and self.health.usable(other, now_s)
            and self._fits(other, demand, now_s)
        ]
        region = self.regions.get(server.availability_zone)
        return sorted(
            others,
            key=lambda other: (
                self.health.suspect(other, now_s) * SUSPECT_BACKUP_COST
                + self.loads.tokens(other.name, now_s)
                / max(demand.capacity_tokens, 1)
                + (self.regions.get(other.availability_zone) != region)
                + self.random.random() * TIE
            ),
        )

    def _sample(self, service: str) -> list[BackendServer]:
        """Return all usable servers, of a large service a random part.

        Up to half of it are near ones, so that distance still decides.
        """
        usable = self.directory.usable(service)
        if len(usable) <= MOST_RANKED:
            return usable
        zone = self.availability_zone
        near = [one for one in usable if one.availability_zone == zone]
        far = [one for one in usable if one.availability_zone != zone]
        near = self._draw(near, MOST_RANKED // 2)
        return near + self._draw(far, MOST_RANKED - len(near))

    def _draw(
        self,
        servers: list[BackendServer],
        count: int,
    ) -> list[BackendServer]:
        if len(servers) <= count:
            return servers
        return self.random.sample(servers, count)

    def _fits(
        self,
        server: BackendServer,
        demand: Demand,
        now_s: float,
    ) -> bool:
        if not demand.capacity_tokens:
            return True
        used = self.loads.tokens(server.name, now_s)
        return not used or used + demand.tokens <= demand.capacity_tokens

    def _cost(
        self,
        server: BackendServer,
        demand: Demand,
        now_s: float,
    ) -> float:
        name = server.name
        tie = self.random.random() * TIE
        if self.health.suspect(server, now_s):
            tie += SUSPECT_COST
        if demand.tokens:
            work = (
                self.loads.prompts(name, now_s)
                + self.loads.running(name, now_s) * RUNNING_COST
            )
            near = self._distance(server, STREAM_ZONE_COST, STREAM_REGION_COST)
            return work + near + tie
        share = max(
            self.loads.requests(name) / max(server.slots, 1),
            self.loads.recent(name, now_s),
        )
        near = self._distance(server, CALL_ZONE_COST, CALL_REGION_COST)
        return share + near + tie

    def _distance(
        self,
        server: BackendServer,
        zone_cost: float,
        region_cost: float,
    ) -> float:
        zone = server.availability_zone
        if zone == self.availability_zone:
            return 0
        own = self.regions.get(self.availability_zone)
        return zone_cost if self.regions.get(zone) == own else region_cost
