"""Selection of a backend server for a request."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

from celerywharf.backends._costs import ExpectedTime
from celerywharf.backends._directory import Directory
from celerywharf.backends._health import ServerHealth
from celerywharf.backends._loads import Loads
from celerywharf.backends._servers import BackendServer

# Cost of sending a call to another zone or region, as a fraction of the
# server's slots in use.
CALL_ZONE_COST = 0.15
CALL_REGION_COST = 0.6
# The same for streams, in prompts queued ahead of the stream's prompt.
STREAM_ZONE_COST = 0.4
STREAM_REGION_COST = 0.8
# A server that may have failed with its zone is worse than a loaded one.
SUSPECT_COST = 4.0
SUSPECT_BACKUP_COST = 4.0
# Ranking takes a few microseconds per server.  A random sample of this size
# contains none of the least loaded tenth of a service once in a thousand times.
MAX_RANKED = 128
MAX_JITTER = 0.05  # random cost that spreads requests over equal servers
# Hosts that know the same paces spread calls by the inverse of the expected
# time to this power.
SHARE_POWER = 4.0


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs from a backend server.

    Attributes:
        service: name of the service.
        tokens: token memory the request needs; 0 for plain calls.
        capacity_tokens: token memory of each backend server; 0 if it is not
            limited.
        excluded: names of backend servers that must not be chosen.
        software_version: of the backend servers that may be chosen; None if
            all may.
        excluded_versions: software versions that must not be chosen.
    """

    service: str
    tokens: int = 0
    capacity_tokens: int = 0
    excluded: Collection[str] = field(default=())
    software_version: str | None = None
    excluded_versions: Collection[str] = ()


class Placement:
    """Chooses the server that answers first, preferring nearby ones.

    Plain calls, which are short and frequent, are placed by the fraction of
    slots in use.  Streams are placed by the number of unread prompts, which
    delay their first event, on servers with enough free token memory.  Both
    take longer by the pace of the server's machine.

    A server that starts or recovers counts as full for hosts without a share
    of its window.  Servers of a zone that come back together, empty, are still
    used before longer queues at the others.

    Attributes:
        directory: the known backend servers.
        loads: their load.
        health: their health.
        availability_zone: zone of this host.
        regions: region of each zone.
        random: source of the sampling and of the jitter.
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
        self.expected_time = ExpectedTime(loads)

    def choose(self, demand: Demand, now_s: float) -> BackendServer | None:
        """Return the best backend server; None if no server is eligible."""
        return next(iter(self.ranked(demand, now_s)), None)

    def ranked(self, demand: Demand, now_s: float) -> list[BackendServer]:
        """Return the eligible backend servers, best first.

        Unhealthy servers are included only if no eligible one is healthy.
        """
        usable = [
            server
            for server in self._sample(demand)
            if server.name not in demand.excluded
            and self._fits(server, demand, now_s)
        ]
        healthy = [
            server for server in usable if self.health.is_sound(server, now_s)
        ]
        costs = {
            server.name: self._cost(server, demand, now_s)
            for server in healthy or usable
        }
        ranked = sorted(
            healthy or usable, key=lambda server: costs[server.name]
        )
        if not demand.tokens and any(
            server.name in self.loads.paces.stating for server in ranked[:1]
        ):
            self._share(ranked, costs, now_s)
        return ranked

    def backups(
        self,
        server: BackendServer,
        demand: Demand,
        now_s: float,
    ) -> list[BackendServer]:
        """Return candidates for a backup copy of a run's memory, best first.

        Zones fail as a whole, so the copy must be in another zone than the
        run; one in the same region is preferred.

        Args:
            server: where the run is placed.
            demand: what the run needs.
            now_s: monotonic seconds.
        """
        others = [
            other
            for other in self._sample(demand)
            if other.availability_zone != server.availability_zone
            and other.name not in demand.excluded
            and self.health.is_sound(other, now_s)
            and self._fits(other, demand, now_s)
        ]
        region = self.regions.get(server.availability_zone)
        return sorted(
            others,
            key=lambda other: (
                self._is_risky(other, now_s) * SUSPECT_BACKUP_COST
                + self.loads.tokens(other.name, now_s)
                / max(demand.capacity_tokens, 1)
                + (self.regions.get(other.availability_zone) != region)
                + self.random.random() * MAX_JITTER
            ),
        )

    def _sample(self, demand: Demand) -> list[BackendServer]:
        """Return all usable servers, or a random sample of a large service.

        Up to half of the sample is taken from this host's zone, so that nearby
        servers are still preferred.
        """
        usable = self.directory.usable(demand.service)
        if demand.software_version is not None:
            usable = [
                server
                for server in usable
                if server.software_version == demand.software_version
            ]
        if demand.excluded_versions:
            usable = [
                server
                for server in usable
                if server.software_version not in demand.excluded_versions
            ]
        if len(usable) <= MAX_RANKED:
            return usable
        zone = self.availability_zone
        near = [server for server in usable if server.availability_zone == zone]
        far = [server for server in usable if server.availability_zone != zone]
        near = self._sample_up_to(near, MAX_RANKED // 2)
        return near + self._sample_up_to(far, MAX_RANKED - len(near))

    def _sample_up_to(
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
        # An idle server is eligible even if the request exceeds its capacity.
        return not used or used + demand.tokens <= demand.capacity_tokens

    def _cost(
        self,
        server: BackendServer,
        demand: Demand,
        now_s: float,
    ) -> float:
        base_cost = self.random.random() * MAX_JITTER
        if self._is_risky(server, now_s):
            base_cost += SUSPECT_COST
        load_cost = self.expected_time.beyond_work(
            server,
            demand.tokens,
            now_s,
            is_held_back=self.health.is_held_back(server, now_s),
        )
        if demand.tokens:
            distance_cost = self._distance_cost(
                server, STREAM_ZONE_COST, STREAM_REGION_COST
            )
        else:
            distance_cost = self._distance_cost(
                server, CALL_ZONE_COST, CALL_REGION_COST
            )
        return load_cost + distance_cost + base_cost

    def _is_risky(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server may fail what is sent there now."""
        on_trial = self.health.windows.was_ejected(server.name)
        return self.health.suspect(server, now_s) or (
            on_trial and self.health.is_held_back(server, now_s)
        )

    def _share(
        self,
        ranked: list[BackendServer],
        costs: dict[str, float],
        now_s: float,
    ) -> None:
        """Move one of the servers as near as the best to the front.

        Each is moved with a probability that falls with its expected time, so
        that hosts that know the same don't all send to the best one.  Those
        held back take part only if the best one is held back as well.
        """
        zone = ranked[0].availability_zone
        is_best_held_back = self.health.is_held_back(ranked[0], now_s)
        near = [
            server
            for server in ranked
            if server.availability_zone == zone
            and (
                is_best_held_back or not self.health.is_held_back(server, now_s)
            )
        ]
        shares = [
            max(1 + costs[server.name], MAX_JITTER) ** -SHARE_POWER
            for server in near
        ]
        chosen = self.random.choices(near, shares)[0]
        ranked.remove(chosen)
        ranked.insert(0, chosen)

    def _distance_cost(
        self,
        server: BackendServer,
        zone_cost: float,
        region_cost: float,
    ) -> float:
        zone = server.availability_zone
        if zone == self.availability_zone:
            return 0
        own_region = self.regions.get(self.availability_zone)
        return (
            zone_cost if self.regions.get(zone) == own_region else region_cost
        )
