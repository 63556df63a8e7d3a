"""One version of the operator's configuration, as the product sees it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.routing._policies import Policy


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go.

    Attributes:
        name: unique name.
        host: value of the ``Host`` header, without port.
        prefix: begins and ends with a slash.
        policy: what may be repeated.
        timeout_s: longest time a caller is kept waiting.
        latency_target_s: an answer after it is late.
        priority: 0 is the most urgent.
        services: one, or several that share the requests by weight.
        max_attempts: backend servers that one request may be sent to.
        public: no key is asked for.
    """

    name: str
    host: str
    prefix: str
    policy: Policy
    timeout_s: float
    latency_target_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool


@dataclass(frozen=True, slots=True)
class EngineMemory:
    """Token memory of each engine of a service.

    Attributes:
        capacity_tokens: prompts and outputs it holds at a time.
        backups: an engine can copy a run to another one as it grows.
    """

    capacity_tokens: int
    backups: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A set of backend servers that are alike.

    Attributes:
        name: unique name.
        health_path: path of the health check.
        memory: of model engines; None for plain applications.
    """

    name: str
    health_path: str
    memory: EngineMemory | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a caller may send."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(
            sorted(group, key=_prefix_length, reverse=True),
        )
        for host, group in grouped.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


@dataclass(frozen=True)
class Configuration:
    """One version, whole.

    Attributes:
        version: rises with each change.
        routes: by host, longest prefix first.
        services: by name.
        accounts: name of the client account by key.
        keys_required: routes that are not public require an API key.
        limits: bounds on what callers send.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, str]
    keys_required: bool
    limits: ClientLimits

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
